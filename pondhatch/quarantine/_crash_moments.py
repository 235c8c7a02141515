"""Which crashes of engines that ran the same request are independent evidence against it.

A request that many callers send alike runs at many engines at once. Where these end together, one
cause ended them all, and it need not be the request. A request that crashes engines does so some
time after each run began: runs that began apart then end their engines as far apart. So two crashes
at nearly the same time, of runs that began further apart, are one piece of evidence. A run that
began after a crash and ended its engine as well is another piece, however soon.

The first requests of a service also begin together, as do those of callers that come back to it at
once. So while nothing of a service has been completed, runs that overlap prove nothing by
themselves: only a later run does that ends its engine as well.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

#: Seconds between two crashes that one cause may have brought about.
MOMENT_SECONDS = 0.25
#: Seconds by which the start of a run and a crash elsewhere are known: packets take time, and the
#: engines that one cause ends do not end at exactly the same time.
SKEW_SECONDS = 0.02
#: Seconds by which the starts of two runs must differ to tell a common cause, and how many times as
#: much as their ends.
MIN_START_SPREAD_SECONDS = 0.03
START_SPREAD_RATIO = 2.0

#: Number of crashes that count as several although their runs overlapped and nothing of the service
#: had been completed. One less than quarantine a request: a later run decides.
MAX_COLD_OVERLAPS = 2


class Crash(msgspec.Struct, frozen=True):
    """A crash during a run of a request, in the clock's seconds."""

    #: When the run lost its connection.
    at: float
    #: For how long the run had lasted; the longest, where several were lost in the same crash. 0
    #: where that is unknown.
    run_seconds: float
    #: Whether nothing of the service had been completed shortly before.
    is_cold: bool = False

    @property
    def began_at(self) -> float:
        """When the run began."""
        return self.at - self.run_seconds

    def merged(self, other: Crash) -> Crash:
        """Return what two accounts of the same crash say together, in either order."""
        return Crash(
            min(self.at, other.at),
            max(self.run_seconds, other.run_seconds),
            self.is_cold and other.is_cold,
        )

    def overlaps(self, earlier: Crash) -> bool:
        """Return whether its run had begun before an earlier crash."""
        return self.began_at <= earlier.at + SKEW_SECONDS

    def is_independent(self, earlier: Crash) -> bool:
        """Return whether it is evidence of its own beside an earlier crash."""
        if not (self.run_seconds and earlier.run_seconds):
            return True
        apart = self.at - earlier.at
        if apart > MOMENT_SECONDS or not self.overlaps(earlier):
            return True
        starts_apart = abs(self.began_at - earlier.began_at)
        return starts_apart <= max(MIN_START_SPREAD_SECONDS, START_SPREAD_RATIO * apart)


def independent_crashes(crashes: Iterable[Crash]) -> list[Crash]:
    """Return crashes that are each evidence of their own, in order."""
    found: list[Crash] = []
    in_order = _in_order(crashes)
    is_cold = all(crash.is_cold for crash in in_order)
    for crash in in_order:
        if not all(crash.is_independent(earlier) for earlier in found):
            continue
        if is_cold and sum(map(crash.overlaps, found)) >= MAX_COLD_OVERLAPS:
            continue
        found.append(crash)
    return found


def successive_crashes(crashes: Iterable[Crash]) -> list[Crash]:
    """Return crashes each of whose runs began after the one before, in order."""
    found: list[Crash] = []
    for crash in _in_order(crashes):
        if not found or crash.began_at >= found[-1].at - SKEW_SECONDS:
            found.append(crash)
    return found


def _in_order(crashes: Iterable[Crash]) -> list[Crash]:
    return sorted(crashes, key=lambda each: (each.at, each.run_seconds, each.is_cold))
