"""Guards against limiting accounts below their even share when a router's buffers are full."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondhatch.limits import UNCOUNTED, HeldBytes, Limited, fair_level
from pondhatch.limits._held_bytes import MEMORY_RETRY_AFTER

BOUND = 100
ACCOUNTS = st.sampled_from("abcd")
#: Bytes held by account.
HOLDINGS = st.dictionaries(ACCOUNTS, st.integers(1, 2 * BOUND), min_size=1)


def table(holdings: dict[str, int], bound: int | None = BOUND) -> HeldBytes:
    """Return a HeldBytes in which the accounts hold the given bytes."""
    held = HeldBytes(bound)
    for account, amount in holdings.items():
        held.change(account, amount)
    return held


class HeldBytesTest(unittest.TestCase):
    def test_refuses_the_accounts_above_the_fair_level(self) -> None:
        rows: tuple[tuple[dict[str, int], str, int, bool], ...] = (
            ({"a": 90}, "a", 10, True),
            ({"a": 90}, "a", 11, False),
            ({"a": 100}, "a", 0, False),
            ({"a": 100}, "b", 70, True),
            ({"a": 60, "b": 30}, "b", 30, True),
            ({"a": 60, "b": 30}, "a", 30, False),
            ({"a": 50, "b": 40, "c": 10}, "b", 2, True),
            ({"a": 50, "b": 40, "c": 10}, "a", 2, False),
            ({"a": 50, "b": 50}, "b", 1, False),
            ({}, "a", 101, True),
        )
        for holdings, account, more, expected in rows:
            with self.subTest(holdings=holdings, account=account, more=more):
                self.assertEqual(table(holdings).may_hold(account, more), expected)
                self.assertTrue(table(holdings, None).may_hold(account, more))

    def test_slows_the_sources_of_accounts_at_the_fair_level(self) -> None:
        rows: tuple[tuple[dict[str, int], set[str]], ...] = (
            ({"a": 60, "b": 39}, set()),
            ({"a": 60, "b": 40}, {"a"}),
            ({"a": 50, "b": 50}, {"a", "b"}),
            ({"a": 100, "b": 60, "c": 20}, {"a", "b"}),
            ({"a": 100, "b": 30}, {"a"}),
        )
        for holdings, expected in rows:
            with self.subTest(holdings=holdings):
                held = table(holdings)
                self.assertEqual({each for each in holdings if held.is_slowed(each)}, expected)
                self.assertFalse(any(map(table(holdings, None).is_slowed, holdings)))

    @given(HOLDINGS, ACCOUNTS, st.integers(0, BOUND))
    def test_no_account_under_its_even_share_is_limited(
        self, holdings: dict[str, int], account: str, more: int
    ) -> None:
        held = table(holdings)
        own = holdings.get(account, 0)
        if own * len(holdings | {account: own}) < BOUND:
            self.assertTrue(held.may_hold(account, more) or own + more > BOUND)
            self.assertFalse(held.is_slowed(account))

    @given(HOLDINGS)
    def test_at_the_bound_the_largest_holder_is_limited(self, holdings: dict[str, int]) -> None:
        held = table(holdings)
        most = max(holdings, key=lambda each: holdings[each])
        at_bound = held.total >= BOUND
        self.assertEqual(held.is_slowed(most), at_bound)
        self.assertEqual(held.may_hold(most, 0), not at_bound)

    @given(HOLDINGS)
    def test_amounts_cut_to_the_fair_level_fit_the_bound(self, holdings: dict[str, int]) -> None:
        level = fair_level(holdings.values(), BOUND)
        cut = sum(min(amount, level) for amount in holdings.values())
        self.assertAlmostEqual(cut, min(BOUND, sum(holdings.values())))

    @given(st.lists(st.tuples(ACCOUNTS, st.lists(st.integers(0, BOUND)))))
    def test_closing_all_counters_leaves_nothing_counted(
        self, changes: list[tuple[str, list[int]]]
    ) -> None:
        held = HeldBytes(BOUND)
        counters = [held.counter(account) for account, _ in changes]
        for counter, (_, amounts) in zip(counters, changes, strict=True):
            for amount in amounts:
                counter.set(amount)
        self.assertEqual(held.total, sum(hold.amount for hold in counters))
        self.assertEqual(held.total, sum(held.bytes_by_account.values()))
        for counter in (*counters, *counters):
            counter.close()
            counter.set(9)
        self.assertEqual((held.total, held.bytes_by_account), (0, {}))

    def test_a_refused_request_keeps_its_earlier_amount(self) -> None:
        counter = table({"a": 60, "b": 30}).counter("a")
        self.assertIsNone(counter.try_set(10))
        self.assertEqual(counter.try_set(11), Limited("memory", MEMORY_RETRY_AFTER))
        self.assertEqual(counter.amount, 10)

    def test_more_cannot_be_given_back_than_is_held(self) -> None:
        with self.assertRaises(ValueError):
            table({"a": 5}).change("a", -6)

    def test_the_uncounted_counter_stays_at_zero(self) -> None:
        UNCOUNTED.set(9)
        self.assertIsNone(UNCOUNTED.try_set(9))
        self.assertEqual((UNCOUNTED.amount, UNCOUNTED.is_slowed()), (0, False))
