"""Sharing an account's limits between the routers that its requests come through.

Each account has a home router. A router uses a small base share freely; one that
sees more demand tells the home each second, and the home splits the rest by
demand. A router that does not hear the home falls back to its base share, so
that a cut can at most add one pool for each side that has a home of its own.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from pondhatch.limits._bucket import AccountLimits

#: Part of each limit that all routers together may use without asking.
BASE_PART = 0.2
#: Part of its own base share at which a router begins to ask.
ASK_THRESHOLD = 0.5
#: Seconds between asks, and for which demand is counted.
ASK_INTERVAL = 1.0
#: Seconds for which an ask or a share holds.
SHARE_LIFETIME = 3.5
#: Seconds from the first demand until a router without an answer falls back to its base.
FIRST_SHARE_GRACE = 2.0


class Demand(msgspec.Struct, frozen=True):
    """What one router wants for one account."""

    account: str
    #: Requests that came in the last second, refused ones too.
    rate: float
    #: Requests that ran at once, refused ones too.
    running: float


class Share(msgspec.Struct, frozen=True):
    """What the home gives one router beyond its base."""

    account: str
    requests_per_second: float
    concurrency: float


class AccountDemand(msgspec.Struct):
    """One account's demand at this router."""

    first_at: float
    arrivals: int = 0
    peak_running: int = 0
    last_demand: Demand | None = None


class ShareUser(msgspec.Struct):
    """One router's demands and the shares that it was given."""

    own_demand_by_account: dict[str, AccountDemand] = msgspec.field(default_factory=dict)
    share_by_account: dict[str, tuple[Share, float]] = msgspec.field(default_factory=dict)
    _next_ask: float = float("-inf")

    def record_arrival(self, account: str, running: int, now: float) -> None:
        """Note that a request came while so many of the account's ran here."""
        use = self.own_demand_by_account.setdefault(account, AccountDemand(now))
        use.arrivals += 1
        use.peak_running = max(use.peak_running, running + 1)

    def limits(self, account: str, whole: AccountLimits, routers: int, now: float) -> AccountLimits:
        """Return the limits that this router holds the account to."""
        if routers <= 1:
            return whole
        use = self.own_demand_by_account.get(account)
        share, until = self.share_by_account.get(account, (Share(account, 0.0, 0.0), now))
        answered = until > now
        if not answered and (use is None or now - use.first_at < FIRST_SHARE_GRACE):
            return whole
        extra = share if answered else Share(account, 0.0, 0.0)
        rate = whole.requests_per_second * BASE_PART / routers + extra.requests_per_second
        part = rate / whole.requests_per_second
        concurrency = whole.concurrency * BASE_PART / routers + extra.concurrency
        return replace(
            whole,
            requests_per_second=rate,
            burst=max(1, round(whole.burst * min(1.0, part))),
            concurrency=max(1, round(concurrency)),
        )

    def due_demands(
        self, now: float, routers: int, limits_of: dict[str, AccountLimits]
    ) -> tuple[Demand, ...]:
        """Return what to ask for, once each interval."""
        if now < self._next_ask:
            return ()
        self._next_ask = now + ASK_INTERVAL
        wanted = []
        for account, use in tuple(self.own_demand_by_account.items()):
            demand = Demand(account, use.arrivals / ASK_INTERVAL, float(use.peak_running))
            idle = use.arrivals == 0 and use.last_demand is not None and use.last_demand.rate == 0
            use.last_demand, use.arrivals, use.peak_running = demand, 0, 0
            if idle:
                del self.own_demand_by_account[account]
                continue
            whole = limits_of.get(account)
            if whole is not None and _exceeds_ask_threshold(demand, whole, routers):
                wanted.append(demand)
        return tuple(wanted)

    def record_share(self, share: Share, now: float) -> None:
        """Take in the home's answer."""
        self.share_by_account[share.account] = (share, now + SHARE_LIFETIME)

    def forget_old(self, now: float) -> None:
        """Drop shares that ran out."""
        self.share_by_account = {
            account: held for account, held in self.share_by_account.items() if held[1] > now
        }


class ShareHome(msgspec.Struct):
    """The demands of routers on the accounts that this router is home to."""

    #: Demands and when they came, by account and router.
    demand_by_account: dict[str, dict[str, tuple[Demand, float]]] = msgspec.field(
        default_factory=dict
    )

    def allocate_share(
        self, router: str, demand: Demand, whole: AccountLimits, now: float
    ) -> Share:
        """Take in a router's demand and return its share of what is not free to all."""
        demands = self.demand_by_account.setdefault(demand.account, {})
        demands[router] = (demand, now)
        for name in [name for name, (_, at) in demands.items() if now - at > SHARE_LIFETIME]:
            del demands[name]
        total_rate = sum(each.rate for each, _ in demands.values())
        total_running = sum(each.running for each, _ in demands.values())
        pool_fraction = 1.0 - BASE_PART
        return Share(
            demand.account,
            whole.requests_per_second * pool_fraction * _fraction(demand.rate, total_rate),
            whole.concurrency * pool_fraction * _fraction(demand.running, total_running),
        )

    def forget_old(self, now: float) -> None:
        """Drop accounts that nobody asked for lately."""
        for account, demands in tuple(self.demand_by_account.items()):
            if all(now - at > SHARE_LIFETIME for _, at in demands.values()):
                del self.demand_by_account[account]


def _exceeds_ask_threshold(demand: Demand, whole: AccountLimits, routers: int) -> bool:
    live = max(1, routers)  # The last router that stops has no live one beside it.
    base_rate = whole.requests_per_second * BASE_PART / live
    base_running = max(1.0, whole.concurrency * BASE_PART / live)
    return demand.rate > base_rate * ASK_THRESHOLD or demand.running > base_running * ASK_THRESHOLD


def _fraction(own: float, total: float) -> float:
    return own / total if total > 0 else 0.0
