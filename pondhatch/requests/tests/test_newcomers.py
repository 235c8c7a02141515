"""Guards against new engines that get no chats while engines are replaced or added.

The pattern: a third of a service's engines are replaced or added within half a minute, as in a
rolling release. If newcomers get no chats, the other engines reach their ceilings (1.7 times the
mean plus 3) and contexts move back and forth. On two days of 17 engines with 7 newcomers, moving
and recomputing contexts cost 0.064 and 0.058 of the value of requests, against 0.051 and 0.046 if
newcomers fetch the contexts of their chats at once.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from msgspec.structs import replace

from fakes._virtual_loop import run_virtually
from pondhatch.limits import RetryBudget
from pondhatch.placement import ranked
from pondhatch.requests import Collaborators, Dispatch, ReplayableBody, RequestHead
from pondhatch.requests._dispatch_results import NO_WAIT
from pondhatch.requests.tests._history import Fleet

CHAT = 7


class NewcomerTest(unittest.TestCase):
    def settled_and_order(
        self, shares_context: bool, newcomers: set[str]
    ) -> tuple[str | None, tuple[str, ...]]:
        """Return the engine that the home's owner is told the chat was at, and the engine order."""

        async def main() -> tuple[str | None, tuple[str, ...]]:
            fleet = Fleet([], [], False)
            router = fleet.routers["r0"]
            view = router.view
            target = view.target

            def known(engine: str) -> object:
                found = target(engine)
                return replace(found, shares_context=shares_context) if found else None

            head = RequestHead(
                "q0", "a", "s", CHAT, "POST", "/", (), True, 10.0, 5, is_followup=True
            )
            with (
                patch.object(view, "target", known),
                patch.object(view, "is_young", newcomers.__contains__),
            ):
                collaborators = Collaborators(router.entry, fleet.upstreams)
                body = ReplayableBody(b"")
                dispatch = Dispatch(
                    view, collaborators, RetryBudget(), head, body, lambda: 10.0, NO_WAIT
                )
                home = dispatch.plan.home or ""
                settled = dispatch._new_grant_request(home, is_forced=False).settled_engine
            await asyncio.sleep(0)
            return settled, dispatch.plan.order

        return run_virtually(main())

    def test_a_newcomer_that_fetches_contexts_gets_its_chats_at_once(self) -> None:
        home = ranked(str(CHAT), ("e0", "e1", "e2"))[0]
        self.assertIsNone(self.settled_and_order(True, {home})[0])

    def test_a_newcomer_that_fetches_no_contexts_leaves_chats_at_their_former_home(self) -> None:
        order = ranked(str(CHAT), ("e0", "e1", "e2"))
        self.assertEqual(self.settled_and_order(False, {order[0]})[0], order[1])
        self.assertEqual(self.settled_and_order(False, set(order[:2]))[0], order[2])
        self.assertIsNone(self.settled_and_order(False, set(order))[0])
        self.assertIsNone(self.settled_and_order(False, set())[0])
