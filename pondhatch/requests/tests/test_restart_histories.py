"""Random histories in which engines restart under their ids while requests run.

Each router learns of a restart with a delay. Until then it reaches the new process under the
name of the old one, since the id and the address are the same.
"""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.requests._leases import LEASE_SECONDS
from pondhatch.requests.tests._history import PACKET_FAULTS, UPSTREAM_FAULTS, Fleet, violations
from pondhatch.requests.tests.test_histories import PROFILE, REQUEST

#: Seconds until a router learns of a restart: up to several times a gossip round and a pull.
LEARNING_DELAY = st.floats(0, 0.5)


class RestartHistoryTest(unittest.TestCase):
    @settings(PROFILE)
    @given(
        st.lists(REQUEST, min_size=1, max_size=8),
        st.lists(st.sampled_from(UPSTREAM_FAULTS), max_size=8),
        st.lists(st.sampled_from(PACKET_FAULTS), max_size=8),
        st.booleans(),
        st.booleans(),
        st.lists(st.tuples(st.integers(0, 2), st.floats(0, 0.4)), min_size=1, max_size=4),
        st.tuples(LEARNING_DELAY, LEARNING_DELAY, LEARNING_DELAY),
    )
    def test_guarantees_hold_across_restarts(
        self,
        requests: list[tuple[bool, bool, float]],
        upstream_faults: list[str],
        packet_faults: list[str],
        resumes: bool,
        same_chat: bool,
        starts: list[tuple[int, float]],
        news: tuple[float, float, float],
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, packet_faults, resumes)
            fleet.same_chat = same_chat

            async def start(number: int, engine: int, after: float) -> None:
                await asyncio.sleep(after)
                fleet.restart_engine(engine, 1000 + number)
                loop = asyncio.get_running_loop()
                for router, seconds in zip(fleet.names, news, strict=True):
                    loop.call_later(seconds, fleet.learn_starts, router)

            sent = [
                fleet.request_later(number, *request) for number, request in enumerate(requests)
            ]
            began = [start(number, *each) for number, each in enumerate(starts)]
            await asyncio.gather(*sent, *began)
            await asyncio.sleep(2 * LEASE_SECONDS)
            repeatable = {f"q{at}": each[0] for at, each in enumerate(requests)}
            # Until its owner learns of a start, the engine is used under two names, each with a
            # count of its own.
            return violations(fleet, repeatable, owners=1 + len(starts))

        self.assertEqual(run_virtually(history()), [])


class OneRestartTest(unittest.TestCase):
    """One engine restarts while it streams, and no other engine takes the request over."""

    def outcome(self, repeatable: bool, resumes: bool) -> tuple[str, int]:
        async def history() -> tuple[str, int]:
            fleet = Fleet([], [], resumes)
            sent = asyncio.ensure_future(fleet.request(0, repeatable, gives_up=False))
            await asyncio.sleep(0.05)
            (_, engine) = fleet.history.sends[0]
            fleet.restart_engine(fleet.engines.index(engine), 1000)
            for router in fleet.names:
                fleet.learn_starts(router)
            await sent
            ended = fleet.history.outcome_by_request["q0"]
            return type(ended).__name__, fleet.history.runs["q0"]

        return run_virtually(history())

    def test_a_request_cut_by_a_restart_is_broken_and_not_refused(self) -> None:
        self.assertEqual(self.outcome(repeatable=False, resumes=False), ("Broken", 1))

    def test_a_stream_that_only_the_restarted_engine_could_resume_breaks(self) -> None:
        self.assertEqual(self.outcome(repeatable=True, resumes=True), ("Broken", 1))
