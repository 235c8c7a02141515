"""Notices that this process stood still, by the rounds that it missed."""

from __future__ import annotations

import msgspec

#: Seconds without a round after which this process stood still: ten rounds, which no load of the
#: loop delays so long, and less than others take to find it dead.
STANDSTILL_SECONDS = 1.0


class Standstill(msgspec.Struct):
    """When this process last went on after a standstill; times in seconds of one clock.

    What waits for it then, packets, replies and timers, is handled in any order. So whoever
    handles something asks first.
    """

    _round_at: float = float("inf")
    _ended_at: float = float("-inf")

    def note_round(self, now: float) -> None:
        """Note one of the rounds, which are due ten times a second."""
        self._observe(now)
        self._round_at = now

    def has_been_since(self, since: float, now: float) -> bool:
        """Return whether this process stood still at some time after ``since``."""
        self._observe(now)
        return self._ended_at > since

    def _observe(self, now: float) -> None:
        if now - self._round_at > STANDSTILL_SECONDS:
            self._ended_at = self._round_at = now
