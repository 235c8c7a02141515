from __future__ import annotations

import unittest

from pondhatch.limits import RateLimiter


class RateLimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limiter = RateLimiter(rate=10.0, burst=3)

    def test_a_burst_then_the_rate(self) -> None:
        waits = [round(self.limiter.reserve(100.0), 6) for _ in range(6)]
        self.assertEqual(waits, [0.0, 0.0, 0.0, 0.1, 0.2, 0.3])

    def test_idle_time_accumulates_at_most_one_burst(self) -> None:
        for _ in range(3):
            self.limiter.reserve(0.0)
        waits = [round(self.limiter.reserve(1000.0), 6) for _ in range(4)]
        self.assertEqual(waits, [0.0, 0.0, 0.0, 0.1])

    def test_callers_at_the_rate_never_wait(self) -> None:
        self.assertEqual([self.limiter.reserve(index * 0.1) for index in range(100)], [0.0] * 100)
