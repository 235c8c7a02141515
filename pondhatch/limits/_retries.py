"""Retry budgets, which keep retries from amplifying an overload.

For each service the fleet may send a limited number of requests beyond their first tries: a
share of the service's requests, plus a fixed slack in any ten seconds or so. Each router spends
its own part without coordination: it earns the share from its own requests and saves up to its
part of the slack.
"""

from __future__ import annotations

import msgspec

from pondhatch.limits._peak_routers import PeakRouters

#: Retries earned by each first try.
DEFAULT_RATIO = 0.1
#: Retries that may be saved up, so that a router with few requests can still retry.
DEFAULT_SAVED = 5.0
#: Part of the fleet's allowance that is divided among the routers. The rest covers the two sides
#: of a network partition, each of which counts only its own routers, and routers that restart
#: and have lost the count of what they spent.
SHARED_PART = 0.5
#: Least number of retries that one router may save up: with less than one it could never retry.
MIN_SAVED = 1.0


class RetryBudget(msgspec.Struct):
    """A budget of retries: each first try earns a fraction of one, each retry spends one."""

    #: Retries that a first try earns.
    ratio: float = DEFAULT_RATIO
    #: Upper bound of ``saved``.
    max_saved: float = DEFAULT_SAVED
    #: Retries available now.
    saved: float = DEFAULT_SAVED

    def record_first_try(self) -> None:
        """Add the fraction of a retry that a first try earns."""
        self.saved = min(self.max_saved, self.saved + self.ratio)

    def spend_retry(self) -> bool:
        """Spend one retry and return True, or return False if none is available."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


class RetryAllowance(msgspec.Struct, frozen=True):
    """Retries that the whole fleet may send to one service."""

    #: Retries as a share of the service's requests.
    share: float = DEFAULT_RATIO / SHARED_PART
    #: Retries allowed beyond the share in any ten seconds or so.
    slack: float = 80.0


class RetryBudgets(msgspec.Struct):
    """One router's part of the fleet's retry allowance, by service."""

    allowance: RetryAllowance = msgspec.field(default_factory=RetryAllowance)
    budget_by_service: dict[str, RetryBudget] = msgspec.field(default_factory=dict)
    #: Recent peak of live routers: one that is missing may be partitioned and still spend its part.
    peak_routers: PeakRouters = msgspec.field(default_factory=PeakRouters)

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget for a service."""
        if service not in self.budget_by_service:
            # Starts with one retry, since a restart loses the count of retries already spent.
            ratio = self.allowance.share * SHARED_PART
            self.budget_by_service[service] = RetryBudget(ratio, self._max_saved(), MIN_SAVED)
        return self.budget_by_service[service]

    def set_routers(self, live: int, now: float) -> None:
        """Set the number of live routers, including this one."""
        before = self._max_saved()
        self.peak_routers.record(live, now)
        if self._max_saved() != before:
            self._apply_max_saved()

    def _apply_max_saved(self) -> None:
        """Apply this router's current part of the slack to every service's budget."""
        max_saved = self._max_saved()
        for budget in self.budget_by_service.values():
            budget.max_saved = max_saved
            budget.saved = min(budget.saved, max_saved)

    def _max_saved(self) -> float:
        """Return this router's part of the slack, divided by the recent peak of live routers."""
        return max(MIN_SAVED, self.allowance.slack * SHARED_PART / self.peak_routers.peak)
