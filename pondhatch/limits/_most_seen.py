"""The most routers seen live in a while: what parts of the fleet's allowances are counted by."""

from __future__ import annotations

from collections import deque

import msgspec

#: Seconds for which a router that is no longer heard of still counts: it may only be cut
#: off, and use its part.
MISSED_SECONDS = 60.0


class MostSeen(msgspec.Struct):
    """How many routers were live at the most, of late."""

    #: Numbers of live routers, each with when it was last seen, the newest last. Each is
    #: greater than those after it: a smaller one that is older can never be the most.
    _seen: deque[tuple[int, float]] = msgspec.field(
        default_factory=lambda: deque([(1, float("-inf"))])
    )

    def note(self, live: int, now: float) -> None:
        """Note how many routers are live, this one included."""
        while self._seen and now - self._seen[0][1] > MISSED_SECONDS:
            self._seen.popleft()
        while self._seen and self._seen[-1][0] <= live:
            self._seen.pop()
        self._seen.append((live, now))

    @property
    def most(self) -> int:
        """The most that were live at the same time."""
        return self._seen[0][0]

    @property
    def share(self) -> float:
        """Those that are live now, as a share of the most."""
        return self._seen[-1][0] / self.most
