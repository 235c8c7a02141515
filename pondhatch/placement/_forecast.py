"""How long a request will wait for a slot of a full engine, and when to retry, without I/O.

Both follow from the time between two slots that come free, and from how many requests the
engine's line has to serve before.
"""

from __future__ import annotations

import msgspec

#: Weight of the newest gap between two releases in the mean of an engine.
GAP_WEIGHT = 0.2
#: The same where waits are predicted. Slots that were granted together come free together, so
#: that a mean over five gaps swings between a third and twice the real one.
STEADY_GAP_WEIGHT = 1 / 32
#: Seconds after which a refused caller is told to come back at most.
MOST_COME_BACK = 10.0


class Pace(msgspec.Struct, frozen=True):
    """How fast an engine gives grants back."""

    #: When it last gave one back, in the clock's seconds.
    last: float
    #: Mean seconds between two, None before the second.
    gap: float | None = None
    #: Gaps that the mean was made of.
    gaps: int = 0

    def after(self, now: float, least_weight: float = GAP_WEIGHT) -> Pace:
        """Return the pace with one more grant given back."""
        gap = now - self.last
        if self.gap is None:
            return Pace(now, gap, 1)
        weight = least_weight
        if least_weight == STEADY_GAP_WEIGHT:
            weight = max(least_weight, 1 / (self.gaps + 1))
        return Pace(now, self.gap + weight * (gap - self.gap), self.gaps + 1)


class Returns(msgspec.Struct):
    """When the callers that an engine's owner refused were told to come back."""

    #: The latest of these times, in the clock's seconds.
    latest: float = float("-inf")

    def next(self, now: float, share: float, gap: float, queues: int) -> float:
        """Return the seconds after which one more refused caller is to come back.

        The line, in which ``share`` requests wait, is served by then, and so are the callers
        that were told before. One that was refused by several engines comes back to one.
        """
        at = max(now + share * gap, self.latest + gap / queues)
        self.latest = min(at, now + MOST_COME_BACK)
        return self.latest - now
