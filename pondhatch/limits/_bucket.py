"""Token buckets and concurrency limits of client accounts, without I/O.

``_shares`` computes the part of an account's limits that applies at one router, which changes
over time. A new bucket starts full, with the burst that applies then.
"""

from __future__ import annotations

import msgspec


class AccountLimits(msgspec.Struct, frozen=True):
    """An account's limits across the whole fleet."""

    #: Sustained requests per second.
    requests_per_second: float
    #: Capacity of the token bucket: requests that may arrive at once.
    burst: int
    #: Maximum number of requests in flight.
    concurrency: int


class Allowed(msgspec.Struct, frozen=True):
    """The request is admitted; report its end with ``AccountGate.end``."""


class Limited(msgspec.Struct, frozen=True):
    """The request exceeds a limit and was not run."""

    #: The limit that was exceeded: "rate", "concurrency" or "memory".
    limit: str
    #: Seconds after which the caller should retry.
    retry_after: float


LimitVerdict = Allowed | Limited

#: Seconds after which to retry when a concurrency limit is reached.
CONCURRENCY_RETRY_AFTER = 1.0


class AccountUse(msgspec.Struct):
    """One account's token bucket and number of running requests at this router."""

    tokens: float
    refilled_at: float
    running: int = 0


class AccountGate(msgspec.Struct):
    """Token buckets and numbers of running requests by account."""

    use_by_account: dict[str, AccountUse] = msgspec.field(default_factory=dict)

    def running(self, account: str) -> int:
        """Return how many of an account's requests are running at this router."""
        use = self.use_by_account.get(account)
        return use.running if use is not None else 0

    def begin(self, account: str, limits: AccountLimits, now: float) -> LimitVerdict:
        """Admit one request, or return the limit that it exceeds."""
        rate = limits.requests_per_second
        use = self.use_by_account.setdefault(account, AccountUse(float(limits.burst), now))
        refilled = use.tokens + rate * max(0.0, now - use.refilled_at)
        # Tokens above a burst that was lowered are kept, but none are added.
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
        """Record the end of an admitted request.

        Raises ValueError if none is running for the account.
        """
        use = self.use_by_account[account]
        if use.running < 1:
            raise ValueError(f"{account} has no request to end")
        use.running -= 1

    def forget_idle(self, now: float, idle: float) -> None:
        """Drop accounts without requests for ``idle`` seconds, to bound the size of the table."""
        stale = [
            account
            for account, use in self.use_by_account.items()
            if use.running == 0 and now - use.refilled_at > idle
        ]
        for account in stale:
            del self.use_by_account[account]
