"""What a seed draws."""

from __future__ import annotations

import unittest

from soak._plan import CALM_SECONDS, TARGET_BY_KIND, TARGET_BY_LOAD_KIND, draw_plan


class PlanTest(unittest.TestCase):
    def test_a_seed_draws_the_same_each_time_and_another_one_something_else(self) -> None:
        self.assertEqual(draw_plan(3, 30.0, 4), draw_plan(3, 30.0, 4))
        self.assertNotEqual(draw_plan(3, 30.0, 4), draw_plan(4, 30.0, 4))

    def test_faults_come_in_order_and_within_their_time(self) -> None:
        plan = draw_plan(5, 30.0, 4)
        times = [fault.at for fault in plan.faults]
        self.assertEqual(times, sorted(times))
        self.assertTrue(CALM_SECONDS <= times[0] <= times[-1] <= CALM_SECONDS + 30.0)

    def test_every_kind_is_drawn(self) -> None:
        kinds = {fault.kind for seed in range(60) for fault in draw_plan(seed, 30.0, 4).faults}
        self.assertEqual(kinds, set(TARGET_BY_KIND))

    def test_faults_of_load_are_drawn_beside_the_others_that_stay_the_same(self) -> None:
        plain, loaded = draw_plan(5, 30.0, 4), draw_plan(5, 30.0, 4, manages_load=True)
        added = [fault for fault in loaded.faults if fault not in plain.faults]
        self.assertEqual(
            [fault for fault in loaded.faults if fault in plain.faults], [*plain.faults]
        )
        self.assertLessEqual({fault.kind for fault in added}, set(TARGET_BY_LOAD_KIND))
