"""The retry budget: retries can never feed an overload.

The fleet may send a service so many requests beyond the first try of each: a share of the
requests for it, and a few more in any stretch of time. Each router spends its own part of
that without asking: it earns by its own requests, and saves up its part of the few.
"""

from __future__ import annotations

import msgspec

from pondhatch.limits._most_seen import MostSeen

#: Retries allowed for each first try.
DEFAULT_RATIO = 0.1
#: Retries that may be saved up, so that a quiet router can still retry.
DEFAULT_SAVED = 5.0
#: Part of the fleet's allowance that routers give out among themselves. The other part
#: covers two sides of a cut that each count their own routers alone, and routers that
#: restart with what they had spent forgotten.
SPENT_PART = 0.5
#: Least that one router may save up: less could never be spent.
LEAST_SAVED = 1.0


class RetryBudget(msgspec.Struct):
    """Each first try earns a fraction of a retry; each retry spends one."""

    #: Retries that a first try earns.
    ratio: float = DEFAULT_RATIO
    most_saved: float = DEFAULT_SAVED
    #: Retries that may be made now.
    saved: float = DEFAULT_SAVED

    def first_try(self) -> None:
        """Earn the fraction of a retry that a first try brings."""
        self.saved = min(self.most_saved, self.saved + self.ratio)

    def may_retry(self) -> bool:
        """Spend one retry if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


class RetryAllowance(msgspec.Struct, frozen=True):
    """What the whole fleet may send to one service beyond the first try of each request."""

    #: Share of the requests for the service.
    share: float = DEFAULT_RATIO / SPENT_PART
    #: Retries beyond the share in any stretch of ten seconds or so.
    slack: float = 80.0


class RetryBudgets(msgspec.Struct):
    """One router's part of the fleet's allowance, for each service."""

    allowance: RetryAllowance = msgspec.field(default_factory=RetryAllowance)
    budget_by_service: dict[str, RetryBudget] = msgspec.field(default_factory=dict)
    #: Routers that were seen; one that is missed may only be cut off, and spend its part.
    routers: MostSeen = msgspec.field(default_factory=MostSeen)

    def of(self, service: str) -> RetryBudget:
        """Return the budget for a service."""
        if service not in self.budget_by_service:
            # One retry to begin with: a part that was spent before a restart is forgotten.
            ratio = self.allowance.share * SPENT_PART
            self.budget_by_service[service] = RetryBudget(ratio, self._most_saved(), LEAST_SAVED)
        return self.budget_by_service[service]

    def set_routers(self, live: int, now: float) -> None:
        """Set how many routers are live, this one included."""
        before = self._most_saved()
        self.routers.note(live, now)
        if self._most_saved() != before:
            self._share_out()

    def _share_out(self) -> None:
        """Bound what each service's budget may save by this router's part of now."""
        most = self._most_saved()
        for budget in self.budget_by_service.values():
            budget.most_saved = most
            budget.saved = min(budget.saved, most)

    def _most_saved(self) -> float:
        """Return this router's part of the slack, by the most routers seen in a while."""
        return max(LEAST_SAVED, self.allowance.slack * SPENT_PART / self.routers.most)
