"""Callers that leave at every stage, with packets between routers that are late."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.requests.tests._history import PACKET_FAULTS, UPSTREAM_FAULTS, Fleet
from pondhatch.requests.tests.test_grants import GrantCase
from pondhatch.requests.tests.test_histories import PROFILE

#: Seconds after a caller's leaving in which all that is its must have ended.
GONE_SECONDS = 0.5
#: What delays packets, and loses none: a lost release counts until its lease ends.
DELAYS = ("none", "none", "late", "twice")
#: A request that may be repeated or not, when it comes, and after how long its caller leaves.
REQUEST = st.tuples(st.booleans(), st.floats(0, 0.3), st.floats(0, 1.5))


def worked_on(fleet: Fleet) -> list[str]:
    """Return what reached an upstream, or was at work there, long after its caller left."""
    history, found = fleet.history, []
    for request, left in history.left_at.items():
        for what, at in (
            ("reached", history.reached_at.get(request, 0.0)),
            ("worked", history.worked_until.get(request, 0.0)),
        ):
            if at > left + GONE_SECONDS:
                found.append(f"{request} {what} an upstream {at - left} s after its caller left")
    return found


def counted(fleet: Fleet) -> list[str]:
    """Return what owners still count, or have in their lines."""
    found = [f"{fleet.granted()} grants"] if fleet.granted() else []
    for name, router in fleet.routers.items():
        waiting = sum(router.owner._queues.waiting_count(engine) for engine in fleet.engines)
        if waiting:
            found.append(f"{waiting} in the lines of {name}")
    return found


class GoneTest(unittest.TestCase):
    async def leaving(self, fleet: Fleet, requests: list[tuple[bool, float, float]]) -> None:
        """Have requests come whose callers leave; return half a second after the last."""

        async def one(number: int, repeatable: bool, at: float, stays: float) -> None:
            await asyncio.sleep(at)
            await fleet.request(number, repeatable, gives_up=True, after=stays)

        sent = [one(number, *request) for number, request in enumerate(requests)]
        await asyncio.gather(*sent)
        await asyncio.sleep(GONE_SECONDS)

    @PROFILE
    @given(
        st.lists(REQUEST, min_size=1, max_size=8),
        st.lists(st.sampled_from(UPSTREAM_FAULTS), max_size=12),
        st.lists(st.sampled_from(PACKET_FAULTS), max_size=20),
        st.booleans(),
    )
    def test_no_upstream_works_on_for_a_caller_that_left(
        self,
        requests: list[tuple[bool, float, float]],
        upstream_faults: list[str],
        packet_faults: list[str],
        resumes: bool,
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, packet_faults, resumes)
            await self.leaving(fleet, requests)
            await asyncio.sleep(10)
            return worked_on(fleet)

        self.assertEqual(run_virtually(history()), [])

    @PROFILE
    @given(
        st.lists(REQUEST, min_size=1, max_size=8),
        st.lists(st.sampled_from(UPSTREAM_FAULTS), max_size=12),
        st.lists(st.sampled_from(DELAYS), max_size=20),
        st.booleans(),
    )
    def test_no_owner_counts_a_caller_that_left_or_has_it_wait(
        self,
        requests: list[tuple[bool, float, float]],
        upstream_faults: list[str],
        delays: list[str],
        same_chat: bool,
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, delays, resumes=True)
            fleet.same_chat = same_chat
            await self.leaving(fleet, requests)
            return counted(fleet)

        self.assertEqual(run_virtually(history()), [])


class InLineTest(GrantCase):
    """A caller that leaves while its request waits in a line at another router."""

    def after_leaving(self, *packet_faults: str) -> list[str]:
        """Return what is counted half a second later, beside the grant that fills the engine."""

        async def main() -> list[str]:
            # The first two packets ask and grant what fills the engine.
            fleet = Fleet([], ["none", "none", *packet_faults], False)
            await self.ask(fleet)
            asked = asyncio.ensure_future(self.ask(fleet, max_wait_ms=5000))
            await asyncio.sleep(0.05)
            asked.cancel()
            await asyncio.sleep(GONE_SECONDS)
            return counted(fleet)

        found = run_virtually(main())
        self.assertEqual(found[0], "1 grants")
        return found[1:]

    def test_its_place_is_given_up(self) -> None:
        self.assertEqual(self.after_leaving(), [])

    def test_however_late_the_release_is(self) -> None:
        self.assertEqual(self.after_leaving("none", "none", "late"), [])

    def test_where_the_question_comes_after_its_release(self) -> None:
        self.assertEqual(self.after_leaving("late"), [])
