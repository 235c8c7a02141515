"""What upstreams say of themselves, over time."""

from __future__ import annotations

import unittest

from pondhatch.placement import Notice, Notices, Rest
from pondhatch.placement._notices import (
    LONGEST_REST,
    REPORT_LAG_SECONDS,
    UNKNOWN_START_SECONDS,
    UNLISTED_SECONDS,
)

LEAVES = Notice(is_leaving=True)


class NoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.notices = Notices()

    def hear(self, notice: Notice, now: float, is_start_known: bool = True) -> bool:
        return self.notices.record("e", notice, now, is_start_known)

    def rest_left(self, now: float) -> float:
        return self.notices.rest("e", now).for_this_router

    def test_what_leaves_leaves_for_good_and_is_news_once(self) -> None:
        self.assertFalse(self.notices.is_leaving("e", 0.0))
        self.assertTrue(self.hear(LEAVES, 1.0))
        self.assertFalse(self.hear(LEAVES, 2.0))
        self.assertTrue(self.notices.is_leaving("e", 1e6))
        self.assertFalse(self.notices.is_leaving("other", 2.0))

    def test_a_name_that_another_start_may_have_taken_is_not_closed_for_good(self) -> None:
        self.hear(LEAVES, 1.0, is_start_known=False)
        self.assertTrue(self.notices.is_leaving("e", UNKNOWN_START_SECONDS))
        self.assertFalse(self.notices.is_leaving("e", 1.0 + UNKNOWN_START_SECONDS))

    def test_of_overlapping_rests_the_one_that_ends_later_holds(self) -> None:
        self.assertTrue(self.hear(Notice(rest=3.0), 0.0))
        self.assertFalse(self.hear(Notice(rest=1.0), 1.0))
        self.assertEqual(self.rest_left(1.0), 2.0)
        self.assertTrue(self.hear(Notice(rest=3.0), 2.0))
        self.assertEqual(self.rest_left(2.0), 3.0)
        self.assertEqual(self.rest_left(6.0), 0.0)

    def test_whom_a_rest_binds(self) -> None:
        rows = (
            # has places, said to this router, what is left for this one, all and some
            (False, True, Rest(for_this_router=3.0, for_all_routers=3.0)),
            (False, False, Rest(for_this_router=3.0, for_all_routers=3.0)),
            (True, True, Rest(for_this_router=3.0, for_some_routers=3.0)),
            (True, False, Rest(for_some_routers=3.0)),
        )
        for has_places, is_own, rest in rows:
            with self.subTest(has_places=has_places, is_own=is_own):
                notices, notice = Notices(), Notice(rest=3.0, has_free_slots=has_places)
                self.assertTrue(notices.record("e", notice, 0.0, True, is_own))
                self.assertFalse(notices.record("e", notice, 0.0, True, is_own))
                self.assertEqual(notices.rest("e", 0.0), rest)
                self.assertEqual(notices.count_resting({"e"}, 0.0), not has_places)
                self.assertEqual(notices.current(0.0), {"e": notice})

    def test_a_rest_past_reason_ends(self) -> None:
        self.hear(Notice(rest=1e12), 0.0)
        self.assertEqual(self.rest_left(0.0), LONGEST_REST)

    def test_one_that_stays_after_all_is_open_again(self) -> None:
        self.hear(LEAVES, 0.0)
        self.notices.cancel_leaving("e")
        self.notices.cancel_leaving("other")
        self.assertFalse(self.notices.is_leaving("e", 0.0))
        self.assertTrue(self.hear(LEAVES, 1.0))

    def test_a_report_that_may_be_older_does_not_open_it(self) -> None:
        self.assertFalse(self.notices.record_live_report("e", 0.0))
        self.hear(LEAVES, 0.0)
        self.assertFalse(self.notices.record_live_report("e", REPORT_LAG_SECONDS / 2))
        self.assertTrue(self.notices.is_leaving("e", REPORT_LAG_SECONDS))
        self.assertTrue(self.notices.record_live_report("e", REPORT_LAG_SECONDS))
        self.assertFalse(self.notices.is_leaving("e", REPORT_LAG_SECONDS))

    def test_what_is_over_or_long_unlisted_is_forgotten(self) -> None:
        self.hear(LEAVES, 0.0)
        self.notices.record("r", Notice(rest=3.0), 0.0, is_start_known=True)
        self.notices.drop_expired({"e"}, 3.0)
        self.assertEqual(list(self.notices.current(0.0)), ["e"])
        self.notices.drop_expired(set(), UNLISTED_SECONDS - 1)
        self.assertTrue(self.notices.is_leaving("e", UNLISTED_SECONDS))
        self.notices.drop_expired(set(), UNLISTED_SECONDS)
        self.assertFalse(self.notices.is_leaving("e", UNLISTED_SECONDS))
