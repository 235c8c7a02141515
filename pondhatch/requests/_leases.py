"""The grants given by an owner, each with a lease that its holder renews."""

from __future__ import annotations

import msgspec

from pondhatch.requests._grant_requests import Holder

#: Seconds until a grant that is not renewed ends: a lost release or a lost entry
#: router occupies a slot of an engine no longer than this.
LEASE_SECONDS = 30.0


class Lease(msgspec.Struct, frozen=True):
    """The lease of one grant."""

    engine: str
    #: When it ends unless renewed, in the clock's seconds.
    expires_at: float


class Leases(msgspec.Struct):
    """Leases by holder."""

    by_holder: dict[Holder, Lease] = msgspec.field(default_factory=dict)

    def start_or_renew(self, holder: Holder, engine: str, now: float) -> None:
        """Start or renew the lease of a grant."""
        self.by_holder[holder] = Lease(engine, now + LEASE_SECONDS)

    def remove(self, holder: Holder) -> Lease | None:
        """Remove and return a holder's lease; None if it has none."""
        return self.by_holder.pop(holder, None)

    def expired(self, now: float) -> tuple[Holder, ...]:
        """Return the holders whose leases have expired."""
        return tuple(holder for holder, lease in self.by_holder.items() if lease.expires_at <= now)

    def of_router(self, router: int, before: float = float("inf")) -> tuple[Holder, ...]:
        """Return an entry router's holders whose leases were last renewed before a time."""
        until = before + LEASE_SECONDS
        return tuple(
            holder
            for holder, lease in self.by_holder.items()
            if holder.router == router and lease.expires_at < until
        )
