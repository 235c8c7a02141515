"""The recent peak of live routers, by which fleet-wide allowances are divided among routers."""

from __future__ import annotations

from collections import deque

import msgspec

#: Seconds for which a router still counts after it was last live: it may only be partitioned
#: from this one and go on spending its part.
PEAK_SECONDS = 60.0


class PeakRouters(msgspec.Struct):
    """The largest number of routers that were live at once within the last PEAK_SECONDS."""

    #: (number of live routers, time last recorded), oldest first: a monotonic queue. Each number
    #: is greater than those after it, as an older and smaller one can never be the peak.
    _counts: deque[tuple[int, float]] = msgspec.field(
        default_factory=lambda: deque([(1, float("-inf"))])
    )

    def record(self, live: int, now: float) -> None:
        """Record how many routers are live, including this one."""
        while self._counts and now - self._counts[0][1] > PEAK_SECONDS:
            self._counts.popleft()
        while self._counts and self._counts[-1][0] <= live:
            self._counts.pop()
        self._counts.append((live, now))

    @property
    def peak(self) -> int:
        """The largest number of routers live at the same time."""
        return self._counts[0][0]

    @property
    def live_share(self) -> float:
        """The number of routers live now divided by the peak."""
        return self._counts[-1][0] / self.peak
