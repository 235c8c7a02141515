"""Limits how often a log line is written."""

from __future__ import annotations

import msgspec


class LogThrottle(msgspec.Struct):
    """Allows one log line in a while, however many requests give cause for it."""

    #: Between two lines.
    seconds: float
    _allowed_at: float = float("-inf")

    def allows(self, now: float) -> bool:
        """Return whether to write a line now; the next one is due some seconds later."""
        if now - self._allowed_at < self.seconds:
            return False
        self._allowed_at = now
        return True
