"""Random histories with evacuated halls and cold engines, checked by what engines receive.

Once every router knows that a hall is evacuated, its engines must get nothing: no new request,
retry or resumption of a stream, and none that was queued or granted before. A cold engine must get
no more in any second than its allowance, however routers disagree on its owner.
"""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.placement import Intake
from pondhatch.placement.tests.test_intake import max_in_any_second
from pondhatch.requests._leases import LEASE_SECONDS
from pondhatch.requests.tests._history import (
    COLD_ALLOWANCE,
    PACKET_FAULTS,
    UPSTREAM_FAULTS,
    Fleet,
    violations,
)
from pondhatch.requests.tests.test_histories import PROFILE, REQUEST

#: Seconds from a grant to the send to the engine, in these histories.
SEND_DELAY = 0.011
PACE = 6.0
COLD = Intake(cold_pace=PACE)
EVACUATED = Intake(is_evacuated=True)


def sends_to(fleet: Fleet, engine: str) -> list[float]:
    """Return the times of all sends to an engine."""
    history = fleet.history
    return [at for (_, to), at in zip(history.sends, history.sent_at, strict=True) if to == engine]


class EvacuationHistoryTest(unittest.TestCase):
    @settings(PROFILE)
    @given(
        st.lists(REQUEST, min_size=1, max_size=8),
        st.lists(st.sampled_from(UPSTREAM_FAULTS), max_size=12),
        st.lists(st.sampled_from(PACKET_FAULTS), max_size=12),
        st.booleans(),
        st.floats(0, 0.3),
        st.booleans(),
        st.sets(st.sampled_from(["r0", "r1", "r2"]), max_size=2),
    )
    def test_an_evacuated_hall_gets_nothing(
        self,
        requests: list[tuple[bool, bool, float]],
        upstream_faults: list[str],
        packet_faults: list[str],
        resumes: bool,
        evacuated_at: float,
        same_chat: bool,
        disagreeing: set[str],
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, packet_faults, resumes)
            fleet.same_chat = same_chat
            for name in disagreeing:
                fleet.routers[name].view.claims_all_engines = True

            async def evacuate() -> float:
                await asyncio.sleep(evacuated_at)
                fleet.intake_by_engine["e0"] = EVACUATED
                return asyncio.get_running_loop().time()

            sent = [fleet.request_later(at, *request) for at, request in enumerate(requests)]
            evacuating = asyncio.ensure_future(evacuate())
            await asyncio.gather(*sent)
            known_at = await evacuating
            await asyncio.sleep(2 * LEASE_SECONDS)
            late = [at for at in sends_to(fleet, "e0") if at > known_at + SEND_DELAY]
            found = [f"an evacuated hall got a request at {at}" for at in late]
            repeatable = {f"q{at}": each[0] for at, each in enumerate(requests)}
            # If an owner's replies are lost, another router decides for it while it goes on
            # counting alone.
            is_unheard = bool({"lost", "very-late"} & set(packet_faults))
            return found + violations(fleet, repeatable, 1 + len(disagreeing) + is_unheard)

        self.assertEqual(run_virtually(history()), [])

    def test_requests_are_refused_at_once_if_all_halls_are_evacuated(self) -> None:
        async def history() -> tuple[float, list[object], int]:
            fleet = Fleet([], [], False)
            fleet.intake_by_engine = dict.fromkeys(fleet.engines, EVACUATED)
            began = asyncio.get_running_loop().time()
            await asyncio.gather(*(fleet.request(index, True, False) for index in range(3)))
            took = asyncio.get_running_loop().time() - began
            return took, list(fleet.history.outcome_by_request.values()), len(fleet.history.sends)

        took, outcomes, sends = run_virtually(history())
        self.assertEqual([getattr(each, "code", "") for each in outcomes], ["no-upstream"] * 3)
        self.assertEqual((took, sends), (0.0, 0))


class ColdHistoryTest(unittest.TestCase):
    @settings(PROFILE)
    @given(
        st.lists(st.floats(0, 1.5), min_size=1, max_size=60),
        st.lists(st.sampled_from(UPSTREAM_FAULTS), max_size=24),
        st.lists(st.sampled_from(PACKET_FAULTS), max_size=24),
        st.booleans(),
        st.one_of(st.none(), st.sampled_from(["r0", "r1", "r2"])),
        st.one_of(st.none(), st.tuples(st.sampled_from(["r0", "r1", "r2"]), st.floats(0, 1.0))),
        st.integers(1, 3),
    )
    def test_a_cold_engine_gets_no_more_than_its_allowance(
        self,
        starts: list[float],
        upstream_faults: list[str],
        packet_faults: list[str],
        same_chat: bool,
        disagreeing: str | None,
        freezes: tuple[str, float] | None,
        cold: int,
    ) -> None:
        """At most one router besides the actual owner believes that it owns an engine."""

        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, packet_faults, True)
            fleet.same_chat = same_chat
            fleet.intake_by_engine = dict.fromkeys(fleet.engines[:cold], COLD)
            if disagreeing is not None:
                fleet.routers[disagreeing].view.claims_all_engines = True

            async def freeze() -> None:
                if freezes is not None and disagreeing is None:
                    await asyncio.sleep(freezes[1])
                    fleet.network.silent.add(freezes[0])

            sent = [fleet.request_later(at, True, False, after) for at, after in enumerate(starts)]
            await asyncio.gather(freeze(), *sent)
            most = {each: max_in_any_second(sends_to(fleet, each)) for each in fleet.engines[:cold]}
            bears = COLD_ALLOWANCE.max_per_second(PACE)
            return [f"{each} got {n} in a second" for each, n in most.items() if n > bears]

        self.assertEqual(run_virtually(history()), [])

    def test_cold_engines_are_used_beside_warm_ones_and_alone(self) -> None:
        async def history(cold: int) -> int:
            fleet = Fleet([], [], False)
            fleet.intake_by_engine = dict.fromkeys(fleet.engines[:cold], COLD)
            sent = [fleet.request_later(index, True, False, index * 0.1) for index in range(30)]
            await asyncio.gather(*sent)
            return len(sends_to(fleet, "e0"))

        for cold in (1, 3):
            with self.subTest(cold=cold):
                self.assertGreater(run_virtually(history(cold)), 3)
