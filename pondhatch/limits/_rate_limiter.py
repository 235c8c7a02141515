"""A rate limiter that delays calls instead of refusing them."""

from __future__ import annotations

import msgspec


class RateLimiter(msgspec.Struct):
    """Slots at a fixed rate, of which a burst may be reserved at once after an idle time."""

    #: Sustained slots per second.
    rate: float
    #: Slots that may be reserved at once.
    burst: int
    #: When the next slot comes if no burst has accumulated, in the clock's seconds.
    _next_at: float = float("-inf")

    def reserve(self, now: float) -> float:
        """Reserve the next slot and return the seconds to wait for it."""
        step = 1.0 / self.rate
        earliest = now - (self.burst - 1) * step
        turn = max(self._next_at, earliest)
        self._next_at = turn + step
        return max(0.0, turn - now)
