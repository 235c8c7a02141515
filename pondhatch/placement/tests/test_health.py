from __future__ import annotations

import unittest

from pondhatch.placement import MANAGED_PAUSE, Health
from pondhatch.placement._health import FAILURES_UNTIL_DOWN


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = Health()

    def fail_times(self, times: int, now: float = 0.0) -> None:
        for _ in range(times):
            self.health.record_failure("e", now)

    def test_a_few_failures_are_not_enough(self) -> None:
        self.fail_times(2)
        self.assertFalse(self.health.is_down("e", 0.0))
        self.health.record_answer("e")
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
            self.health.record_failure("e", now)
        self.assertEqual(pauses, [1.0, 2.0, 4.0, 8.0, 15.0, 15.0])

    def test_it_is_tried_again_sooner_where_load_is_managed(self) -> None:
        self.fail_times(3)
        now = 0.0
        for _ in range(6):
            while self.health.is_down("e", now):
                now += 0.5
            self.health.record_failure("e", now, MANAGED_PAUSE)
        self.assertTrue(self.health.is_down("e", now + 1.9))
        self.assertFalse(self.health.is_down("e", now + 2.0))

    def test_what_is_lost_with_it_at_once_makes_no_pause_longer(self) -> None:
        self.fail_times(20)
        self.assertTrue(self.health.is_down("e", 0.9))
        self.assertFalse(self.health.is_down("e", 1.1))
        self.health.record_failure("e", 1.2)
        self.fail_times(20, 1.3)
        self.assertTrue(self.health.is_down("e", 3.1))
        self.assertFalse(self.health.is_down("e", 3.3))

    def test_an_answer_makes_it_well(self) -> None:
        self.fail_times(9)
        self.health.record_answer("e")
        self.assertFalse(self.health.is_down("e", 0.0))
        self.assertEqual(self.health.health_by_upstream, {})


class AilingTest(unittest.TestCase):
    """An upstream that takes all requests and answers many with failures."""

    def setUp(self) -> None:
        self.health = Health()

    def answer(self, pattern: str, now: float = 0.0) -> None:
        """Have answers come: "." for one that is well, "x" for a failure of its own."""
        for each in pattern:
            if each == "x":
                self.health.record_error("e", now)
            else:
                self.health.record_answer("e")

    def test_half_of_its_answers_being_failures_makes_it_ailing(self) -> None:
        self.answer(".x" * 10)
        self.assertTrue(self.health.is_ailing("e", 0.0))

    def test_failures_that_follow_the_request_do_not(self) -> None:
        self.answer("......x" * 40)
        self.assertFalse(self.health.is_ailing("e", 0.0))

    def test_it_is_never_taken_for_down(self) -> None:
        self.answer("x" * 50)
        self.assertFalse(self.health.is_down("e", 0.0))

    def test_it_is_judged_anew_after_rests_that_grow(self) -> None:
        rests, now = [], 0.0
        for _ in range(4):
            self.answer("x" * 10, now)
            rest = 0.0
            while self.health.is_ailing("e", now + rest):
                rest += 0.5
            rests.append(rest)
            now += rest
        self.assertEqual(rests, [2.0, 4.0, 8.0, 8.0])

    def test_once_well_it_is_forgotten(self) -> None:
        self.answer("x" * 10)
        self.answer("." * 60, 3.0)
        self.assertEqual(self.health.health_by_upstream, {})

    def test_a_failure_of_its_own_shows_that_it_is_not_down(self) -> None:
        for _ in range(FAILURES_UNTIL_DOWN):
            self.health.record_failure("e", 0.0)
        self.health.record_error("e", 0.5)
        self.assertFalse(self.health.is_down("e", 0.5))
