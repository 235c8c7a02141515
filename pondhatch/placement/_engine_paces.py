"""How fast engines work now, as they report it.

An engine that shares its machine with others may take a multiple of its usual time for a
while. It says so in its answers, and the value changes within fractions of a second.
"""

from __future__ import annotations

import msgspec

#: The pace of an engine that takes its usual time, in percent; stands for one that is unknown.
USUAL_PACE = 100
#: The largest pace that is believed, in percent.
MOST_PACE = 10_000
#: Seconds for which a pace holds after it was read: engines keep one for about as long.
PACE_SECONDS = 0.6


class KnownPace(msgspec.Struct, frozen=True):
    """What one engine said last."""

    #: Its processing time in percent of usual.
    pace: int
    #: In the clock's seconds.
    read_at: float

    def holds(self, now: float) -> bool:
        """Return whether it still says something of the present."""
        return now - self.read_at < PACE_SECONDS


class EnginePaces(msgspec.Struct):
    """The last pace of each engine that stated one."""

    _known_by_engine: dict[str, KnownPace] = msgspec.field(default_factory=dict)

    def hear(self, engine: str, pace: int, now: float) -> None:
        """Take in what an engine says."""
        self._known_by_engine[engine] = KnownPace(pace, now)

    def pace(self, engine: str, now: float) -> int:
        """Return an engine's pace, the usual one where none is known."""
        known = self._known_by_engine.get(engine)
        return known.pace if known is not None and known.holds(now) else USUAL_PACE

    def in_force(self, now: float) -> dict[str, KnownPace]:
        """Return the paces that still hold."""
        return {name: each for name, each in self._known_by_engine.items() if each.holds(now)}

    def count_slow(self, now: float) -> int:
        """Return how many engines take longer than usual."""
        return sum(each.pace > USUAL_PACE for each in self.in_force(now).values())

    def forget_old(self, now: float) -> None:
        """Forget the paces that no longer hold."""
        if self._known_by_engine:
            self._known_by_engine = self.in_force(now)
