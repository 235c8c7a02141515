"""Random histories of the serving code, checked against the guarantees to callers and engines."""

from __future__ import annotations

import asyncio
import os
import unittest
from unittest.mock import patch

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.requests import EngineRefusal, EntryGrants, GrantRequest, OwnerReply
from pondhatch.requests._leases import LEASE_SECONDS
from pondhatch.requests.tests._history import (
    PACKET_FAULTS,
    PERMANENT_REFUSALS,
    UPSTREAM_FAULTS,
    Fleet,
    violations,
)

SOAK = os.environ.get("PONDHATCH_SOAK") == "1"
settings.register_profile(
    "ci",
    max_examples=400,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "soak", max_examples=20_000, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
PROFILE = settings.get_profile("soak" if SOAK else "ci")

REQUEST = st.tuples(
    st.booleans(),  # may be repeated
    st.sampled_from((False, False, False, True)),  # its caller gives up
    st.floats(0, 0.3),  # starts after, in seconds
)

#: Faults of attempts where engines refuse. "full" is not among them: here engines refuse as
#: full only if they have no free slot.
REFUSAL_FAULTS = ("none", "slow", EngineRefusal.BAD_REQUEST, *PERMANENT_REFUSALS)


class HistoryTest(unittest.TestCase):
    @settings(PROFILE)
    @given(
        st.lists(REQUEST, min_size=1, max_size=8),
        st.lists(st.sampled_from(UPSTREAM_FAULTS), max_size=12),
        st.lists(st.sampled_from(PACKET_FAULTS), max_size=12),
        st.booleans(),
        st.sets(st.sampled_from(["r0", "r1", "r2"]), max_size=2),
        st.one_of(st.none(), st.floats(0, 0.3)),
        st.booleans(),
        st.one_of(st.none(), st.tuples(st.sampled_from(["r0", "r1", "r2"]), st.floats(0, 0.5))),
    )
    def test_guarantees_hold(
        self,
        requests: list[tuple[bool, bool, float]],
        upstream_faults: list[str],
        packet_faults: list[str],
        resumes: bool,
        disagreeing: set[str],
        leaves_at: float | None,
        same_chat: bool,
        freezes: tuple[str, float] | None,
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, packet_faults, resumes)
            fleet.same_chat = same_chat
            for name in disagreeing:
                fleet.routers[name].view.claims_all_engines = True

            async def leave() -> None:
                if leaves_at is not None:
                    await asyncio.sleep(leaves_at)
                    fleet.known_leaving.add("e0")

            async def freeze() -> None:
                if freezes is not None:
                    await asyncio.sleep(freezes[1])
                    fleet.network.silent.add(freezes[0])

            sent = [
                fleet.request_later(number, *request) for number, request in enumerate(requests)
            ]
            await asyncio.gather(leave(), freeze(), *sent)
            await asyncio.sleep(2 * LEASE_SECONDS)
            repeatable = {f"q{at}": each[0] for at, each in enumerate(requests)}
            owners = 1 + len(disagreeing) + (freezes is not None)
            return violations(fleet, repeatable, owners)

        self.assertEqual(run_virtually(history()), [])

    @settings(PROFILE)
    @given(
        st.lists(REQUEST, min_size=1, max_size=12),
        st.lists(st.sampled_from(REFUSAL_FAULTS), max_size=16),
        st.lists(st.integers(1, 4), min_size=3, max_size=3),
        st.integers(0, 3),
        st.booleans(),
    )
    def test_no_request_is_refused_while_a_slot_is_free_for_it(
        self,
        requests: list[tuple[bool, bool, float]],
        refusals: list[str],
        slots: list[int],
        most_tries: int,
        same_chat: bool,
    ) -> None:
        """Engines refuse for random reasons, and have fewer slots than their owners believe."""

        async def history() -> list[str]:
            fleet = Fleet(refusals, [], False)
            fleet.same_chat, fleet.most_tries = same_chat, most_tries
            fleet.upstreams.slots = dict(zip(fleet.engines, slots, strict=True))

            await asyncio.gather(
                *(fleet.request_later(at, *request) for at, request in enumerate(requests))
            )
            await asyncio.sleep(2 * LEASE_SECONDS)
            repeatable = {f"q{at}": each[0] for at, each in enumerate(requests)}
            found = violations(fleet, repeatable)
            return found + fleet.history.refused_despite_free_slot

        self.assertEqual(run_virtually(history()), [])


class SingleFaultTest(unittest.TestCase):
    """Single faults with a known outcome."""

    def outcome(
        self, upstream: list[str], repeatable: bool, resumes: bool = False
    ) -> tuple[str, int, bytes]:
        async def history() -> tuple[str, int, bytes]:
            fleet = Fleet(upstream, [], resumes)
            await fleet.request(0, repeatable, gives_up=False)
            ended = fleet.history.outcome_by_request["q0"]
            text = fleet.history.text_by_request.get("q0", b"")
            return type(ended).__name__, fleet.history.runs["q0"], text

        return run_virtually(history())

    def test_each_single_fault_has_its_outcome(self) -> None:
        cases: list[tuple[list[str], bool, str, int]] = [
            # faults, may be repeated, outcome, runs
            ([EngineRefusal.UNKNOWN], True, "Whole", 1),
            ([EngineRefusal.UNKNOWN], False, "Whole", 1),
            (["lost-after-it-ran"], True, "Whole", 2),
            (["lost-after-it-ran"], False, "Unknown", 1),
            (["crossed"], True, "Whole", 2),
            (["crossed"], False, "Unknown", 1),
            (["lost-before-it-came"], False, "Unknown", 0),
            (["cut"], True, "Broken", 1),
        ]
        for faults, repeatable, outcome, runs in cases:
            with self.subTest(faults=faults, repeatable=repeatable):
                self.assertEqual(self.outcome(faults, repeatable)[:2], (outcome, runs))

    def test_a_stream_is_resumed_at_an_engine_that_began_to_leave(self) -> None:
        async def history() -> str:
            fleet = Fleet(["cut"], [], resumes=True)
            sent = asyncio.ensure_future(fleet.request(0, True, gives_up=False))
            await asyncio.sleep(0.04)
            fleet.known_leaving.update(fleet.engines)
            await sent
            return type(fleet.history.outcome_by_request["q0"]).__name__

        self.assertEqual(run_virtually(history()), "Whole")

    def test_a_resumed_stream_reports_no_load_seen_by_its_earlier_attempts(self) -> None:
        async def main() -> list[tuple[bool, int]]:
            fleet = Fleet(["slow", "cut"], [], resumes=True)
            fleet.same_chat = True
            entry = fleet.routers["r1"].entry
            recorded: list[tuple[bool, int]] = []
            ask = EntryGrants.ask

            async def recording_ask(
                side: EntryGrants, owner: str, grant_request: GrantRequest, max_wait: float
            ) -> OwnerReply:
                if side is entry:
                    recorded.append(
                        (grant_request.resuming, grant_request.seen_in_flight_elsewhere)
                    )
                return await ask(side, owner, grant_request, max_wait)

            with patch.object(EntryGrants, "ask", recording_ask):
                first = asyncio.ensure_future(fleet.request(0, True, gives_up=False))
                await asyncio.sleep(0.1)
                await fleet.request(1, True, gives_up=False)
            await first
            return recorded

        # The first engine is full, so the request to the second states the load seen at the first;
        # the stream is cut at the second.
        self.assertEqual(run_virtually(main()), [(False, 0), (False, 1), (True, 0)])

    def test_a_stream_is_resumed_three_times_at_most(self) -> None:
        self.assertEqual(self.outcome(["cut"] * 3, True, resumes=True)[0], "Whole")
        self.assertEqual(self.outcome(["cut"] * 4, True, resumes=True)[0], "Broken")
