"""Rates and concurrency of client accounts, without I/O.

What a router holds an account to is worked out in ``_shares``; a bucket that is
new is full to the account's whole burst.
"""

from __future__ import annotations

import msgspec


class AccountLimits(msgspec.Struct, frozen=True):
    """An account's limits over the whole fleet."""

    #: Requests a second in the long run.
    requests_per_second: float
    #: Requests that may come at once above the rate.
    burst: int
    #: Requests in flight at once.
    concurrency: int


class Allowed(msgspec.Struct, frozen=True):
    """The request may go on; end it with ``AccountGate.end``."""


class Limited(msgspec.Struct, frozen=True):
    """The request is over a limit and was not run."""

    #: Which limit: "rate", "concurrency" or "memory".
    limit: str
    #: Seconds after which it is worth coming back.
    retry_after: float


LimitVerdict = Allowed | Limited

#: Seconds after which to come back when a concurrency limit is reached.
CONCURRENCY_RETRY_AFTER = 1.0


class AccountUse(msgspec.Struct):
    """What one account has used at this router."""

    tokens: float
    refilled_at: float
    running: int = 0


class AccountGate(msgspec.Struct):
    """Token buckets and running counts by account."""

    use_by_account: dict[str, AccountUse] = msgspec.field(default_factory=dict)

    def running(self, account: str) -> int:
        """Return how many of an account's requests run here."""
        use = self.use_by_account.get(account)
        return use.running if use is not None else 0

    def begin(self, account: str, limits: AccountLimits, now: float) -> LimitVerdict:
        """Take one request in, or say which limit it is over."""
        rate = limits.requests_per_second
        use = self.use_by_account.setdefault(account, AccountUse(float(limits.burst), now))
        refilled = use.tokens + rate * max(0.0, now - use.refilled_at)
        use.tokens = min(refilled, max(float(limits.burst), use.tokens))
        use.refilled_at = now
        if use.running >= limits.concurrency:
            return Limited("concurrency", CONCURRENCY_RETRY_AFTER)
        if use.tokens < 1.0:
            return Limited("rate", (1.0 - use.tokens) / rate)
        use.tokens -= 1.0
        use.running += 1
        return Allowed()

    def end(self, account: str) -> None:
        """Note that a request that was allowed has ended."""
        use = self.use_by_account[account]
        if use.running < 1:
            raise ValueError(f"{account} has no request to end")
        use.running -= 1

    def forget_idle(self, now: float, idle: float) -> None:
        """Drop accounts without requests for ``idle`` seconds, to bound the table."""
        stale = [
            account
            for account, use in self.use_by_account.items()
            if use.running == 0 and now - use.refilled_at > idle
        ]
        for account in stale:
            del self.use_by_account[account]
