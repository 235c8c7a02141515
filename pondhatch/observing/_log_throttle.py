"""Telling something now and then, however often it is come across."""

from __future__ import annotations

import msgspec


class LogThrottle(msgspec.Struct):
    """Remembers when something was told, so that a log line does not come with each request."""

    #: Between two tellings.
    seconds: float
    _told_at: float = float("-inf")

    def allows(self, now: float) -> bool:
        """Return whether this is to be told now, and remember that it was."""
        if now - self._told_at < self.seconds:
            return False
        self._told_at = now
        return True
