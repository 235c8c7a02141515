"""Guards against work, grants and queue entries that outlive the caller of a request.

Callers leave at every stage, while packets between routers are late or lost.
"""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.requests.tests._history import PACKET_FAULTS, UPSTREAM_FAULTS, Fleet
from pondhatch.requests.tests.test_grants import GrantCase
from pondhatch.requests.tests.test_histories import PROFILE

#: Seconds after a caller has left within which everything of its request must have ended.
GONE_SECONDS = 0.5
#: Packet faults without losses: after a lost release a grant counts until its lease ends.
DELAYS = ("none", "none", "late", "twice")
#: A request: whether it may be repeated, when it arrives, and how long its caller stays.
REQUEST = st.tuples(st.booleans(), st.floats(0, 0.3), st.floats(0, 1.5))


def work_after_leaving(fleet: Fleet) -> list[str]:
    """Return the requests that an upstream got or worked on too long after the caller left."""
    history, found = fleet.history, []
    for request, left in history.left_at.items():
        for event, at in (
            ("reached", history.reached_at.get(request, 0.0)),
            ("worked", history.worked_until.get(request, 0.0)),
        ):
            if at > left + GONE_SECONDS:
                found.append(f"{request} {event} an upstream {at - left} s after its caller left")
    return found


def remaining_counts(fleet: Fleet) -> list[str]:
    """Return the grants that owners still count and the requests in their queues."""
    found = [f"{fleet.total_granted()} grants"] if fleet.total_granted() else []
    for name, router in fleet.routers.items():
        waiting = sum(router.owner._queues.waiting_count(engine) for engine in fleet.engines)
        if waiting:
            found.append(f"{waiting} in the queues of {name}")
    return found


class CallerGoneTest(unittest.TestCase):
    async def run_leaving_callers(
        self, fleet: Fleet, requests: list[tuple[bool, float, float]]
    ) -> None:
        """Send requests whose callers leave; return GONE_SECONDS after the last has left."""

        async def request_and_leave(number: int, repeatable: bool, at: float, stays: float) -> None:
            await asyncio.sleep(at)
            await fleet.request(number, repeatable, gives_up=True, after=stays)

        sent = [request_and_leave(number, *request) for number, request in enumerate(requests)]
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
            await self.run_leaving_callers(fleet, requests)
            await asyncio.sleep(10)
            return work_after_leaving(fleet)

        self.assertEqual(run_virtually(history()), [])

    @PROFILE
    @given(
        st.lists(REQUEST, min_size=1, max_size=8),
        st.lists(st.sampled_from(UPSTREAM_FAULTS), max_size=12),
        st.lists(st.sampled_from(DELAYS), max_size=20),
        st.booleans(),
    )
    def test_no_owner_counts_or_queues_a_caller_that_left(
        self,
        requests: list[tuple[bool, float, float]],
        upstream_faults: list[str],
        delays: list[str],
        same_chat: bool,
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, delays, resumes=True)
            fleet.same_chat = same_chat
            await self.run_leaving_callers(fleet, requests)
            return remaining_counts(fleet)

        self.assertEqual(run_virtually(history()), [])


class GoneWhileQueuedTest(GrantCase):
    """A caller leaves while its request waits in a queue at another router."""

    def after_leaving(self, *packet_faults: str) -> list[str]:
        """Return what is counted GONE_SECONDS later, except the grant that fills the engine."""

        async def main() -> list[str]:
            # The first two packets request and grant the slot that fills the engine.
            fleet = Fleet([], ["none", "none", *packet_faults], False)
            await self.ask(fleet)
            waiting = asyncio.ensure_future(self.ask(fleet, max_wait_ms=5000))
            await asyncio.sleep(0.05)
            waiting.cancel()
            await asyncio.sleep(GONE_SECONDS)
            return remaining_counts(fleet)

        found = run_virtually(main())
        self.assertEqual(found[0], "1 grants")
        return found[1:]

    def test_its_place_in_the_queue_is_given_up(self) -> None:
        self.assertEqual(self.after_leaving(), [])

    def test_its_place_is_given_up_after_a_late_release(self) -> None:
        self.assertEqual(self.after_leaving("none", "none", "late"), [])

    def test_its_place_is_given_up_if_the_release_overtakes_the_request(self) -> None:
        self.assertEqual(self.after_leaving("late"), [])
