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
TURNAROUND_SECONDS = 0.01


def extra_grants(gap: float, limit: int) -> int:
    """Return how many requests to grant beyond an engine's slots while others wait for it.

    As many as the engine ends within the turnaround, ``gap`` being the mean seconds between two
    ends: else that many slots would stand idle beside a queue. 0 where the gap is not known, and
    no more than ``most``, which the engine queues itself.
    """
    if gap <= 0:
        return 0
    return min(limit, math.ceil(TURNAROUND_SECONDS / gap))


class ReleaseInterval(msgspec.Struct, frozen=True):
    """How fast an engine gives grants back."""

    #: When it last gave one back, in the clock's seconds.
    last_release_at: float
    #: Mean seconds between two, None before the second.
    mean_gap: float | None = None
    #: Gaps that the mean was made of.
    gap_count: int = 0

    def with_release(self, now: float, min_weight: float = GAP_WEIGHT) -> ReleaseInterval:
        """Return the pace with one more grant given back."""
        gap = now - self.last_release_at
        if self.mean_gap is None:
            return ReleaseInterval(now, gap, 1)
        weight = min_weight
        if min_weight == STEADY_GAP_WEIGHT:
            weight = max(min_weight, 1 / (self.gap_count + 1))
        return ReleaseInterval(
            now, self.mean_gap + weight * (gap - self.mean_gap), self.gap_count + 1
        )


class RetrySchedule(msgspec.Struct):
    """When the callers that an engine's owner refused were asked to retry."""

    #: The latest of these times, in the clock's seconds.
    latest_retry_at: float = float("-inf")

    def next_delay(self, now: float, queued: float, gap: float, queues: int) -> float:
        """Return the seconds after which one more refused caller is to retry.

        The line, in which ``share`` requests wait, is served by then, and so are the callers
        refused before. One that several engines refused retries at one of them.
        """
        retry_at = max(now + queued * gap, self.latest_retry_at + gap / queues)
        self.latest_retry_at = min(retry_at, now + LONGEST_RETRY_AFTER)
        return self.latest_retry_at - now
