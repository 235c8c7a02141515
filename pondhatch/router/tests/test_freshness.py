"""Guards against believing a confirmation that is older than it seems, or not yet true here."""

from __future__ import annotations

import unittest

from pondhatch.membership import Confirmation, TreeLevel, Versions
from pondhatch.router._freshness import (
    LATE_ROUNDS_SECONDS,
    MAX_UNNOTICED_WAIT_SECONDS,
    PATIENCE_SECONDS,
    Freshness,
)

HELD = Versions(configuration=3, upstreams=20, evacuations=1)
NEWER = Versions(configuration=4, upstreams=20, evacuations=1)


def confirmation(versions: Versions = HELD, age: float = 0.0, position: int = 50) -> Confirmation:
    return Confirmation(1, versions, position, round(1000 * age))


class FreshnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.freshness = Freshness()
        self.run_until(1.0)

    def run_until(self, now: float) -> None:
        """Run the rounds up to a time."""
        for number in range(int(now * 10) + 1):
            self.freshness.note_round(number / 10)

    def test_a_router_that_heard_nothing_has_to_ask_at_once(self) -> None:
        for level in TreeLevel:
            self.assertEqual(self.freshness.seconds_until_due(level, 1.0), 0.0)

    def test_the_age_of_a_confirmation_counts_from_the_question_to_the_platform(self) -> None:
        self.assertTrue(self.freshness.hear(confirmation(age=0.3), HELD, 1.05))
        self.assertAlmostEqual(self.freshness.age(1.05), 0.3)
        self.assertEqual(self.freshness.position, 50)

    def test_an_older_confirmation_changes_nothing(self) -> None:
        self.freshness.hear(confirmation(), HELD, 1.05)
        self.assertFalse(self.freshness.hear(confirmation(age=0.5, position=40), HELD, 1.1))
        self.assertEqual(self.freshness.position, 50)

    def test_a_confirmation_of_newer_versions_counts_once_they_are_held(self) -> None:
        self.assertFalse(self.freshness.hear(confirmation(NEWER), HELD, 1.05))
        self.assertEqual(self.freshness.position, 0)
        self.assertFalse(self.freshness.use_pending(HELD, 1.1))
        self.assertTrue(self.freshness.use_pending(NEWER, 1.2))
        self.assertAlmostEqual(self.freshness.age(1.2), 0.15)
        self.assertFalse(self.freshness.use_pending(NEWER, 1.3))

    def test_a_packet_that_waited_while_this_router_stood_still_is_as_old_as_that(self) -> None:
        # Read before the first round after the standstill, then after it.
        for has_run_a_round in (False, True):
            with self.subTest(has_run_a_round=has_run_a_round):
                self.freshness = Freshness()
                self.run_until(1.0)
                if has_run_a_round:
                    self.freshness.note_round(6.0)
                self.freshness.hear(confirmation(), HELD, 6.0)
                self.assertGreaterEqual(self.freshness.age(6.0), 5.0)

    def test_no_standstill_longer_than_the_stated_one_goes_unnoticed(self) -> None:
        for number in range(1, 40):
            stood_still = number / 100
            self.freshness = Freshness()
            self.run_until(1.0)
            now = 1.1 + stood_still
            self.freshness.hear(confirmation(), HELD, now)
            if stood_still > MAX_UNNOTICED_WAIT_SECONDS:
                self.assertGreaterEqual(self.freshness.age(now), stood_still)

    def test_rounds_that_are_on_time_add_nothing(self) -> None:
        self.run_until(2.0)
        self.freshness.hear(confirmation(), HELD, 2.1)
        self.assertEqual(self.freshness.age(2.1), 0.0)
        self.assertGreater(LATE_ROUNDS_SECONDS, 0.2)

    def test_a_check_counts_from_when_it_began_and_never_takes_back(self) -> None:
        self.freshness.record_check(60, 1.0)
        self.freshness.record_check(55, 0.9)
        self.assertEqual((self.freshness.position, self.freshness.age(1.5)), (60, 0.5))


class PatienceTest(unittest.TestCase):
    def test_each_level_waits_for_the_one_above(self) -> None:
        patience = [PATIENCE_SECONDS[level] for level in TreeLevel]
        self.assertEqual(patience, sorted(set(patience)))

    def test_one_lost_confirmation_makes_nobody_ask(self) -> None:
        period = PATIENCE_SECONDS[TreeLevel.FLEET_TOP]
        self.assertGreater(PATIENCE_SECONDS[TreeLevel.NEXT_TOP], 2 * period + 0.05)
