"""Exponential backoff with jitter."""

from __future__ import annotations

import random

#: Minimum fraction of a pause that ``next`` returns. The rest is jitter, so that callers that
#: failed together retry spread over half of the pause.
MIN_FRACTION = 0.5


class Backoff:
    """Pauses in seconds that double up to a bound, with jitter."""

    def __init__(self, first: float, longest: float, rng: random.Random) -> None:
        self._first = first
        self._longest = longest
        self._rng = rng
        self._pause = first

    def next(self) -> float:
        """Return the seconds to wait before the next attempt."""
        pause = self._pause
        self._pause = min(self._longest, pause * 2)
        return pause * self._rng.uniform(MIN_FRACTION, 1.0)

    def reset(self) -> None:
        """Start over with the first pause, after a successful attempt."""
        self._pause = self._first
