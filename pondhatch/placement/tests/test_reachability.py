"""Guards against taking one router's own paths for the state of an engine, and against flapping."""

from __future__ import annotations

import unittest

from pondhatch.placement import Reachability, RecentAnswers, RelayChoice, RelayRouter
from pondhatch.placement._reachability import (
    LONGEST_RECHECK_SECONDS,
    PROBED_SECONDS,
    RECHECK_SECONDS,
    UNUSED_SECONDS,
)
from pondhatch.placement._recent_answers import RECENT_SECONDS
from pondhatch.placement._relay_choice import (
    DEMOTED_SECONDS,
    GONE_SECONDS,
    MAX_RELAYS,
    UNREACHABLE_SECONDS,
    UNSUPPORTED_SECONDS,
)


class ReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = Reachability()

    def test_an_engine_is_unreachable_from_the_first_failure_to_the_next_connection(self) -> None:
        self.assertTrue(self.paths.is_reachable("e"))
        self.assertTrue(self.paths.record_failure("e", 1.0))
        self.assertFalse(self.paths.record_failure("e", 1.1))
        self.assertFalse(self.paths.is_reachable("e"))
        self.paths.record_answer(1.2)
        self.assertFalse(self.paths.is_reachable("e"))
        self.assertTrue(self.paths.record_connection("e", 1.3))
        self.assertTrue(self.paths.is_reachable("e"))

    def test_one_connection_is_tried_in_each_pause(self) -> None:
        self.paths.record_failure("e", 0.0)
        times = [step * RECHECK_SECONDS / 4 for step in range(1, 13)]
        self.assertEqual(sum(self.paths.start_recheck("e", now) for now in times), 3)

    def test_a_path_that_comes_and_goes_is_tried_less_and_less_often(self) -> None:
        pauses = []
        for now in range(0, 12, 2):
            self.paths.record_failure("e", now)
            pauses.append(self.paths._lost_by_engine["e"].pause)
            self.paths.record_connection("e", now + 1)
        self.assertEqual(pauses[:3], [RECHECK_SECONDS, 2 * RECHECK_SECONDS, 4 * RECHECK_SECONDS])
        self.assertEqual(pauses[-1], LONGEST_RECHECK_SECONDS)
        self.paths.record_failure("e", 100.0)
        self.assertEqual(self.paths._lost_by_engine["e"].pause, RECHECK_SECONDS)

    def test_own_paths_are_in_doubt_until_some_engine_is_in_contact(self) -> None:
        self.assertFalse(self.paths.is_doubtful())
        self.paths.record_answer(0.9)
        self.paths.record_failure("e", 1.0)
        self.assertTrue(self.paths.is_doubtful())
        self.paths.record_answer(1.1)
        self.assertFalse(self.paths.is_doubtful())
        self.paths.record_failure("f", 1.2)
        self.assertTrue(self.paths.is_doubtful())

    def test_idle_connections_are_trusted_by_their_bytes_or_after_probes(self) -> None:
        self.assertEqual(self.paths.connections_valid_since("e", 1.0), float("-inf"))
        self.paths.record_failure("e", 1.0)
        self.assertEqual(self.paths.connections_valid_since("e", 1.5), 1.0)
        after_probes = self.paths.connections_valid_since("e", 1.0 + PROBED_SECONDS)
        self.assertEqual(after_probes, float("-inf"))

    def test_what_is_not_tried_any_more_is_forgotten(self) -> None:
        self.paths.record_failure("e", 0.0)
        self.paths.drop_unused(UNUSED_SECONDS / 2)
        self.assertEqual(self.paths.unreachable(), ("e",))
        self.paths.drop_unused(UNUSED_SECONDS * 2)
        self.assertEqual(self.paths.unreachable(), ())


class RelayChoiceTest(unittest.TestCase):
    ROUTERS = tuple(
        RelayRouter(f"r{hall}{index}", f"hall-{hall}") for hall in range(3) for index in range(3)
    )

    def setUp(self) -> None:
        self.choice = RelayChoice("own", "hall-0")

    def candidates(self, now: float) -> tuple[str, ...]:
        return self.choice.candidates("e", "hall-1", self.ROUTERS, now)

    def test_one_router_of_each_hall_is_asked_the_own_hall_first(self) -> None:
        halls = [name[1] for name in self.candidates(0.0)]
        self.assertEqual(halls, ["0", "1", "2"])
        self.assertEqual(len(halls), MAX_RELAYS)

    def test_a_router_that_cannot_reach_the_engine_is_not_asked_for_a_moment(self) -> None:
        first = self.candidates(0.0)[0]
        self.choice.record_unreachable(first, "e", False, 0.0)
        self.assertNotIn(first, self.candidates(UNREACHABLE_SECONDS / 2))
        self.assertFalse(self.choice.is_confirmed_unreachable("e", 0.0))
        self.choice.record_unreachable(first, "e", True, 0.0)
        self.assertTrue(self.choice.is_confirmed_unreachable("e", 0.0))

    def test_routers_that_reach_engines_are_asked_before_those_that_did_not(self) -> None:
        near = [each.name for each in self.ROUTERS if each.hall == "hall-0"]
        for router in near:
            self.choice.record_unreachable(router, "other", False, 0.0)
        self.assertNotIn(self.candidates(0.1)[0], near)
        self.choice.record_served(near[0], 0.2)
        self.assertEqual(self.candidates(0.3)[0], near[0])
        self.assertIn(self.candidates(DEMOTED_SECONDS)[0], near)

    def test_a_busy_router_is_skipped_for_all_engines(self) -> None:
        for router in self.ROUTERS:
            self.choice.skip(router.name, 1.0, 0.0)
        self.assertEqual(self.candidates(0.9), ())
        self.assertEqual(len(self.candidates(1.0)), MAX_RELAYS)
        self.choice.drop_expired(2.0)
        self.assertEqual(self.choice._skipped_until, {})

    def test_a_router_that_does_not_know_the_call_is_no_relay_at_all(self) -> None:
        self.choice.skip("r00", GONE_SECONDS, 0.0)
        self.choice.skip("r01", UNSUPPORTED_SECONDS, 0.0)
        self.assertEqual(
            [self.choice.can_relay(f"r0{each}", 0.0) for each in (0, 1)], [True, False]
        )


class RecentAnswersTest(unittest.TestCase):
    def test_an_answer_speaks_against_the_paths_of_other_routers_only(self) -> None:
        answers = RecentAnswers()
        answers.record("e", 1, 0.0)
        self.assertTrue(answers.answers_others("e", 2, 0.1))
        self.assertFalse(answers.answers_others("e", 1, 0.1))
        answers.record("e", 2, 0.2)
        self.assertTrue(answers.answers_others("e", 1, 0.3))
        self.assertTrue(answers.answers_others("e", 2, 0.3))
        self.assertFalse(answers.answers_others("e", 1, 0.21 + RECENT_SECONDS))
        answers.drop_old(5.0)
        self.assertFalse(answers.answers_others("e", 1, 0.3))
