"""Which crashes of engines that ran the same request are independent evidence against it.

A request that many callers send alike runs at many engines at once. Where these end together, one
cause ended them all, and it need not be the request. So crashes at one moment are one piece of
evidence, unless the runs had all lasted for about the same time: a request that crashes engines
does so some time after each run began. A run that began after a crash and ended its engine as well
is another piece, however soon: so a request that crashes one engine after the other is seen as
such.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

#: Seconds after the first crash of a moment within which others belong to it, if their runs had
#: begun before it.
MOMENT_SECONDS = 0.25
#: Seconds by which a run may begin after the first crash of a moment and still belong to it:
#: engines do not end at exactly the same time, and packets between routers take time. A request
#: that has just crashed an engine waits longer than this before it runs again.
LATE_START_SECONDS = 0.02
#: Seconds by which runs may differ in length and still seem to crash engines by themselves.
LENGTH_SPREAD_SECONDS = 0.1
#: Number of crashes at one moment whose lengths can be compared.
MIN_COMPARED = 2


class Crash(msgspec.Struct, frozen=True):
    """A crash during a run of a request, in the clock's seconds."""

    #: When the run lost its connection.
    at: float
    #: When the run began; the earliest, where several runs were lost in the same crash. Infinite
    #: where that is unknown.
    began_at: float

    @property
    def has_known_run(self) -> bool:
        """Whether it is known when the run began."""
        return self.began_at != float("inf")

    @property
    def run_seconds(self) -> float:
        """For how long the run had lasted."""
        return self.at - self.began_at

    def merged(self, other: Crash) -> Crash:
        """Return what two accounts of the same crash say together, in either order."""
        return Crash(min(self.at, other.at), min(self.began_at, other.began_at))


class Moment(msgspec.Struct, frozen=True):
    """Crashes at one moment, the earliest first."""

    crashes: tuple[Crash, ...]

    def includes(self, crash: Crash) -> bool:
        """Return whether a later crash belongs to this moment."""
        first_at = self.crashes[0].at
        has_begun = crash.began_at < first_at + LATE_START_SECONDS
        return has_begun and crash.at < first_at + MOMENT_SECONDS

    def may_have_common_cause(self) -> bool:
        """Return whether something other than the runs seems to have ended several engines."""
        if len(self.crashes) < MIN_COMPARED:
            return False
        lengths = [each.run_seconds for each in self.crashes]
        return max(lengths) - min(lengths) > LENGTH_SPREAD_SECONDS


def moments_of(crashes: Iterable[Crash]) -> list[Moment]:
    """Return the moments of a request's crashes, in order."""
    moments: list[Moment] = []
    for crash in sorted(crashes, key=lambda each: (each.at, each.began_at)):
        if moments and moments[-1].includes(crash):
            moments[-1] = Moment((*moments[-1].crashes, crash))
        else:
            moments.append(Moment((crash,)))
    return moments
