"""Guards against passing on an upstream's failure that another upstream would have answered.

One in seven answers of a service was a failure status of its upstream. Requests that may be
repeated failed, and what callers repeated themselves was late or failed again.
"""

from __future__ import annotations

import asyncio
import unittest

from fakes._virtual_loop import run_virtually
from pondhatch.placement import ranked
from pondhatch.placement._health import AILING_ERROR_RATE, ERROR_WEIGHT
from pondhatch.requests import EngineRefusal, Whole
from pondhatch.requests.tests._history import FAILED, FAILED_ANSWER, Fleet, answer_of, violations

ANSWER = answer_of("q0")
FULL, LEAVING = EngineRefusal.FULL, EngineRefusal.LEAVING
LOST = "lost-before-it-came"
UNREACHABLE = "unreachable"


class UpstreamFailureTest(unittest.TestCase):
    def run_request(self, faults: list[str], repeatable: bool, most_tries: int = 2) -> Fleet:
        """Send one request and return the fleet with its history."""

        async def main() -> Fleet:
            fleet = Fleet(faults, [], False)
            fleet.most_tries = most_tries
            await fleet.request(0, repeatable, gives_up=False)
            await asyncio.sleep(1.0)  # Waits until the releases of grants have arrived.
            return fleet

        return run_virtually(main())

    def test_a_failure_is_retried_elsewhere_within_the_limits(self) -> None:
        rows: tuple[tuple[list[str], bool, int, bytes, int], ...] = (
            # faults in order, may be repeated, most tries, what the caller gets, sends
            ([FAILED], True, 2, ANSWER, 2),
            # The second failure is passed on, without a third attempt.
            ([FAILED, FAILED], True, 2, FAILED_ANSWER, 2),
            ([FAILED, FAILED], True, 0, FAILED_ANSWER, 2),
            ([FAILED], False, 2, FAILED_ANSWER, 1),
            ([FAILED], True, 1, FAILED_ANSWER, 1),
            # The first failure is passed on if no other upstream answers.
            ([FAILED, FULL, FULL], True, 2, FAILED_ANSWER, 3),
            ([FAILED, LOST, LOST, LOST], True, 2, FAILED_ANSWER, 2),
            ([FAILED, UNREACHABLE], True, 2, ANSWER, 3),
            ([LEAVING, FAILED], True, 3, ANSWER, 3),
        )
        for faults, repeatable, most_tries, expected, sends in rows:
            with self.subTest(faults=faults, repeatable=repeatable, most_tries=most_tries):
                fleet = self.run_request(list(faults), repeatable, most_tries)
                self.assertIsInstance(fleet.history.outcome_by_request["q0"], Whole)
                found = fleet.history.text_by_request["q0"], len(fleet.history.sends)
                self.assertEqual(found, (expected, sends))
                # The violations with "still" are grants that were not released.
                self.assertEqual([each for each in violations(fleet, {}) if "still" in each], [])

    def test_the_retry_goes_to_another_upstream(self) -> None:
        fleet = self.run_request([FAILED], True)
        (_, first), (_, second) = fleet.history.sends
        self.assertNotEqual(first, second)

    def test_a_retried_failure_still_counts_against_its_upstream(
        self,
    ) -> None:
        enough = next(n for n in range(1, 99) if 1 - (1 - ERROR_WEIGHT) ** n >= AILING_ERROR_RATE)

        async def main() -> tuple[Fleet, str]:
            fleet = Fleet([FAILED, "none"] * enough, [], False)
            fleet.same_chat = True
            home = ranked("7", fleet.engines)[0]
            for index in range(enough):
                await fleet.request(3 * index, True, gives_up=False)
            return fleet, home

        fleet, home = run_virtually(main())
        states = [router.health.states(0.0).get(home) for router in fleet.routers.values()]
        self.assertIn("ailing", states)

    def test_each_retry_spends_budget_so_that_a_failing_service_gets_at_most_double_load(
        self,
    ) -> None:
        async def main() -> Fleet:
            fleet = Fleet([FAILED] * 400, [], False)
            for index in range(100):
                await fleet.request(index, True, gives_up=False)
            return fleet

        # Each request here has its own budget of five retries.
        fleet = run_virtually(main())
        self.assertLessEqual(len(fleet.history.sends), 200)
