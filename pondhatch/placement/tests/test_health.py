"""Guards against requests to upstreams that are down and against avoiding healthy ones too long."""

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

    def test_two_failures_do_not_mark_it_down(self) -> None:
        self.fail_times(2)
        self.assertFalse(self.health.is_down("e", 0.0))
        self.health.record_answer("e")
        self.fail_times(2)
        self.assertFalse(self.health.is_down("e", 0.0))

    def test_one_request_probes_it_after_each_pause(self) -> None:
        self.fail_times(3)
        self.assertTrue(self.health.is_down("e", 0.9))
        probes = [self.health.is_down("e", 1.1) for _ in range(3)]
        self.assertEqual(probes, [False, True, True])

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

    def test_it_is_probed_sooner_where_load_is_managed(self) -> None:
        self.fail_times(3)
        now = 0.0
        for _ in range(6):
            while self.health.is_down("e", now):
                now += 0.5
            self.health.record_failure("e", now, MANAGED_PAUSE)
        self.assertTrue(self.health.is_down("e", now + 1.9))
        self.assertFalse(self.health.is_down("e", now + 2.0))

    def test_simultaneous_failures_do_not_lengthen_the_pause(self) -> None:
        self.fail_times(20)
        self.assertTrue(self.health.is_down("e", 0.9))
        self.assertFalse(self.health.is_down("e", 1.1))
        self.health.record_failure("e", 1.2)
        self.fail_times(20, 1.3)
        self.assertTrue(self.health.is_down("e", 3.1))
        self.assertFalse(self.health.is_down("e", 3.3))

    def test_an_answer_marks_it_up(self) -> None:
        self.fail_times(9)
        self.health.record_answer("e")
        self.assertFalse(self.health.is_down("e", 0.0))
        self.assertEqual(self.health.health_by_upstream, {})


class AilingTest(unittest.TestCase):
    """An upstream that accepts all requests and answers many with errors."""

    def setUp(self) -> None:
        self.health = Health()

    def record_answers(self, pattern: str, now: float = 0.0) -> None:
        """Record answers: "." for a good one, "x" for an error of the upstream."""
        for each in pattern:
            if each == "x":
                self.health.record_error("e", now)
            else:
                self.health.record_answer("e")

    def test_an_error_rate_of_one_half_marks_it_ailing(self) -> None:
        self.record_answers(".x" * 10)
        self.assertTrue(self.health.is_ailing("e", 0.0))

    def test_an_error_rate_of_one_in_seven_does_not_mark_it_ailing(self) -> None:
        self.record_answers("......x" * 40)
        self.assertFalse(self.health.is_ailing("e", 0.0))

    def test_errors_never_mark_it_down(self) -> None:
        self.record_answers("x" * 50)
        self.assertFalse(self.health.is_down("e", 0.0))

    def test_the_ailing_pause_doubles_up_to_a_bound(self) -> None:
        pauses, now = [], 0.0
        for _ in range(4):
            self.record_answers("x" * 10, now)
            pause = 0.0
            while self.health.is_ailing("e", now + pause):
                pause += 0.5
            pauses.append(pause)
            now += pause
        self.assertEqual(pauses, [2.0, 4.0, 8.0, 8.0])

    def test_a_healthy_upstream_is_not_listed(self) -> None:
        self.record_answers("x" * 10)
        self.record_answers("." * 60, 3.0)
        self.assertEqual(self.health.health_by_upstream, {})

    def test_an_error_answer_shows_that_it_is_not_down(self) -> None:
        for _ in range(FAILURES_UNTIL_DOWN):
            self.health.record_failure("e", 0.0)
        self.health.record_error("e", 0.5)
        self.assertFalse(self.health.is_down("e", 0.5))
