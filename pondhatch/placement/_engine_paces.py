"""How fast engines work now, as they report it.

An engine that shares its machine with others may take a multiple of its usual time for a
while. It says so in its answers, and the value changes within fractions of a second.
"""

from __future__ import annotations

import msgspec

#: The pace of an engine that takes its usual time, in percent; stands for one that is unknown.
USUAL_PACE = 100
#: The largest pace that is believed, in percent.
MAX_PACE = 10_000
#: Seconds for which a pace holds after it was read: engines keep one for about as long.
PACE_LIFETIME = 0.6


class ReportedPace(msgspec.Struct, frozen=True):
    """What one engine said last."""

    #: Its processing time in percent of usual.
    pace: int
    #: In the clock's seconds.
    read_at: float

    def is_current(self, now: float) -> bool:
        """Return whether it still says something of the present."""
        return now - self.read_at < PACE_LIFETIME


class EnginePaces(msgspec.Struct):
    """The last pace of each engine that stated one."""

    _reported_by_engine: dict[str, ReportedPace] = msgspec.field(default_factory=dict)

    def record(self, engine: str, pace: int, now: float) -> None:
        """Take in what an engine says."""
        self._reported_by_engine[engine] = ReportedPace(pace, now)

    def pace(self, engine: str, now: float) -> int:
        """Return an engine's pace, the usual one where none is known."""
        reported = self._reported_by_engine.get(engine)
        return reported.pace if reported is not None and reported.is_current(now) else USUAL_PACE

    def current(self, now: float) -> dict[str, ReportedPace]:
        """Return the paces that still hold."""
        return {
            name: each for name, each in self._reported_by_engine.items() if each.is_current(now)
        }

    def count_slow(self, now: float) -> int:
        """Return how many engines take longer than usual."""
        return sum(each.pace > USUAL_PACE for each in self.current(now).values())

    def drop_expired(self, now: float) -> None:
        """Forget the paces that no longer hold."""
        if self._reported_by_engine:
            self._reported_by_engine = self.current(now)
