"""How long requests took lately, from which a stopping router judges whether one more may end."""

from __future__ import annotations

from collections import deque

import msgspec

#: Ended requests that are remembered of each service and kind, and how many must be known of
#: those that must not be repeated.
SAMPLES, FEW_SAMPLES = 64, 8
#: A request may take this much longer than the longest of these did.
MARGIN = 1.1


class _Times(msgspec.Struct):
    """Requests to one service, of one kind."""

    #: Seconds that the latest whole ones took.
    ended: deque[float] = msgspec.field(default_factory=lambda: deque(maxlen=SAMPLES))
    #: When each unfinished one began, by its id, the oldest first.
    began_by_id: dict[str, float] = msgspec.field(default_factory=dict)

    def oldest_age(self, now: float) -> float:
        return now - next(iter(self.began_by_id.values()), now)


class WorkTimes(msgspec.Struct):
    """How long requests take from their receipt to their end; times are in the clock's seconds."""

    _times_by_kind: dict[tuple[str, bool], _Times] = msgspec.field(default_factory=dict)

    def begin(self, service: str, repeatable: bool, request_id: str, now: float) -> None:
        """Record that a request has begun."""
        times = self._times_by_kind.setdefault((service, repeatable), _Times())
        times.began_by_id[request_id] = now

    def end(
        self, service: str, repeatable: bool, request_id: str, is_whole: bool, now: float
    ) -> None:
        """Record that a request has ended; its time counts if its answer was whole."""
        times = self._times_by_kind[service, repeatable]
        began_at = times.began_by_id.pop(request_id)
        if is_whole:
            times.ended.append(now - began_at)

    def may_end_within(self, service: str, repeatable: bool, seconds: float, now: float) -> bool:
        """Return whether a request that begins now may be expected to end within ``seconds``.

        One that must not be repeated may be if some are known, and none took or takes too long;
        another one if half of them did not, since where that fails it can be sent again.
        """
        times = self._times_by_kind.get((service, repeatable), _Times())
        if repeatable:
            return not times.ended or sorted(times.ended)[len(times.ended) // 2] <= seconds
        longest = max((*times.ended, times.oldest_age(now)))
        return len(times.ended) >= FEW_SAMPLES and longest * MARGIN <= seconds
