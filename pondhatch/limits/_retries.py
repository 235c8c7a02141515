"""The retry budget: retries can never feed an overload.

The fleet may send a service so many requests beyond the first try of each: a share of the
requests for it, and a few more in any stretch of time. Each router spends its own part of
that without asking: it earns by its own requests, and saves up its part of the few.
"""

from __future__ import annotations

import msgspec

from pondhatch.limits._peak_routers import PeakRouters

#: Retries allowed for each first try.
DEFAULT_RATIO = 0.1
#: Retries that may be saved up, so that a quiet router can still retry.
DEFAULT_SAVED = 5.0
#: Part of the fleet's allowance that routers give out among themselves. The other part
#: covers two sides of a cut that each count their own routers alone, and routers that
#: restart with what they had spent forgotten.
SHARED_PART = 0.5
#: Least that one router may save up: less could never be spent.
MIN_SAVED = 1.0


class RetryBudget(msgspec.Struct):
    """Each first try earns a fraction of a retry; each retry spends one."""

    #: Retries that a first try earns.
    ratio: float = DEFAULT_RATIO
    max_saved: float = DEFAULT_SAVED
    #: Retries that may be made now.
    saved: float = DEFAULT_SAVED

    def record_first_try(self) -> None:
        """Earn the fraction of a retry that a first try brings."""
        self.saved = min(self.max_saved, self.saved + self.ratio)

    def spend_retry(self) -> bool:
        """Spend one retry if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


class RetryAllowance(msgspec.Struct, frozen=True):
    """What the whole fleet may send to one service beyond the first try of each request."""

    #: Share of the requests for the service.
    share: float = DEFAULT_RATIO / SHARED_PART
    #: Retries beyond the share in any stretch of ten seconds or so.
    slack: float = 80.0


class RetryBudgets(msgspec.Struct):
    """One router's part of the fleet's allowance, for each service."""

    allowance: RetryAllowance = msgspec.field(default_factory=RetryAllowance)
    budget_by_service: dict[str, RetryBudget] = msgspec.field(default_factory=dict)
    #: Routers that were seen; one that is missed may only be cut off, and spend its part.
    peak_routers: PeakRouters = msgspec.field(default_factory=PeakRouters)

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget for a service."""
        if service not in self.budget_by_service:
            # One retry to begin with: a part that was spent before a restart is forgotten.
            ratio = self.allowance.share * SHARED_PART
            self.budget_by_service[service] = RetryBudget(ratio, self._max_saved(), MIN_SAVED)
        return self.budget_by_service[service]

    def set_routers(self, live: int, now: float) -> None:
        """Set how many routers are live, this one included."""
        before = self._max_saved()
        self.peak_routers.record(live, now)
        if self._max_saved() != before:
            self._apply_max_saved()

    def _apply_max_saved(self) -> None:
        """Bound what each service's budget may save by this router's part of now."""
        max_saved = self._max_saved()
        for budget in self.budget_by_service.values():
            budget.max_saved = max_saved
            budget.saved = min(budget.saved, max_saved)

    def _max_saved(self) -> float:
        """Return this router's part of the slack, by the most routers seen in a while."""
        return max(MIN_SAVED, self.allowance.slack * SHARED_PART / self.peak_routers.peak)
