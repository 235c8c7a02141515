"""Remembers requests refused at arrival, to count those that a slot came free for in time."""

from __future__ import annotations

import heapq

#: Maximum number of refused requests per engine that are remembered until their wait would end.
MAX_REMEMBERED_REFUSALS = 512


class RememberedRefusals:
    """Requests that engines' queues refused at arrival, until their waits would have ended."""

    def __init__(self) -> None:
        #: Times until which requests refused at arrival could have waited, a heap by engine.
        self.refused_until_by_engine: dict[str, list[float]] = {}
        #: Number of requests refused at arrival for which a slot came free in time after all.
        self.wrongly_refused = 0

    def remember(self, engine: str, until: float, now: float) -> None:
        """Remember a request that could have waited until a time."""
        refused_until = self.refused_until_by_engine.setdefault(engine, [])
        _drop_expired(refused_until, now)
        if len(refused_until) < MAX_REMEMBERED_REFUSALS:
            heapq.heappush(refused_until, until)

    def note_unused_slot(self, engine: str, now: float) -> None:
        """Count a refusal as wrong for a slot that came free while no request waits."""
        refused_until = self.refused_until_by_engine.get(engine)
        if refused_until is None:
            return
        _drop_expired(refused_until, now)
        if refused_until:
            heapq.heappop(refused_until)
            self.wrongly_refused += 1
        if not refused_until:
            del self.refused_until_by_engine[engine]


def _drop_expired(heap: list[float], now: float) -> None:
    """Remove the times that have passed from a heap of times."""
    while heap and heap[0] <= now:
        heapq.heappop(heap)
