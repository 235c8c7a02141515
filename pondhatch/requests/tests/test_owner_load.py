"""Guards against an owner whose grants leave slots idle, crowd slow engines, or are blocked."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from msgspec.structs import replace

from fakes._virtual_loop import run_virtually
from pondhatch.placement import (
    OPEN,
    Gate,
    Granted,
    Health,
    ReleaseInterval,
    SpillMemory,
    TokenCounts,
)
from pondhatch.requests import GrantRequest, LocalOwner, Target
from pondhatch.requests._grant_requests import Busy
from pondhatch.requests._owner import MustWait

ENGINE = "e0"
SLOTS = 6


class OneEngine:
    """A view of one engine that queues three requests beyond its slots; see OwnerView."""

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


class GrantedAheadTest(unittest.TestCase):
    def setUp(self) -> None:
        memory, health = SpillMemory(), Health()
        self.owner = LocalOwner("r0", OneEngine(), Gate(), memory, lambda: 1.0, health)
        self.owner._queues._interval_by_engine[ENGINE] = ReleaseInterval(1.0, 0.004, 9)
        self._numbers = iter(range(99))

    def ask(self, in_time: int = 0, patience: int = 0) -> object:
        question = GrantRequest(next(self._numbers), 1, ENGINE, "a", 0, 5, patience)
        return self.owner.decide(replace(question, in_time=in_time))

    def test_only_those_that_wait_are_sent_ahead_of_a_free_slot(self) -> None:
        granted = [self.ask() for _ in range(SLOTS)]
        self.assertTrue(all(isinstance(each, Granted) for each in granted))
        self.assertIsInstance(self.ask(), Busy)
        ahead = [self.ask(in_time=100, patience=500) for _ in range(4)]
        self.assertEqual([type(each) for each in ahead], [Granted, Granted, Granted, MustWait])


class SlowEngineTest(unittest.TestCase):
    """An engine at two fifths of its speed; its owner lowers the ceiling."""

    def test_only_a_request_whose_context_is_there_goes_by_the_usual_ceiling(self) -> None:
        """Guards against waiting chats that crowd an engine without their context."""
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
        for name, said, expected in rows:
            with self.subTest(name):
                gate = Gate()
                view = OneEngine(pace=250)
                owner = LocalOwner("r0", view, gate, SpillMemory(), lambda: 1.0, Health())
                for _ in range(3):
                    gate.adopt(ENGINE)
                question = replace(GrantRequest(1, 1, ENGINE, "a", 0, 5), **said)
                self.assertIsInstance(owner.decide(question), expected)


class TooLargeTest(unittest.TestCase):
    def test_no_memory_is_kept_for_a_request_that_states_more_than_there_is(self) -> None:
        """Guards against one false header that stops all others at an engine."""

        async def main() -> object:
            counts = TokenCounts()
            view = OneEngine(memory=10_000)
            owner = LocalOwner(
                "r0", view, Gate(), SpillMemory(), lambda: 1.0, Health(), tokens=counts
            )
            owner.decide(GrantRequest(1, 1, ENGINE, "a", 0, 5, tokens=100))
            false = GrantRequest(2, 1, ENGINE, "b", 0, 5, max_wait_ms=100, tokens=999_999_999)
            waiting = asyncio.ensure_future(owner.ask(false))
            await asyncio.sleep(0.05)
            owner.tick()
            reply = owner.decide(GrantRequest(3, 1, ENGINE, "c", 0, 5, tokens=100))
            await waiting
            return reply

        self.assertIsInstance(run_virtually(main()), Granted)
