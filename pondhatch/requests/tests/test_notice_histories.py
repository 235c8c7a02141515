"""Random histories in which engines announce in their answers that they leave or want a rest.

After a router received such a notice, it must send the engine nothing for good or during the rest.
That includes requests granted but not yet sent, granted without the owner, retried, waiting for a
connection, and resumptions of streams.
"""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.placement import Notice
from pondhatch.placement._health import FAILURES_UNTIL_DOWN
from pondhatch.requests import NotRun
from pondhatch.requests._dispatch import FULL_RETRY_AFTER
from pondhatch.requests._leases import LEASE_SECONDS
from pondhatch.requests.tests._history import (
    PACKET_FAULTS,
    UPSTREAM_FAULTS,
    Fleet,
    violations,
)
from pondhatch.requests.tests.test_histories import PROFILE, REQUEST

NOTICES = (
    Notice(is_leaving=True),
    Notice(rest=0.1),
    Notice(rest=0.5),
    Notice(rest=3.0),
    Notice(is_leaving=True, rest=0.3),
)
#: Faults of an attempt at an engine that can be reached.
FAULTS_IN_REACH = [fault for fault in UPSTREAM_FAULTS if fault != "unreachable"]
NOTICE_PERIOD = st.tuples(
    st.sampled_from(["e0", "e1", "e2"]),
    st.sampled_from(NOTICES),
    st.floats(0, 0.3),  # start, in seconds
    st.floats(0.01, 0.6),  # duration, in seconds
)


def sends_against_notices(fleet: Fleet) -> list[str]:
    """Return every send of a router that violates a notice which it had received."""
    found = []
    for name, connections in fleet.connections_by_router.items():
        for engine, notice, heard_at in connections.notices_received:
            later = [at for to, at in connections.sends if to == engine and at > heard_at]
            if notice.is_leaving and later:
                found.append(f"{name} sent to {engine} at {later}, which leaves since {heard_at}")
            if any(at < heard_at + notice.rest for at in later):
                found.append(f"{name} sent to {engine} at {later}, which rests from {heard_at}")
    return found


class NoticeHistoryTest(unittest.TestCase):
    @settings(PROFILE)
    @given(
        st.lists(REQUEST, min_size=1, max_size=16),
        st.lists(NOTICE_PERIOD, min_size=1, max_size=4),
        # Only reachable engines: an unreachable one gets no request but counts as sent to.
        st.lists(st.sampled_from(FAULTS_IN_REACH), max_size=12),
        st.lists(st.sampled_from(PACKET_FAULTS), max_size=12),
        st.sampled_from([0.0, 0.05, 0.3]),
        st.booleans(),
        st.sampled_from([0, 2]),
    )
    def test_a_router_obeys_every_notice_that_it_received(
        self,
        requests: list[tuple[bool, bool, float]],
        notice_periods: list[tuple[str, Notice, float, float]],
        upstream_faults: list[str],
        packet_faults: list[str],
        connect_seconds: float,
        same_chat: bool,
        most_tries: int,
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, packet_faults, False)
            fleet.same_chat, fleet.most_tries = same_chat, most_tries
            fleet.connect_seconds = connect_seconds
            began = asyncio.get_running_loop().time()
            fleet.notices = [
                (e, n, began + at, began + at + lasts) for e, n, at, lasts in notice_periods
            ]
            sent = [fleet.request_later(at, *request) for at, request in enumerate(requests)]
            await asyncio.gather(*sent)
            await asyncio.sleep(2 * LEASE_SECONDS)
            repeatable = {f"q{at}": each[0] for at, each in enumerate(requests)}
            is_unheard = bool({"lost", "very-late"} & set(packet_faults))
            return sends_against_notices(fleet) + violations(fleet, repeatable, 1 + is_unheard)

        self.assertEqual(run_virtually(history()), [])


class RestingTest(unittest.TestCase):
    # A request was sent twice within two milliseconds to an engine that had asked for a rest.
    def test_if_all_engines_rest_the_refusal_names_the_end_of_the_first_rest(self) -> None:
        async def history() -> tuple[list[object], int, float]:
            fleet = Fleet([], [], False)
            began = asyncio.get_running_loop().time()
            fleet.notices = [
                (engine, Notice(rest=rest), began, began + 1.0)
                for engine, rest in zip(fleet.engines, (5.0, 3.0, 4.0), strict=True)
            ]
            await fleet.request(0, True, False)
            sends = len(fleet.connections_by_router["r0"].sends)
            await fleet.request(3, True, False)
            took = asyncio.get_running_loop().time() - began
            return list(fleet.history.outcome_by_request.values()), sends, took

        (first, second), sends, took = run_virtually(history())
        assert isinstance(first, NotRun)
        assert isinstance(second, NotRun)
        self.assertEqual((sends, second.code), (3, "engines-resting"))
        self.assertLess(took, 0.3)
        self.assertAlmostEqual(second.retry_after, 3.0, delta=0.3)

    # While one engine rested for an hour and the others were down but not resting, callers were
    # told to retry after an hour.
    def test_if_the_others_are_down_the_retry_comes_before_the_rest_ends(self) -> None:
        async def history() -> object:
            fleet = Fleet([], [], False)
            began = asyncio.get_running_loop().time()
            fleet.notices = [("e0", Notice(rest=900.0), began, began + 9.0)]
            await fleet.request(0, True, False)
            await asyncio.sleep(0.1)  # The release that carries the notice reaches the owner.
            for router in fleet.routers.values():
                for engine in ("e1", "e2"):
                    for _ in range(FAILURES_UNTIL_DOWN):
                        router.health.record_failure(engine, asyncio.get_running_loop().time())
            for number in (3, 6, 9):
                await fleet.request(number, True, False)
            return fleet.history.outcome_by_request["q9"]

        outcome = run_virtually(history())
        assert isinstance(outcome, NotRun)
        self.assertEqual(outcome.code, "engines-resting")
        self.assertLessEqual(outcome.retry_after, FULL_RETRY_AFTER)

    def test_a_short_rest_is_waited_out(self) -> None:
        async def history() -> tuple[object, float]:
            fleet = Fleet([], [], False)
            began = asyncio.get_running_loop().time()
            fleet.notices = [
                (engine, Notice(rest=0.4), began, began + 0.2) for engine in fleet.engines
            ]
            await fleet.request(0, True, False)
            return fleet.history.outcome_by_request["q0"], fleet.history.runs["q0"]

        outcome, runs = run_virtually(history())
        self.assertEqual((type(outcome).__name__, runs), ("Whole", 1))
