"""Division of an account's limits among the routers that receive its requests.

Each account has a home router. Every router may use a small base share without asking. A router
with more demand reports it to the home once a second, and the home divides the rest of the limits
by demand. A router that gets no answer falls back to its base share, so a network partition adds
at most one more copy of that rest for each side that has a home of its own.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from pondhatch.limits._bucket import AccountLimits

#: Part of each limit that all routers together may use without asking.
BASE_PART = 0.2
#: Part of its base share above which a router asks the home for more.
ASK_THRESHOLD = 0.5
#: Seconds between reports of demand; each covers the demand of one interval.
ASK_INTERVAL = 1.0
#: Seconds for which a reported demand or an allocated share is valid.
SHARE_LIFETIME = 3.5
#: Seconds after an account's first request for which a router without an answer applies the whole
#: limits; after that it falls back to its base share.
FIRST_SHARE_GRACE = 2.0


class Demand(msgspec.Struct, frozen=True):
    """One router's demand for one account."""

    account: str
    #: Requests per second that arrived in the last interval, including refused ones.
    rate: float
    #: Peak number of concurrent requests, including refused ones.
    running: float


class Share(msgspec.Struct, frozen=True):
    """The part of an account's limits that the home allocates to a router beyond its base."""

    account: str
    requests_per_second: float
    concurrency: float


class AccountDemand(msgspec.Struct):
    """One account's demand at this router in the current interval."""

    #: When the first request since the account was last idle arrived, in the clock's seconds.
    first_at: float
    arrivals: int = 0
    #: Peak number of concurrent requests.
    peak_running: int = 0
    #: Demand of the previous interval.
    last_demand: Demand | None = None


class ShareUser(msgspec.Struct):
    """One router's demand by account, and the shares that homes allocated to it."""

    own_demand_by_account: dict[str, AccountDemand] = msgspec.field(default_factory=dict)
    #: Shares, each with the time at which it expires.
    share_by_account: dict[str, tuple[Share, float]] = msgspec.field(default_factory=dict)
    #: When demands are next due.
    _next_ask_at: float = float("-inf")

    def record_arrival(self, account: str, running: int, now: float) -> None:
        """Record a request that arrived while ``running`` others of its account ran here."""
        own_demand = self.own_demand_by_account.setdefault(account, AccountDemand(now))
        own_demand.arrivals += 1
        own_demand.peak_running = max(own_demand.peak_running, running + 1)

    def limits(
        self, account: str, fleet_limits: AccountLimits, routers: int, now: float
    ) -> AccountLimits:
        """Return the account's limits at this router; ``fleet_limits`` are the fleet's."""
        if routers <= 1:
            return fleet_limits
        own_demand = self.own_demand_by_account.get(account)
        share, until = self.share_by_account.get(account, (Share(account, 0.0, 0.0), now))
        answered = until > now
        if not answered and (own_demand is None or now - own_demand.first_at < FIRST_SHARE_GRACE):
            return fleet_limits
        extra = share if answered else Share(account, 0.0, 0.0)
        rate = fleet_limits.requests_per_second * BASE_PART / routers + extra.requests_per_second
        rate_fraction = rate / fleet_limits.requests_per_second
        concurrency = fleet_limits.concurrency * BASE_PART / routers + extra.concurrency
        return replace(
            fleet_limits,
            requests_per_second=rate,
            burst=max(1, round(fleet_limits.burst * min(1.0, rate_fraction))),
            concurrency=max(1, round(concurrency)),
        )

    def due_demands(
        self, now: float, routers: int, fleet_limits_by_account: dict[str, AccountLimits]
    ) -> tuple[Demand, ...]:
        """Return the demands to report to homes now; empty until the next interval."""
        if now < self._next_ask_at:
            return ()
        self._next_ask_at = now + ASK_INTERVAL
        demands = []
        for account, own_demand in tuple(self.own_demand_by_account.items()):
            demand = Demand(
                account, own_demand.arrivals / ASK_INTERVAL, float(own_demand.peak_running)
            )
            idle = (
                own_demand.arrivals == 0
                and own_demand.last_demand is not None
                and own_demand.last_demand.rate == 0
            )
            own_demand.last_demand, own_demand.arrivals, own_demand.peak_running = demand, 0, 0
            if idle:
                del self.own_demand_by_account[account]
                continue
            fleet_limits = fleet_limits_by_account.get(account)
            if fleet_limits is not None and _exceeds_ask_threshold(demand, fleet_limits, routers):
                demands.append(demand)
        return tuple(demands)

    def record_share(self, share: Share, now: float) -> None:
        """Store a share that a home allocated."""
        self.share_by_account[share.account] = (share, now + SHARE_LIFETIME)

    def forget_old(self, now: float) -> None:
        """Drop expired shares."""
        self.share_by_account = {
            account: held for account, held in self.share_by_account.items() if held[1] > now
        }


class ShareHome(msgspec.Struct):
    """The demands of all routers for the accounts whose home is this router."""

    #: Demands and when they arrived, by account and router.
    demand_by_account: dict[str, dict[str, tuple[Demand, float]]] = msgspec.field(
        default_factory=dict
    )

    def allocate_share(
        self, router: str, demand: Demand, fleet_limits: AccountLimits, now: float
    ) -> Share:
        """Record a router's demand and return its share of the limits beyond all base shares."""
        demands = self.demand_by_account.setdefault(demand.account, {})
        demands[router] = (demand, now)
        for name in [name for name, (_, at) in demands.items() if now - at > SHARE_LIFETIME]:
            del demands[name]
        total_rate = sum(each.rate for each, _ in demands.values())
        total_running = sum(each.running for each, _ in demands.values())
        pool_fraction = 1.0 - BASE_PART
        return Share(
            demand.account,
            fleet_limits.requests_per_second * pool_fraction * _fraction(demand.rate, total_rate),
            fleet_limits.concurrency * pool_fraction * _fraction(demand.running, total_running),
        )

    def forget_old(self, now: float) -> None:
        """Drop accounts all of whose demands have expired."""
        for account, demands in tuple(self.demand_by_account.items()):
            if all(now - at > SHARE_LIFETIME for _, at in demands.values()):
                del self.demand_by_account[account]


def _exceeds_ask_threshold(demand: Demand, fleet_limits: AccountLimits, routers: int) -> bool:
    live = max(1, routers)  # The last router counts no live ones while it stops.
    base_rate = fleet_limits.requests_per_second * BASE_PART / live
    base_running = max(1.0, fleet_limits.concurrency * BASE_PART / live)
    return demand.rate > base_rate * ASK_THRESHOLD or demand.running > base_running * ASK_THRESHOLD


def _fraction(own: float, total: float) -> float:
    return own / total if total > 0 else 0.0
