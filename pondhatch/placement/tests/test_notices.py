"""Guards against notices that apply too long, too short, or to the wrong routers."""

from __future__ import annotations

import unittest

from pondhatch.placement import Notice, Notices, Rest
from pondhatch.placement._notices import (
    LONGEST_REST,
    REPORT_LAG_SECONDS,
    UNKNOWN_START_SECONDS,
    UNLISTED_SECONDS,
)

LEAVING = Notice(is_leaving=True)


class NoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.notices = Notices()

    def record(self, notice: Notice, now: float, is_start_known: bool = True) -> bool:
        return self.notices.record("e", notice, now, is_start_known)

    def rest_left(self, now: float) -> float:
        return self.notices.rest("e", now).for_this_router

    def test_a_leaving_start_stays_so_and_is_new_once(self) -> None:
        self.assertFalse(self.notices.is_leaving("e", 0.0))
        self.assertTrue(self.record(LEAVING, 1.0))
        self.assertFalse(self.record(LEAVING, 2.0))
        self.assertTrue(self.notices.is_leaving("e", 1e6))
        self.assertFalse(self.notices.is_leaving("other", 2.0))

    def test_leaving_expires_where_the_start_is_unknown(self) -> None:
        self.record(LEAVING, 1.0, is_start_known=False)
        self.assertTrue(self.notices.is_leaving("e", UNKNOWN_START_SECONDS))
        self.assertFalse(self.notices.is_leaving("e", 1.0 + UNKNOWN_START_SECONDS))

    def test_of_overlapping_rests_the_one_that_ends_later_holds(self) -> None:
        self.assertTrue(self.record(Notice(rest=3.0), 0.0))
        self.assertFalse(self.record(Notice(rest=1.0), 1.0))
        self.assertEqual(self.rest_left(1.0), 2.0)
        self.assertTrue(self.record(Notice(rest=3.0), 2.0))
        self.assertEqual(self.rest_left(2.0), 3.0)
        self.assertEqual(self.rest_left(6.0), 0.0)

    def test_which_routers_a_rest_applies_to(self) -> None:
        rows = (
            # has free slots, received by this router, remaining rests
            (False, True, Rest(for_this_router=3.0, for_all_routers=3.0)),
            (False, False, Rest(for_this_router=3.0, for_all_routers=3.0)),
            (True, True, Rest(for_this_router=3.0, for_some_routers=3.0)),
            (True, False, Rest(for_some_routers=3.0)),
        )
        for has_free_slots, is_for_this_router, rest in rows:
            with self.subTest(has_free_slots=has_free_slots, is_for_this_router=is_for_this_router):
                notices, notice = Notices(), Notice(rest=3.0, has_free_slots=has_free_slots)
                self.assertTrue(notices.record("e", notice, 0.0, True, is_for_this_router))
                self.assertFalse(notices.record("e", notice, 0.0, True, is_for_this_router))
                self.assertEqual(notices.rest("e", 0.0), rest)
                self.assertEqual(notices.count_resting({"e"}, 0.0), not has_free_slots)
                self.assertEqual(notices.current(0.0), {"e": notice})

    def test_an_excessive_rest_is_capped(self) -> None:
        self.record(Notice(rest=1e12), 0.0)
        self.assertEqual(self.rest_left(0.0), LONGEST_REST)

    def test_an_upstream_that_cancels_leaving_is_open_again(self) -> None:
        self.record(LEAVING, 0.0)
        self.notices.cancel_leaving("e")
        self.notices.cancel_leaving("other")
        self.assertFalse(self.notices.is_leaving("e", 0.0))
        self.assertTrue(self.record(LEAVING, 1.0))

    def test_a_live_report_right_after_a_notice_is_ignored(self) -> None:
        self.assertFalse(self.notices.record_live_report("e", 0.0))
        self.record(LEAVING, 0.0)
        self.assertFalse(self.notices.record_live_report("e", REPORT_LAG_SECONDS / 2))
        self.assertTrue(self.notices.is_leaving("e", REPORT_LAG_SECONDS))
        self.assertTrue(self.notices.record_live_report("e", REPORT_LAG_SECONDS))
        self.assertFalse(self.notices.is_leaving("e", REPORT_LAG_SECONDS))

    def test_expired_and_long_unlisted_notices_are_dropped(self) -> None:
        self.record(LEAVING, 0.0)
        self.notices.record("r", Notice(rest=3.0), 0.0, is_start_known=True)
        self.notices.drop_expired({"e"}, 3.0)
        self.assertEqual(list(self.notices.current(0.0)), ["e"])
        self.notices.drop_expired(set(), UNLISTED_SECONDS - 1)
        self.assertTrue(self.notices.is_leaving("e", UNLISTED_SECONDS))
        self.notices.drop_expired(set(), UNLISTED_SECONDS)
        self.assertFalse(self.notices.is_leaving("e", UNLISTED_SECONDS))
