from __future__ import annotations

import random
import unittest

from pondhatch.kernel import Backoff


class BackoffTest(unittest.TestCase):
    def test_pauses_double_up_to_the_longest_with_jitter_below(self) -> None:
        backoff = Backoff(0.2, 1.0, random.Random(1))
        for most in (0.2, 0.4, 0.8, 1.0, 1.0):
            pause = backoff.next()
            self.assertLessEqual(pause, most)
            self.assertGreaterEqual(pause, most / 2)

    def test_reset_begins_with_the_first_pause(self) -> None:
        backoff = Backoff(0.2, 1.0, random.Random(1))
        for _ in range(3):
            backoff.next()
        backoff.reset()
        self.assertLessEqual(backoff.next(), 0.2)

    def test_jitter_spreads_the_first_pauses(self) -> None:
        pauses = {Backoff(0.2, 1.0, random.Random(seed)).next() for seed in range(8)}
        self.assertEqual(len(pauses), 8)
