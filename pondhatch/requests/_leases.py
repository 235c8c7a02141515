"""The grants that an owner has given, each under a lease that its holder renews."""

from __future__ import annotations

import msgspec

from pondhatch.requests._grant_requests import Holder

#: Seconds for which a grant that is not renewed counts: a lost release, or a lost
#: entry router, keeps a place at an engine no longer than this.
LEASE_SECONDS = 30.0


class Lease(msgspec.Struct, frozen=True):
    """One grant."""

    engine: str
    #: When it ends unless it is renewed, in the clock's seconds.
    until: float


class Leases(msgspec.Struct):
    """Leases by holder."""

    by_holder: dict[Holder, Lease] = msgspec.field(default_factory=dict)

    def give(self, holder: Holder, engine: str, now: float) -> None:
        """Record a grant, or renew it."""
        self.by_holder[holder] = Lease(engine, now + LEASE_SECONDS)

    def take(self, holder: Holder) -> Lease | None:
        """Return a holder's lease and forget it; None where it has none."""
        return self.by_holder.pop(holder, None)

    def ended(self, now: float) -> tuple[Holder, ...]:
        """Return the holders whose lease has ended."""
        return tuple(holder for holder, lease in self.by_holder.items() if lease.until <= now)

    def of_router(self, router: int, before: float = float("inf")) -> tuple[Holder, ...]:
        """Return the holders that are requests of an entry router, renewed before a time."""
        until = before + LEASE_SECONDS
        return tuple(
            holder
            for holder, lease in self.by_holder.items()
            if holder.router == router and lease.until < until
        )
