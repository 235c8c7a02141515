"""Limits how often a log line is written."""

from __future__ import annotations

import msgspec


class LogThrottle(msgspec.Struct):
    """Allows one log line per interval, however many requests would cause one."""

    #: Seconds from one line to the next.
    seconds: float
    _allowed_at: float = float("-inf")

    def allows(self, now: float) -> bool:
        """Return whether to write a line now, which starts a new interval if so."""
        if now - self._allowed_at < self.seconds:
            return False
        self._allowed_at = now
        return True
