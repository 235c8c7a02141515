"""Which router may run a suspected request whose next run may crash one more engine.

Callers repeat such a request at several routers at the same time, and other requests were lost
beside it in the same crashes. Each router claims its run, announces the claim to all others, waits
for the time that a packet takes, and starts when no conflicting claim comes before its own. This
is Lamport's bakery algorithm, without a coordinator and without replies to wait for. A lost packet
costs at most one more engine.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.quarantine._evidence import Trial

#: Seconds after which a claim without an end expires: its router may be gone.
TRIAL_SECONDS = 30.0

#: Function that returns whether two requests, by their digests, must not run at the same time.
Conflicts = Callable[[int, int], bool]


class ActiveClaim(msgspec.Struct, frozen=True):
    """A claim, and when it expires, in the clock's seconds."""

    trial: Trial
    until: float


class Trials(msgspec.Struct):
    """The claims that a router knows of, including its own."""

    #: Short id of this router.
    router: int
    _claim_by_holder: dict[tuple[int, int], ActiveClaim] = msgspec.field(default_factory=dict)
    _number: int = 0

    def claim(self, digest: int, now: float) -> Trial:
        """Return a new claim of this router, ordered after all that it knows of."""
        self._number += 1
        tickets = [each.ticket for each in self._claims(now)]
        trial = Trial(digest, max(tickets, default=0) + 1, self.router, self._number)
        self.add(trial, now)
        return trial

    def add(self, trial: Trial, now: float) -> None:
        """Add a claim, this router's own or a peer's."""
        self._claim_by_holder[trial.router, trial.number] = ActiveClaim(trial, now + TRIAL_SECONDS)

    def remove(self, trial: Trial) -> None:
        """Remove a claim whose run is over or never began."""
        self._claim_by_holder.pop((trial.router, trial.number), None)

    def goes_first(self, trial: Trial, now: float, conflicts: Conflicts) -> bool:
        """Return whether no conflicting claim comes before this one."""
        earlier = (each for each in self._claims(now) if _order(each) < _order(trial))
        return not any(conflicts(each.digest, trial.digest) for each in earlier)

    def _claims(self, now: float) -> list[Trial]:
        """Drop expired claims and return the others."""
        expired = [holder for holder, each in self._claim_by_holder.items() if each.until <= now]
        for holder in expired:
            del self._claim_by_holder[holder]
        return [each.trial for each in self._claim_by_holder.values()]


def _order(trial: Trial) -> tuple[int, int, int]:
    """Return the key by which claims are ordered; the lowest goes first."""
    return trial.ticket, trial.router, trial.number
