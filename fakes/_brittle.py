"""An engine's limited room: it falls over if it must refuse too many requests in one second."""

from __future__ import annotations

import time
from collections import deque
from typing import Any

#: Seconds for which it answers nothing after it fell over.
FALL_SECONDS = 2.0


class BrittleRoom:
    """Counts the requests that one engine holds and refuses; without limits it refuses none."""

    def __init__(self) -> None:
        #: The limit that it states in its answers; None states nothing.
        self.refusal_limit: int | None = None
        #: When it fell over, in seconds of the machine's monotonic clock.
        self.falls: list[float] = []
        self._places = 0
        self._later_places = 0
        self._shrinks_at = float("inf")
        self._held = 0
        self._refused_at: deque[float] = deque()

    def set(self, order: dict[str, Any]) -> None:
        """Set the limit and the places; ``later_places`` apply after ``seconds``, unannounced."""
        self.refusal_limit = order["refusal_limit"]
        self._places, self._later_places = order["places"], order["later_places"]
        self._shrinks_at = time.monotonic() + order["seconds"]

    def is_down(self) -> bool:
        """Return whether it has fallen over and is not back yet."""
        return bool(self.falls) and time.monotonic() - self.falls[-1] < FALL_SECONDS

    def enter(self) -> bool:
        """Let a request in and return True, or refuse it for want of room."""
        now = time.monotonic()
        places = self._later_places if now >= self._shrinks_at else self._places
        if self.refusal_limit is None or self._held < places:
            self._held += 1
            return True
        self._refused_at.append(now)
        while self._refused_at[0] <= now - 1.0:
            self._refused_at.popleft()
        if len(self._refused_at) > self.refusal_limit:
            self.falls.append(now)
            self._refused_at.clear()
        return False

    def leave(self) -> None:
        """Free the place of a request that was let in."""
        self._held -= 1
