"""The most routers seen live in a while: what parts of the fleet's allowances are counted by."""

from __future__ import annotations

from collections import deque

import msgspec

#: Seconds for which a router that is no longer heard of still counts: it may only be cut
#: off, and use its part.
PEAK_SECONDS = 60.0


class PeakRouters(msgspec.Struct):
    """How many routers were live at the most, of late."""

    #: Numbers of live routers, each with when it was last seen, the newest last. Each is
    #: greater than those after it: a smaller one that is older can never be the most.
    _counts: deque[tuple[int, float]] = msgspec.field(
        default_factory=lambda: deque([(1, float("-inf"))])
    )

    def record(self, live: int, now: float) -> None:
        """Note how many routers are live, this one included."""
        while self._counts and now - self._counts[0][1] > PEAK_SECONDS:
            self._counts.popleft()
        while self._counts and self._counts[-1][0] <= live:
            self._counts.pop()
        self._counts.append((live, now))

    @property
    def peak(self) -> int:
        """The most that were live at the same time."""
        return self._counts[0][0]

    @property
    def live_share(self) -> float:
        """Those that are live now, as a share of the most."""
        return self._counts[-1][0] / self.peak
