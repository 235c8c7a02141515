from __future__ import annotations

import unittest

from pondhatch.placement import Health


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = Health()

    def fail_times(self, times: int, now: float = 0.0) -> None:
        for _ in range(times):
            self.health.failed("e", now)

    def test_a_few_failures_are_not_enough(self) -> None:
        self.fail_times(2)
        self.assertFalse(self.health.is_down("e", 0.0))
        self.health.answered("e")
        self.fail_times(2)
        self.assertFalse(self.health.is_down("e", 0.0))

    def test_one_request_tries_it_after_each_pause(self) -> None:
        self.fail_times(3)
        self.assertTrue(self.health.is_down("e", 0.9))
        tries = [self.health.is_down("e", 1.1) for _ in range(3)]
        self.assertEqual(tries, [False, True, True])

    def test_the_pause_doubles_up_to_a_bound(self) -> None:
        self.fail_times(3)
        pauses = []
        now = 0.0
        for _ in range(6):
            pause = 0.0
            while self.health.is_down("e", now + pause):
                pause += 0.5
            pauses.append(pause)
            now += pause
            self.health.failed("e", now)
        self.assertEqual(pauses, [1.0, 2.0, 4.0, 8.0, 15.0, 15.0])

    def test_an_answer_makes_it_well(self) -> None:
        self.fail_times(9)
        self.health.answered("e")
        self.assertFalse(self.health.is_down("e", 0.0))
        self.assertEqual(self.health.health_by_upstream, {})
