"""Guards against slots that stand idle beside a queue while grants are on their way."""

from __future__ import annotations

import unittest

from pondhatch.placement import granted_ahead
from pondhatch.placement._forecast import TURNAROUND


class GrantedAheadTest(unittest.TestCase):
    def test_as_many_are_sent_ahead_as_end_within_the_turnaround(self) -> None:
        rows = (
            ("short runs in six slots", 0.004, 6, 3),
            ("never more than half of the slots", 0.0005, 6, 3),
            ("long runs", 1.0, 48, 1),
            ("one slot", 0.004, 1, 0),
            ("no run has ended yet", 0.0, 6, 0),
        )
        for name, gap, slots, expected in rows:
            with self.subTest(name):
                self.assertEqual(granted_ahead(gap, slots), expected)
        self.assertEqual(granted_ahead(TURNAROUND / 2, 48), 2)
