from __future__ import annotations

import unittest

from pondhatch.store import RETURN_SECONDS, Upstream, Vanished


def upstream(name: str, service: str = "lang") -> Upstream:
    return Upstream(name, service, f"http://{name}", "h1")


class VanishedTest(unittest.TestCase):
    def test_only_what_vanishes_together_is_in_doubt(self) -> None:
        rows = (
            (1, 8, 0),
            (2, 7, 0),
            (4, 5, 0),
            (5, 4, 5),
            (9, 0, 9),
            (1, 0, 0),
            (2, 0, 2),
        )
        for gone, listed, doubted in rows:
            with self.subTest(gone=gone, listed=listed):
                vanished = Vanished()
                for at in range(gone):
                    vanished.note(upstream(f"e{at}"), 10.0)
                vanished.note(upstream("p0", "portal"), 10.0)
                self.assertEqual(len(vanished.in_doubt("lang", listed)), doubted)

    def test_what_goes_one_after_the_other_does_not_come_back_into_doubt(self) -> None:
        vanished = Vanished()
        vanished.note(upstream("e0"), 10.0)
        self.assertEqual(vanished.in_doubt("lang", 3), ())
        vanished.note(upstream("e1"), 11.5)
        self.assertEqual(vanished.in_doubt("lang", 2), ())

    def test_a_later_one_leaves_those_that_lapsed_together_in_doubt(self) -> None:
        vanished = Vanished()
        for at in range(3):
            vanished.note(upstream(f"e{at}"), 10.0 + at / 20)
        vanished.note(upstream("e3"), 11.0)
        self.assertEqual({each.name for each in vanished.in_doubt("lang", 1)}, {"e0", "e1", "e2"})

    def test_what_is_not_back_in_time_is_gone(self) -> None:
        vanished = Vanished()
        for at in range(3):
            vanished.note(upstream(f"e{at}"), 10.0)
        vanished.returned("e0")
        self.assertFalse(vanished.forget_old(10.0 + RETURN_SECONDS - 0.1))
        self.assertEqual(len(vanished.in_doubt("lang", 1)), 2)
        self.assertTrue(vanished.forget_old(10.0 + RETURN_SECONDS + 0.001))
        self.assertEqual(vanished.in_doubt("lang", 1), ())
        self.assertIsNone(vanished.upstream("e1"))
