"""Plans that are drawn from seeds."""

from __future__ import annotations

import unittest

from soak._plan import (
    ANSWER_KINDS,
    ANSWERS_TWICE,
    BAD_PART,
    CROWDED_ROUTER,
    ENDLESS,
    KILL_ALL,
    LOST_READERS,
    OUT_OF_STEP_KINDS,
    PATH_KINDS,
    RELEASE,
    RELEASE_AT_KILL_SECONDS,
    ROUTER_KILL_KINDS,
    SPOILT,
    TARGET_BY_KIND,
    TARGET_BY_LOAD_KIND,
    WARM_UP_SECONDS,
    draw_plan,
)


class PlanTest(unittest.TestCase):
    def test_only_equal_seeds_draw_equal_plans(self) -> None:
        self.assertEqual(draw_plan(3, 30.0, 4), draw_plan(3, 30.0, 4))
        self.assertNotEqual(draw_plan(3, 30.0, 4), draw_plan(4, 30.0, 4))

    def test_faults_are_sorted_and_within_their_window(self) -> None:
        plan = draw_plan(5, 30.0, 4)
        times = [fault.starts_at for fault in plan.faults]
        self.assertEqual(times, sorted(times))
        self.assertTrue(WARM_UP_SECONDS <= times[0] <= times[-1] <= WARM_UP_SECONDS + 30.0)

    def test_every_kind_is_drawn(self) -> None:
        kinds = {fault.kind for seed in range(60) for fault in draw_plan(seed, 30.0, 4).faults}
        self.assertEqual(
            kinds,
            {
                *TARGET_BY_KIND,
                *PATH_KINDS,
                *ANSWER_KINDS,
                ANSWERS_TWICE,
                RELEASE,
                BAD_PART,
                CROWDED_ROUTER,
                LOST_READERS,
                ENDLESS,
                SPOILT,
                *ROUTER_KILL_KINDS,
                *OUT_OF_STEP_KINDS,
            },
        )

    # Guards against runs without a second copy of an answer, which would show nothing of it.
    def test_answers_come_twice_in_every_run(self) -> None:
        for seed in range(60):
            kinds = [fault.kind for fault in draw_plan(seed, 3.0, 4).faults]
            self.assertGreaterEqual(kinds.count(ANSWERS_TWICE), 2)

    # Guards against runs in which some router always remembers the streams.
    def test_all_routers_are_killed_beside_a_release_in_every_run(self) -> None:
        for seed in range(60):
            faults = draw_plan(seed, 3.0, 4).faults
            kills = [each for each in faults if each.kind in ROUTER_KILL_KINDS]
            self.assertGreaterEqual(len(kills), 2)
            self.assertIn(KILL_ALL, [each.kind for each in kills])
            releases = [each.starts_at for each in faults if each.kind == RELEASE]
            for kill in kills:
                nearest = min(abs(each - kill.starts_at) for each in releases)
                self.assertLessEqual(nearest, max(map(abs, RELEASE_AT_KILL_SECONDS)) + 0.001)

    def test_load_faults_are_added_without_changing_the_others(self) -> None:
        plain, loaded = draw_plan(5, 30.0, 4), draw_plan(5, 30.0, 4, manages_load=True)
        added = [fault for fault in loaded.faults if fault not in plain.faults]
        self.assertEqual(
            [fault for fault in loaded.faults if fault in plain.faults], [*plain.faults]
        )
        self.assertLessEqual({fault.kind for fault in added}, set(TARGET_BY_LOAD_KIND))
