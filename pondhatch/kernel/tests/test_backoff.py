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

    def test_a_try_that_worked_begins_anew(self) -> None:
        backoff = Backoff(0.2, 1.0, random.Random(1))
        for _ in range(3):
            backoff.next()
        backoff.reset()
        self.assertLessEqual(backoff.next(), 0.2)

    def test_two_do_not_come_back_at_the_same_moment(self) -> None:
        pauses = {Backoff(0.2, 1.0, random.Random(seed)).next() for seed in range(8)}
        self.assertEqual(len(pauses), 8)
