"""Guards against owners that leave slots idle, overload slow engines, or block all grants."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from msgspec.structs import replace

from fakes._virtual_loop import run_virtually
from pondhatch.placement import (
    OPEN,
    ContextLocations,
    Gate,
    Granted,
    Health,
    ReleaseInterval,
    TokenCounts,
)
from pondhatch.requests import GrantRequest, LocalOwner, Target
from pondhatch.requests._grant_requests import Busy
from pondhatch.requests._owner import MustWait

ENGINE = "e0"
SLOTS = 6


class OneEngineView:
    """A view of one engine, which queues three requests beyond its slots; see OwnerView."""

    def __init__(self, pace: int = 100, memory: int | None = None) -> None:
        self._pace = pace
        self._memory = memory

    def target(self, engine: str) -> Target:
        target = Target(engine, "", OPEN, 1.7, 1, SLOTS, engine_queue=3, load_slack=99)
        return replace(target, pace=self._pace, memory_tokens=self._memory)

    def owner_name(self, engine: str) -> str:
        return "r0"

    def elsewhere_in_flight(self, engine: str) -> int:
        return 0

    def is_young(self, engine: str) -> bool:
        return False

    def is_draining(self) -> bool:
        return False

    def is_load_managed(self) -> bool:
        return True


class ExtraGrantsTest(unittest.TestCase):
    def setUp(self) -> None:
        spill_locations, health = ContextLocations(), Health()
        self.owner = LocalOwner("r0", OneEngineView(), Gate(), spill_locations, lambda: 1.0, health)
        # A slot comes free every 4 ms: three within the turnaround of 10 ms, rounded up.
        self.owner._queues._interval_by_engine[ENGINE] = ReleaseInterval(1.0, 0.004, 9)
        self._numbers = iter(range(99))

    def ask(self, in_time: int = 0, max_wait_ms: int = 0) -> object:
        grant_request = GrantRequest(next(self._numbers), 1, ENGINE, "a", 0, 5, max_wait_ms)
        return self.owner.decide(replace(grant_request, in_time=in_time))

    def test_only_waiting_requests_are_granted_before_a_slot_is_free(self) -> None:
        granted = [self.ask() for _ in range(SLOTS)]
        self.assertTrue(all(isinstance(each, Granted) for each in granted))
        self.assertIsInstance(self.ask(), Busy)
        ahead = [self.ask(in_time=100, max_wait_ms=500) for _ in range(4)]
        self.assertEqual([type(each) for each in ahead], [Granted, Granted, Granted, MustWait])


class SlowEngineTest(unittest.TestCase):
    """An engine at two fifths of its speed runs 3 requests; its owner lowers the ceiling to 2."""

    def test_only_a_request_with_its_context_there_gets_the_usual_ceiling(self) -> None:
        """Guards against queued chats that overload an engine which lacks their contexts."""
        rows: tuple[tuple[str, dict[str, Any], type], ...] = (
            ("at its home", {"is_home": True, "is_followup": True}, Granted),
            ("waits for its context", {"is_followup": True, "max_wait_ms": 50}, Granted),
            (
                "waits at several engines",
                {"is_followup": True, "max_wait_ms": 50, "in_time": 100},
                MustWait,
            ),
            ("without a context", {}, Busy),
        )
        for name, fields, expected in rows:
            with self.subTest(name):
                gate = Gate()
                view = OneEngineView(pace=250)
                owner = LocalOwner("r0", view, gate, ContextLocations(), lambda: 1.0, Health())
                for _ in range(3):
                    gate.adopt(ENGINE)
                grant_request = replace(GrantRequest(1, 1, ENGINE, "a", 0, 5), **fields)
                self.assertIsInstance(owner.decide(grant_request), expected)


class TooLargeTest(unittest.TestCase):
    def test_no_memory_is_reserved_for_a_request_larger_than_all_memory(self) -> None:
        """Guards against a request with a wrong token count that blocks all others at an engine."""

        async def main() -> object:
            counts = TokenCounts()
            view = OneEngineView(memory=10_000)
            owner = LocalOwner(
                "r0", view, Gate(), ContextLocations(), lambda: 1.0, Health(), token_counts=counts
            )
            owner.decide(GrantRequest(1, 1, ENGINE, "a", 0, 5, tokens=100))
            too_large = GrantRequest(2, 1, ENGINE, "b", 0, 5, max_wait_ms=100, tokens=999_999_999)
            waiting = asyncio.ensure_future(owner.ask(too_large))
            await asyncio.sleep(0.05)
            owner.tick()
            reply = owner.decide(GrantRequest(3, 1, ENGINE, "c", 0, 5, tokens=100))
            await waiting
            return reply

        self.assertIsInstance(run_virtually(main()), Granted)
