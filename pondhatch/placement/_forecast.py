"""Predicts the wait for a slot of a full engine and the time to retry; no I/O.

Both follow from the time between two releases of a slot, and from the number of requests that
the engine's queue has to serve first.
"""

from __future__ import annotations

import math

import msgspec

#: Weight of the newest gap between two releases in an engine's moving average.
GAP_WEIGHT = 0.2
#: The same weight where waits are predicted. Slots that were granted together come free together,
#: so that an average over five gaps swings between a third and twice the real one.
STEADY_GAP_WEIGHT = 1 / 32
#: Longest delay, in seconds, after which a refused caller is asked to retry.
LONGEST_RETRY_AFTER = 10.0
#: Seconds from the end of one run to the start of the next one that waits at the engine's owner:
#: the release, the grant and the request itself are sent one after the other.
TURNAROUND_SECONDS = 0.01


def extra_grants(gap: float, limit: int) -> int:
    """Return how many requests to grant beyond an engine's slots while others wait for it.

    As many as the engine completes within the turnaround, ``gap`` being the mean seconds between
    two completions; without them that many slots would be idle while requests are queued. 0 where
    the gap is not known, and at most ``limit``, the number that the engine queues itself.
    """
    if gap <= 0:
        return 0
    return min(limit, math.ceil(TURNAROUND_SECONDS / gap))


class ReleaseInterval(msgspec.Struct, frozen=True):
    """Moving average of the time between two releases of an engine's grants."""

    #: When a grant was last released, in the clock's seconds.
    last_release_at: float
    #: Mean seconds between two releases, None before the second one.
    mean_gap: float | None = None
    #: Number of gaps in the mean.
    gap_count: int = 0

    def with_release(self, now: float, min_weight: float = GAP_WEIGHT) -> ReleaseInterval:
        """Return the average updated by one more release."""
        gap = now - self.last_release_at
        if self.mean_gap is None:
            return ReleaseInterval(now, gap, 1)
        weight = min_weight
        if min_weight == STEADY_GAP_WEIGHT:
            # The plain mean of the first gaps, until their weight has fallen to the minimum.
            weight = max(min_weight, 1 / (self.gap_count + 1))
        return ReleaseInterval(
            now, self.mean_gap + weight * (gap - self.mean_gap), self.gap_count + 1
        )


class RetrySchedule(msgspec.Struct):
    """Spreads the retries of the callers that an engine's owner refused."""

    #: Latest time at which a caller was asked to retry, in the clock's seconds.
    latest_retry_at: float = float("-inf")

    def next_delay(self, now: float, queued: float, gap: float, queues: int) -> float:
        """Return the seconds after which one more refused caller is to retry.

        By then the ``queued`` requests of the engine's queue and the callers refused before are
        served. A caller that was refused by ``queues`` engines counts in part at each, since it
        retries at one of them. ``gap`` is the mean seconds between two releases.
        """
        retry_at = max(now + queued * gap, self.latest_retry_at + gap / queues)
        self.latest_retry_at = min(retry_at, now + LONGEST_RETRY_AFTER)
        return self.latest_retry_at - now
