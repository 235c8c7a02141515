from __future__ import annotations

import unittest

from pondhatch.limits import Pace


class PaceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pace = Pace(rate=10.0, burst=3)

    def test_a_burst_then_the_rate(self) -> None:
        waits = [round(self.pace.take(100.0), 6) for _ in range(6)]
        self.assertEqual(waits, [0.0, 0.0, 0.0, 0.1, 0.2, 0.3])

    def test_a_quiet_time_saves_up_no_more_than_a_burst(self) -> None:
        for _ in range(3):
            self.pace.take(0.0)
        waits = [round(self.pace.take(1000.0), 6) for _ in range(4)]
        self.assertEqual(waits, [0.0, 0.0, 0.0, 0.1])

    def test_who_keeps_to_the_rate_never_waits(self) -> None:
        self.assertEqual([self.pace.take(at * 0.1) for at in range(100)], [0.0] * 100)
