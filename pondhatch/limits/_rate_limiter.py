"""A bound on how often something is done: what comes too soon waits for its turn."""

from __future__ import annotations

import msgspec


class RateLimiter(msgspec.Struct):
    """Turns at a rate, of which some may be taken at once after a quiet time."""

    #: Turns a second in the long run.
    rate: float
    #: Turns that may be taken at once.
    burst: int
    #: When the next turn would come if none were saved, in the clock's seconds.
    _next_at: float = float("-inf")

    def reserve(self, now: float) -> float:
        """Take a turn; return for how many seconds to wait for it."""
        step = 1.0 / self.rate
        earliest = now - (self.burst - 1) * step
        turn = max(self._next_at, earliest)
        self._next_at = turn + step
        return max(0.0, turn - now)
