"""Guards against conflicting runs of suspects at two routers, which would crash two engines."""

from __future__ import annotations

import unittest

from pondhatch.quarantine import CLAIM_LIFETIME, RunClaims


def same(one: int, other: int) -> bool:
    return one == other


class RunClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.one, self.two = RunClaims(1), RunClaims(2)

    def test_a_claim_waits_for_one_received_before_it(self) -> None:
        first = self.two.claim(7, 0.0)
        self.one.add(first, 0.0)
        second = self.one.claim(7, 0.0)
        self.two.add(second, 0.0)
        self.assertTrue(self.two.goes_first(first, 0.0, same))
        self.assertFalse(self.one.goes_first(second, 0.0, same))
        self.one.remove(first)
        self.assertTrue(self.one.goes_first(second, 0.0, same))

    def test_both_routers_agree_which_of_two_simultaneous_claims_goes_first(self) -> None:
        mine, theirs = self.one.claim(7, 0.0), self.two.claim(7, 0.0)
        self.one.add(theirs, 0.0)
        self.two.add(mine, 0.0)
        found = [self.one.goes_first(mine, 0.0, same), self.two.goes_first(theirs, 0.0, same)]
        self.assertEqual(found, [True, False])

    def test_a_claim_without_an_end_expires(self) -> None:
        self.one.add(self.two.claim(7, 0.0), 0.0)
        mine = self.one.claim(7, 1.0)
        self.assertFalse(self.one.goes_first(mine, CLAIM_LIFETIME - 1, same))
        self.assertTrue(self.one.goes_first(mine, CLAIM_LIFETIME, same))

    def test_claims_without_a_conflict_run_at_once(self) -> None:
        self.one.add(self.two.claim(7, 0.0), 0.0)
        other = self.one.claim(8, 0.0)
        self.assertTrue(self.one.goes_first(other, 0.0, same))
        self.assertFalse(self.one.goes_first(other, 0.0, lambda one, other: True))
