"""Who may run a request of which one more run may end one more engine.

Callers repeat such a request at several routers in the same moment, and others fell beside it
as often as it did. Each router claims its run, tells all others, waits for as long as a packet
takes, and begins when no claim that bars it goes before its own: Lamport's bakery, with no
router in charge and no answer to wait for. A lost packet costs one engine more at worst.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.quarantine._evidence import Trial

#: Seconds after which a claim of which no end was heard no longer counts: its router may be gone.
TRIAL_SECONDS = 30.0

#: Returns whether two requests, by their digests, must not run at the same time.
Conflicts = Callable[[int, int], bool]


class ActiveClaim(msgspec.Struct, frozen=True):
    """A claim, and until when it counts, in the clock's seconds."""

    trial: Trial
    until: float


class Trials(msgspec.Struct):
    """The claims that a router knows of, its own included."""

    #: Short id of this router.
    router: int
    _claim_by_holder: dict[tuple[int, int], ActiveClaim] = msgspec.field(default_factory=dict)
    _number: int = 0

    def claim(self, digest: int, now: float) -> Trial:
        """Return a claim of this router's own, behind all that it has heard of."""
        self._number += 1
        tickets = [each.ticket for each in self._claims(now)]
        trial = Trial(digest, max(tickets, default=0) + 1, self.router, self._number)
        self.add(trial, now)
        return trial

    def add(self, trial: Trial, now: float) -> None:
        """Take in a claim."""
        self._claim_by_holder[trial.router, trial.number] = ActiveClaim(trial, now + TRIAL_SECONDS)

    def remove(self, trial: Trial) -> None:
        """Take in that a claim's run is over, or never began."""
        self._claim_by_holder.pop((trial.router, trial.number), None)

    def goes_first(self, trial: Trial, now: float, conflicts: Conflicts) -> bool:
        """Return whether no claim that bars this one goes before it."""
        earlier = (each for each in self._claims(now) if _order(each) < _order(trial))
        return not any(conflicts(each.digest, trial.digest) for each in earlier)

    def _claims(self, now: float) -> list[Trial]:
        """Return the claims that count, and forget the others."""
        expired = [holder for holder, each in self._claim_by_holder.items() if each.until <= now]
        for holder in expired:
            del self._claim_by_holder[holder]
        return [each.trial for each in self._claim_by_holder.values()]


def _order(trial: Trial) -> tuple[int, int, int]:
    """Return a claim's place; the lowest goes first."""
    return trial.ticket, trial.router, trial.number
