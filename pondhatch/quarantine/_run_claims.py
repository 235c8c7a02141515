"""Which router may run a suspected request whose next run may crash one more engine.

Callers repeat such a request at several routers at the same time, and also the other requests that
were lost in the same crashes and are suspected too. Each router claims its run, announces the claim
to all others, waits for the time that a packet takes, and starts when no conflicting claim comes
before its own. This is Lamport's bakery algorithm, without a coordinator and without replies to
wait for. A lost packet costs at most one more engine.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.quarantine._evidence import RunClaim

#: Seconds after which a claim without an end expires: its router may be gone.
CLAIM_LIFETIME = 30.0

#: Function that returns whether two requests, by their digests, must not run at the same time.
Conflicts = Callable[[int, int], bool]


class ActiveClaim(msgspec.Struct, frozen=True):
    """A claim, and when it expires, in the clock's seconds."""

    claim: RunClaim
    expires_at: float


class RunClaims(msgspec.Struct):
    """The claims that a router knows of, including its own."""

    #: Short id of this router.
    router: int
    #: By the router and the number of the claim.
    _active_claim_by_id: dict[tuple[int, int], ActiveClaim] = msgspec.field(default_factory=dict)
    #: Number of this router's latest claim.
    _last_number: int = 0

    def claim(self, digest: int, now: float) -> RunClaim:
        """Return a new claim of this router, ordered after all that it knows of."""
        self._last_number += 1
        tickets = [each.ticket for each in self._claims(now)]
        claim = RunClaim(digest, max(tickets, default=0) + 1, self.router, self._last_number)
        self.add(claim, now)
        return claim

    def add(self, claim: RunClaim, now: float) -> None:
        """Add a claim, this router's own or a peer's."""
        self._active_claim_by_id[claim.router, claim.number] = ActiveClaim(
            claim, now + CLAIM_LIFETIME
        )

    def remove(self, claim: RunClaim) -> None:
        """Remove a claim whose run is over or never began."""
        self._active_claim_by_id.pop((claim.router, claim.number), None)

    def goes_first(self, claim: RunClaim, now: float, conflicts: Conflicts) -> bool:
        """Return whether no conflicting claim comes before this one."""
        earlier = (each for each in self._claims(now) if _order(each) < _order(claim))
        return not any(conflicts(each.digest, claim.digest) for each in earlier)

    def _claims(self, now: float) -> list[RunClaim]:
        """Drop expired claims and return the others."""
        expired = [
            claim_id
            for claim_id, each in self._active_claim_by_id.items()
            if each.expires_at <= now
        ]
        for claim_id in expired:
            del self._active_claim_by_id[claim_id]
        return [each.claim for each in self._active_claim_by_id.values()]


def _order(claim: RunClaim) -> tuple[int, int, int]:
    """Return the key by which claims are ordered; the lowest goes first."""
    return claim.ticket, claim.router, claim.number
