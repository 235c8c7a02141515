"""How long a request will wait for a slot of a full engine, and when to retry, without I/O.

Both follow from the time between two slots that come free, and from how many requests the
engine's line has to serve before.
"""

from __future__ import annotations

import math

import msgspec

#: Weight of the newest gap between two releases in the mean of an engine.
GAP_WEIGHT = 0.2
#: The same where waits are predicted. Slots that were granted together come free together, so
#: that a mean over five gaps swings between a third and twice the real one.
STEADY_GAP_WEIGHT = 1 / 32
#: The longest time, in seconds, after which a refused caller is asked to retry.
LONGEST_RETRY_AFTER = 10.0
#: Seconds from the end of one run to the begin of the next, where that one waits at the engine's
#: owner: a release, a grant and the request itself are on their way, one after the other.
TURNAROUND = 0.01


def granted_ahead(gap: float, most: int) -> int:
    """Return how many requests to grant beyond an engine's slots while others wait for it.

    As many as the engine ends within the turnaround, ``gap`` being the mean seconds between two
    ends: else that many slots would stand idle beside a queue. 0 where the gap is not known, and
    no more than ``most``, which the engine queues itself.
    """
    if gap <= 0:
        return 0
    return min(most, math.ceil(TURNAROUND / gap))


class ReleaseInterval(msgspec.Struct, frozen=True):
    """How fast an engine gives grants back."""

    #: When it last gave one back, in the clock's seconds.
    last: float
    #: Mean seconds between two, None before the second.
    gap: float | None = None
    #: Gaps that the mean was made of.
    gaps: int = 0

    def after(self, now: float, least_weight: float = GAP_WEIGHT) -> ReleaseInterval:
        """Return the pace with one more grant given back."""
        gap = now - self.last
        if self.gap is None:
            return ReleaseInterval(now, gap, 1)
        weight = least_weight
        if least_weight == STEADY_GAP_WEIGHT:
            weight = max(least_weight, 1 / (self.gaps + 1))
        return ReleaseInterval(now, self.gap + weight * (gap - self.gap), self.gaps + 1)


class RetrySchedule(msgspec.Struct):
    """When the callers that an engine's owner refused were asked to retry."""

    #: The latest of these times, in the clock's seconds.
    latest: float = float("-inf")

    def next_delay(self, now: float, share: float, gap: float, queues: int) -> float:
        """Return the seconds after which one more refused caller is to retry.

        The line, in which ``share`` requests wait, is served by then, and so are the callers
        refused before. One that several engines refused retries at one of them.
        """
        at = max(now + share * gap, self.latest + gap / queues)
        self.latest = min(at, now + LONGEST_RETRY_AFTER)
        return self.latest - now
