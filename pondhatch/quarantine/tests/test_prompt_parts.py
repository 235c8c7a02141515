"""Which of several parts of prompts is quarantined, and which requests may still run."""

from __future__ import annotations

import unittest

import msgspec

from pondhatch.quarantine import (
    COMPLETED_BEFORE_SECONDS,
    PART_QUARANTINE_SECONDS,
    QUARANTINE_SECONDS,
    CompletedParts,
    Evidence,
    Suspects,
)
from pondhatch.quarantine._completed_parts import MAX_COMPLETED_PARTS

BAD, TEMPLATE, CHAT, REQUEST = 1, 2, 3, 4


def suspects_with(*crashes_by_part: tuple[int, str]) -> Suspects:
    """Return suspects with one crash for each letter, named by it."""
    suspects = Suspects()
    for part, crashes in crashes_by_part:
        for crash in crashes:
            suspects.add(Evidence(part, crash, 0, is_part=part != REQUEST), 0.0)
    return suspects


class QuarantinedPartTest(unittest.TestCase):
    def test_requests_with_a_part_that_three_crashes_share_are_refused(self) -> None:
        suspects = suspects_with((BAD, "ab"), (CHAT, "a"))
        self.assertIsNone(suspects.quarantining_part((BAD, CHAT), 0.0))
        suspects.add(Evidence(BAD, "c", 0, is_part=True), 0.0)
        self.assertEqual(suspects.quarantining_part((CHAT, BAD), 0.0), BAD)
        self.assertIsNone(suspects.quarantining_part((CHAT,), 0.0))

    def test_of_parts_that_were_always_lost_together_each_alone_may_be_tried(self) -> None:
        suspects = suspects_with((BAD, "abc"), (TEMPLATE, "abc"))
        self.assertIsNotNone(suspects.quarantining_part((TEMPLATE, BAD), 0.0))
        for part in (BAD, TEMPLATE):
            self.assertIsNone(suspects.quarantining_part((part, CHAT), 0.0))
            self.assertTrue(suspects.next_crash_quarantines(part))
        suspects.clear_request(TEMPLATE, 0.0)
        self.assertEqual(suspects.quarantining_part((BAD, CHAT), 0.0), BAD)

    def test_a_part_whose_crashes_two_bad_ones_explain_may_be_tried(self) -> None:
        suspects = suspects_with((BAD, "abc"), (TEMPLATE, "def"), (CHAT, "abd"))
        self.assertIsNone(suspects.quarantining_part((CHAT,), 0.0))
        self.assertEqual(suspects.quarantining_part((BAD,), 0.0), BAD)
        self.assertIsNotNone(suspects.quarantining_part((CHAT, BAD), 0.0))

    def test_a_request_that_is_repeated_as_it_is_explains_its_parts(self) -> None:
        suspects = suspects_with((REQUEST, "abc"), (TEMPLATE, "abc"))
        self.assertTrue(suspects.is_quarantined(REQUEST, 0.0))
        self.assertIsNone(suspects.quarantining_part((TEMPLATE,), 0.0))
        suspects.add(Evidence(TEMPLATE, "d", 0, is_part=True), 0.0)
        self.assertEqual(suspects.quarantining_part((TEMPLATE,), 0.0), TEMPLATE)

    def test_a_part_that_was_in_few_of_many_crashes_is_not_quarantined(self) -> None:
        suspects = Suspects()
        for index in range(10):
            suspects.add(Evidence(100 + index, f"e{index}", 0), float(index))
        for index in (0, 4, 9):
            age_ms = (9 - index) * 1000
            suspects.add(Evidence(CHAT, f"e{index}", age_ms, is_part=True), 9.0)
        self.assertEqual(suspects.crash_count(CHAT), 3)
        self.assertIsNone(suspects.quarantining_part((CHAT,), 9.0))

    def test_each_further_crash_doubles_the_quarantine_of_a_part(self) -> None:
        suspects = suspects_with((BAD, "abc"))
        self.assertIsNotNone(suspects.quarantining_part((BAD,), PART_QUARANTINE_SECONDS - 1))
        self.assertIsNone(suspects.quarantining_part((BAD,), PART_QUARANTINE_SECONDS))
        suspects = suspects_with((BAD, "abcd"))
        self.assertIsNotNone(suspects.quarantining_part((BAD,), 2 * PART_QUARANTINE_SECONDS - 1))
        suspects = suspects_with((BAD, "abcdefghijkl"))
        self.assertIsNotNone(suspects.quarantining_part((BAD,), QUARANTINE_SECONDS - 1))
        self.assertIsNone(suspects.quarantining_part((BAD,), QUARANTINE_SECONDS))


class CompletedPartsTest(unittest.TestCase):
    def test_a_run_shortly_before_a_crash_or_after_it_clears_a_part(self) -> None:
        completed = CompletedParts()
        completed.note((BAD, CHAT), 20.0)
        self.assertTrue(completed.clears(BAD, 10.0))
        self.assertTrue(completed.clears(BAD, 20.0 + COMPLETED_BEFORE_SECONDS - 1))
        self.assertFalse(completed.clears(BAD, 20.0 + COMPLETED_BEFORE_SECONDS))
        self.assertFalse(completed.clears(TEMPLATE, 20.0))

    def test_beyond_the_limit_the_parts_completed_longest_ago_are_forgotten(self) -> None:
        completed = CompletedParts()
        completed.note((BAD, CHAT), 1.0)
        completed.note(range(100, 100 + MAX_COMPLETED_PARTS - 1), 2.0)
        self.assertFalse(completed.clears(BAD, 1.0))
        self.assertTrue(completed.clears(CHAT, 1.0))


class WireTest(unittest.TestCase):
    def test_evidence_of_an_older_build_is_about_a_request(self) -> None:
        encoded = msgspec.msgpack.encode([REQUEST, "a", 5, False])
        self.assertEqual(
            msgspec.msgpack.decode(encoded, type=Evidence), Evidence(REQUEST, "a", 5, False)
        )
