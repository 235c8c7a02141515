"""Guards against slots that are idle while the grant for the next queued request is under way."""

from __future__ import annotations

import unittest

from pondhatch.placement import extra_grants
from pondhatch.placement._forecast import TURNAROUND_SECONDS


class ExtraGrantsTest(unittest.TestCase):
    def test_extra_grants_cover_the_runs_that_end_within_the_turnaround(self) -> None:
        rows = (
            ("short runs", 0.004, 8, 3),
            ("never more than the engine queues", 0.0005, 3, 3),
            ("long runs", 1.0, 3, 1),
            ("an engine that queues none", 0.004, 0, 0),
            ("no run has ended yet", 0.0, 3, 0),
        )
        for name, gap, limit, expected in rows:
            with self.subTest(name):
                self.assertEqual(extra_grants(gap, limit), expected)
        self.assertEqual(extra_grants(TURNAROUND_SECONDS / 2, 3), 2)
