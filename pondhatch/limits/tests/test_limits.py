from __future__ import annotations

import unittest

from pondhatch.limits import (
    AccountGate,
    AccountLimits,
    Allowed,
    Limited,
    RetryAllowance,
    RetryBudget,
    RetryBudgets,
)
from pondhatch.limits._peak_routers import PEAK_SECONDS

LIMITS = AccountLimits(requests_per_second=10.0, burst=5, concurrency=4)


class AccountGateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = AccountGate()

    def begin(self, now: float, limits: AccountLimits = LIMITS) -> object:
        return self.gate.begin("a", limits, now)

    def test_allows_the_burst_and_then_the_rate(self) -> None:
        for _ in range(5):
            self.assertEqual(self.begin(0.0), Allowed())
            self.gate.end("a")
        limited = self.begin(0.0)
        self.assertEqual(limited, Limited("rate", 0.1))
        self.assertEqual(self.begin(0.11), Allowed())

    def test_requests_above_the_concurrency_are_refused(self) -> None:
        for _ in range(4):
            self.begin(0.0)
        self.assertEqual(self.begin(1.0), Limited("concurrency", 1.0))
        self.gate.end("a")
        self.assertEqual(self.begin(1.0), Allowed())

    def test_smaller_limits_refill_more_slowly(self) -> None:
        smaller = AccountLimits(2.5, 1, 4)
        allowed = 0
        for step in range(1000):
            if isinstance(self.begin(step * 0.01, smaller), Allowed):
                allowed += 1
                self.gate.end("a")
        self.assertAlmostEqual(allowed, 25, delta=2)

    def test_a_clock_that_steps_back_refills_nothing(self) -> None:
        for _ in range(5):
            self.begin(10.0)
            self.gate.end("a")
        self.assertIsInstance(self.begin(0.0), Limited)

    def test_idle_accounts_are_dropped_and_running_ones_kept(self) -> None:
        self.begin(0.0)
        self.gate.begin("b", LIMITS, 0.0)
        self.gate.end("b")
        self.gate.forget_idle(100.0, 50.0)
        self.assertEqual(list(self.gate.use_by_account), ["a"])

    def test_an_end_without_a_begin_is_an_error(self) -> None:
        self.begin(0.0)
        self.gate.end("a")
        with self.assertRaises(ValueError):
            self.gate.end("a")


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_a_tenth_of_first_tries(self) -> None:
        budget = RetryBudget()
        retried = 0
        for _ in range(1000):
            budget.record_first_try()
            retried += budget.spend_retry()
        self.assertLessEqual(retried, 1000 * 0.1 + 5)
        self.assertGreaterEqual(retried, 99)


#: The required limit: a fifth of the requests plus 56 in ten seconds.
ALLOWANCE = RetryAllowance(0.2, 56.0)


class RetryBudgetsTest(unittest.TestCase):
    """The fleet's allowance, divided among routers that do not coordinate."""

    def spend_all(self, budgets: RetryBudgets, service: str, requests: int) -> int:
        budget = budgets.for_service(service)
        spent = 0
        for _ in range(requests):
            budget.record_first_try()
            while budget.spend_retry():
                spent += 1
        return spent

    def full_budgets(self, routers: int, now: float = 0.0) -> RetryBudgets:
        """Return a router's budgets after a time without retries."""
        budgets = RetryBudgets(ALLOWANCE)
        budgets.set_routers(routers, now)
        for service in ("lang", "portal"):
            for _ in range(1000):
                budgets.for_service(service).record_first_try()
        return budgets

    def test_fleets_of_any_size_keep_to_the_allowance(self) -> None:
        for routers in (1, 2, 8, 28):
            with self.subTest(routers=routers):
                requests = 2000 // routers
                spent = sum(
                    self.spend_all(self.full_budgets(routers), "lang", requests)
                    for _ in range(routers)
                )
                self.assertLessEqual(spent, 0.2 * requests * routers + 56)

    def test_two_sides_of_a_partition_keep_to_the_allowance_together(self) -> None:
        partitioned = [self.full_budgets(8) for _ in range(8)]
        for budgets in partitioned:
            budgets.set_routers(4, PEAK_SECONDS + 1)
            for _ in range(1000):
                budgets.for_service("lang").record_first_try()
        spent = sum(self.spend_all(budgets, "lang", 100) for budgets in partitioned)
        self.assertLessEqual(spent, 0.2 * 800 + 56)

    def test_a_router_cut_off_for_a_moment_keeps_only_its_own_part(self) -> None:
        # Half of the slack of 56 is divided among the routers.
        budgets = self.full_budgets(8)
        budgets.set_routers(1, 5.0)
        self.assertEqual(budgets.for_service("lang").max_saved, 3.5)
        budgets.set_routers(1, PEAK_SECONDS + 1)
        self.assertEqual(budgets.for_service("lang").max_saved, 28.0)

    def test_services_cannot_spend_each_others_retries(self) -> None:
        budgets = self.full_budgets(8)
        self.spend_all(budgets, "portal", 10)
        self.assertFalse(budgets.for_service("portal").spend_retry())
        self.assertTrue(budgets.for_service("lang").spend_retry())

    def test_a_restarted_router_begins_with_one_retry(self) -> None:
        budgets = RetryBudgets(ALLOWANCE)
        budgets.set_routers(8, 0.0)
        tries = [budgets.for_service("lang").spend_retry() for _ in range(3)]
        self.assertEqual(tries, [True, False, False])

    def test_a_growing_fleet_lowers_what_each_router_has_saved(self) -> None:
        budgets = self.full_budgets(2)
        self.assertEqual(budgets.for_service("lang").saved, 14.0)
        budgets.set_routers(8, 1.0)
        self.assertEqual(budgets.for_service("lang").saved, 3.5)
