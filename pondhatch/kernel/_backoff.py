"""Pauses between tries at something that is out of reach."""

from __future__ import annotations

import random

#: Least share of a pause that is waited: with jitter above it, callers that failed
#: together come back spread over half of the pause.
MIN_FRACTION = 0.5


class Backoff:
    """Pauses that double up to a bound, with jitter."""

    def __init__(self, first: float, longest: float, rng: random.Random) -> None:
        self._first = first
        self._longest = longest
        self._rng = rng
        self._pause = first

    def next(self) -> float:
        """Return for how many seconds to wait before the next try."""
        pause = self._pause
        self._pause = min(self._longest, pause * 2)
        return pause * self._rng.uniform(MIN_FRACTION, 1.0)

    def reset(self) -> None:
        """Begin with the first pause again, after a try that worked."""
        self._pause = self._first
