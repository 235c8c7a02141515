"""Guards against a queue that stands still while freed slots wait for the next grant to arrive."""

from __future__ import annotations

import unittest

from msgspec.structs import replace

from pondhatch.placement import OPEN, Gate, Granted, Health, Pace, SpillMemory
from pondhatch.requests import LocalOwner, Question, Target
from pondhatch.requests._owner import MustWait
from pondhatch.requests._questions import Busy

ENGINE = "e0"
SLOTS = 6


class OneEngine:
    """A view of one engine that queues three requests beyond its slots; see OwnerView."""

    def target(self, engine: str) -> Target:
        return Target(engine, "", OPEN, 1.7, 1, SLOTS, queue=3, slack=99)

    def owner_name(self, engine: str) -> str:
        return "r0"

    def elsewhere_in_flight(self, engine: str) -> int:
        return 0

    def is_young(self, engine: str) -> bool:
        return False

    def stopping(self) -> bool:
        return False

    def load_managed(self) -> bool:
        return True


class GrantedAheadTest(unittest.TestCase):
    def setUp(self) -> None:
        memory, health = SpillMemory(), Health()
        self.owner = LocalOwner("r0", OneEngine(), Gate(), memory, lambda: 1.0, health)
        self.owner._lines._pace_by_engine[ENGINE] = Pace(1.0, 0.004, 9)
        self._numbers = iter(range(99))

    def ask(self, in_time: int = 0, patience: int = 0) -> object:
        question = Question(next(self._numbers), 1, ENGINE, "a", 0, 5, patience)
        return self.owner.decide(replace(question, in_time=in_time))

    def test_only_those_that_wait_are_sent_ahead_of_a_free_slot(self) -> None:
        granted = [self.ask() for _ in range(SLOTS)]
        self.assertTrue(all(isinstance(each, Granted) for each in granted))
        self.assertIsInstance(self.ask(), Busy)
        ahead = [self.ask(in_time=100, patience=500) for _ in range(4)]
        self.assertEqual([type(each) for each in ahead], [Granted, Granted, Granted, MustWait])
