from __future__ import annotations

import unittest

from pondhatch.store import RETURN_SECONDS, Upstream, VanishedUpstreams


def upstream(name: str, service: str = "lang") -> Upstream:
    return Upstream(name, service, f"http://{name}", "h1")


class VanishedTest(unittest.TestCase):
    def test_only_upstreams_that_vanish_together_are_in_doubt(self) -> None:
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
                vanished = VanishedUpstreams()
                for index in range(gone):
                    vanished.add(upstream(f"e{index}"), 10.0)
                vanished.add(upstream("p0", "portal"), 10.0)
                self.assertEqual(len(vanished.in_doubt("lang", listed)), doubted)

    def test_upstreams_that_vanish_one_by_one_are_not_in_doubt(self) -> None:
        vanished = VanishedUpstreams()
        vanished.add(upstream("e0"), 10.0)
        self.assertEqual(vanished.in_doubt("lang", 3), ())
        vanished.add(upstream("e1"), 11.5)
        self.assertEqual(vanished.in_doubt("lang", 2), ())

    def test_a_later_removal_leaves_the_group_in_doubt(self) -> None:
        vanished = VanishedUpstreams()
        for index in range(3):
            vanished.add(upstream(f"e{index}"), 10.0 + index / 20)
        vanished.add(upstream("e3"), 11.0)
        self.assertEqual({each.name for each in vanished.in_doubt("lang", 1)}, {"e0", "e1", "e2"})

    def test_upstreams_that_do_not_return_in_time_are_gone(self) -> None:
        vanished = VanishedUpstreams()
        for index in range(3):
            vanished.add(upstream(f"e{index}"), 10.0)
        vanished.discard("e0")
        self.assertFalse(vanished.forget_old(10.0 + RETURN_SECONDS - 0.1))
        self.assertEqual(len(vanished.in_doubt("lang", 1)), 2)
        self.assertTrue(vanished.forget_old(10.0 + RETURN_SECONDS + 0.001))
        self.assertEqual(vanished.in_doubt("lang", 1), ())
        self.assertIsNone(vanished.upstream("e1"))
