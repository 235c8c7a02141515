"""Current processing time of engines relative to their usual one, as they report it.

An engine that shares its machine with others may take a multiple of its usual processing time for
a while. It states this pace, in percent of the usual time, in its answers; a higher pace means a
slower engine. The value changes within fractions of a second.
"""

from __future__ import annotations

import msgspec

#: Pace of an engine that takes its usual time, in percent; also used where none is known.
USUAL_PACE = 100
#: Largest accepted pace, in percent.
MAX_PACE = 10_000
#: Seconds for which a pace is used after it was read: an engine's pace lasts about as long.
PACE_LIFETIME = 0.6


class ReportedPace(msgspec.Struct, frozen=True):
    """The last pace that one engine reported."""

    #: Processing time in percent of usual.
    pace: int
    #: When it was read, in the clock's seconds.
    read_at: float

    def is_current(self, now: float) -> bool:
        """Return whether the pace has not expired."""
        return now - self.read_at < PACE_LIFETIME


class EnginePaces(msgspec.Struct):
    """The last pace of each engine that reported one."""

    _reported_by_engine: dict[str, ReportedPace] = msgspec.field(default_factory=dict)

    def record(self, engine: str, pace: int, now: float) -> None:
        """Record the pace that an engine reports."""
        self._reported_by_engine[engine] = ReportedPace(pace, now)

    def pace(self, engine: str, now: float) -> int:
        """Return an engine's pace, the usual one where none is current."""
        reported = self._reported_by_engine.get(engine)
        return reported.pace if reported is not None and reported.is_current(now) else USUAL_PACE

    def current(self, now: float) -> dict[str, ReportedPace]:
        """Return the paces that have not expired."""
        return {
            name: each for name, each in self._reported_by_engine.items() if each.is_current(now)
        }

    def count_slow(self, now: float) -> int:
        """Return the number of engines that take longer than usual."""
        return sum(each.pace > USUAL_PACE for each in self.current(now).values())

    def drop_expired(self, now: float) -> None:
        """Drop the paces that have expired."""
        if self._reported_by_engine:
            self._reported_by_engine = self.current(now)
