"""Guards against preferring an engine for its open connection when its load is higher."""

from __future__ import annotations

import unittest

from pondhatch.placement import Ask, Plan, RecentLoads, pooled_first, ranked
from pondhatch.placement._pooled_first import LOAD_LIFETIME

ENGINES = ("a", "b", "c", "d")


class PooledFirstTest(unittest.TestCase):
    def test_engines_with_a_connection_come_first_unless_they_hold_more(self) -> None:
        for loads, mean, expected in (
            ((None, None, None, None), 0.0, ("b", "d")),
            # b has a higher load than a.
            ((3, 4, None, None), 9.0, ("d",)),
            # b has a higher load than d and than the mean.
            ((None, 4, None, 2), 2.5, ("d",)),
            ((None, 3, None, 3), 2.5, ("b", "d")),
        ):
            with self.subTest(loads=loads, mean=mean):
                self.assertEqual(pooled_first(ENGINES, {"b", "d", "z"}, loads, mean), expected)

    def test_a_load_expires(self) -> None:
        loads = RecentLoads()
        loads.record("a", 5, 100.0)
        loads.record("b", 6, 100.0 + LOAD_LIFETIME)
        self.assertEqual(loads.load_of("a", 100.0 + LOAD_LIFETIME), 5)
        loads.record("b", 7, 100.1 + LOAD_LIFETIME)
        self.assertIsNone(loads.load_of("a", 100.1 + LOAD_LIFETIME))
        self.assertEqual(list(loads._load_by_engine), ["b"])


class PreferTest(unittest.TestCase):
    def test_the_preferred_are_asked_first_and_every_other_once(self) -> None:
        order = ranked("request", ENGINES)
        plan = Plan("request", ENGINES)
        plan.prefer((order[3], order[1]))
        self.assertEqual(plan.order, (order[1], order[3], order[0], order[2]))
        asked = []
        for _ in ENGINES:
            step = plan.next_step()
            assert isinstance(step, Ask)
            asked.append(step.engine)
            plan.record_refusal("full")
        self.assertEqual(tuple(asked), plan.order)

    def test_without_preferred_engines_the_order_stays(self) -> None:
        plan = Plan("request", ENGINES)
        plan.prefer(())
        self.assertEqual(plan.order, ranked("request", ENGINES))
