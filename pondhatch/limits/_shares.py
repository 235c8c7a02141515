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
ASK_PART = 0.5
#: Seconds between asks, and for which demand is counted.
ASK_INTERVAL = 1.0
#: Seconds for which an ask or a share holds.
LIFETIME = 3.5
#: Seconds from the first demand until a router without an answer falls back to its base.
GRACE = 2.0


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


class Use(msgspec.Struct):
    """One account's demand at this router."""

    first_at: float
    came: int = 0
    most_running: int = 0
    last: Demand | None = None


class ShareUser(msgspec.Struct):
    """One router's demands and the shares that it was given."""

    use_by_account: dict[str, Use] = msgspec.field(default_factory=dict)
    share_by_account: dict[str, tuple[Share, float]] = msgspec.field(default_factory=dict)
    _next_ask: float = float("-inf")

    def came(self, account: str, running: int, now: float) -> None:
        """Note that a request came while so many of the account's ran here."""
        use = self.use_by_account.setdefault(account, Use(now))
        use.came += 1
        use.most_running = max(use.most_running, running + 1)

    def limits(self, account: str, whole: AccountLimits, routers: int, now: float) -> AccountLimits:
        """Return the limits that this router holds the account to."""
        if routers <= 1:
            return whole
        use = self.use_by_account.get(account)
        share, until = self.share_by_account.get(account, (Share(account, 0.0, 0.0), now))
        answered = until > now
        if not answered and (use is None or now - use.first_at < GRACE):
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

    def demands(
        self, now: float, routers: int, limits_of: dict[str, AccountLimits]
    ) -> tuple[Demand, ...]:
        """Return what to ask for, once each interval."""
        if now < self._next_ask:
            return ()
        self._next_ask = now + ASK_INTERVAL
        wanted = []
        for account, use in tuple(self.use_by_account.items()):
            demand = Demand(account, use.came / ASK_INTERVAL, float(use.most_running))
            idle = use.came == 0 and use.last is not None and use.last.rate == 0
            use.last, use.came, use.most_running = demand, 0, 0
            if idle:
                del self.use_by_account[account]
                continue
            whole = limits_of.get(account)
            if whole is not None and _is_much(demand, whole, routers):
                wanted.append(demand)
        return tuple(wanted)

    def given(self, share: Share, now: float) -> None:
        """Take in the home's answer."""
        self.share_by_account[share.account] = (share, now + LIFETIME)

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

    def asked(self, router: str, demand: Demand, whole: AccountLimits, now: float) -> Share:
        """Take in a router's demand and return its share of what is not free to all."""
        demands = self.demand_by_account.setdefault(demand.account, {})
        demands[router] = (demand, now)
        for name in [name for name, (_, at) in demands.items() if now - at > LIFETIME]:
            del demands[name]
        rates = sum(each.rate for each, _ in demands.values())
        runnings = sum(each.running for each, _ in demands.values())
        pool = 1.0 - BASE_PART
        return Share(
            demand.account,
            whole.requests_per_second * pool * _part(demand.rate, rates),
            whole.concurrency * pool * _part(demand.running, runnings),
        )

    def forget_old(self, now: float) -> None:
        """Drop accounts that nobody asked for lately."""
        for account, demands in tuple(self.demand_by_account.items()):
            if all(now - at > LIFETIME for _, at in demands.values()):
                del self.demand_by_account[account]


def _is_much(demand: Demand, whole: AccountLimits, routers: int) -> bool:
    live = max(1, routers)  # The last router that stops has no live one beside it.
    base_rate = whole.requests_per_second * BASE_PART / live
    base_running = max(1.0, whole.concurrency * BASE_PART / live)
    return demand.rate > base_rate * ASK_PART or demand.running > base_running * ASK_PART


def _part(own: float, all_of_them: float) -> float:
    return own / all_of_them if all_of_them > 0 else 0.0
