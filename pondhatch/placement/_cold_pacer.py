"""How fast requests go to a cold upstream, whoever grants them.

A cold upstream falls over well above its pace, whatever router sent it too much. Its owner
counts, but at times two routers take themselves for the owner: one was cut off or restarted,
or the others have not heard yet. So each keeps to half of what the upstream bears, and a
router that sees but a part of the fleet keeps to that part of it: as many sides as a cut may
have, they stay within the whole together.
"""

from __future__ import annotations

import msgspec

#: Routers that may take themselves for an upstream's owner at the same time, on one side of a
#: cut: the former and the next, until both have heard of the change.
CONCURRENT_OWNERS = 2
#: Requests that may go at once to an upstream that got none for a while: a caller's few that
#: come together need not wait for each other.
BURST = 2


class ColdAllowance(msgspec.Struct, frozen=True):
    """What a cold upstream bears in any one second beside its pace."""

    #: Multiple of the pace.
    overshoot: float = 1.0
    #: Requests beyond that.
    slack: float = 0.0

    def max_per_second(self, pace: float) -> float:
        """Return the requests that may reach one upstream in any one second."""
        return pace * self.overshoot + self.slack


class ColdPacer(msgspec.Struct):
    """When the next request may go to each cold upstream, as one router counts it.

    A virtual schedule: each request moves an upstream's next turn on by an interval, and one
    may go up to ``BURST`` - 1 intervals ahead of its turn.
    """

    allowance: ColdAllowance = msgspec.field(default_factory=ColdAllowance)
    #: This router's part of the fleet: the live routers it sees, of those seen in a while; 0
    #: until it has met the others.
    fleet_share: float = 0.0
    #: The next turn of each cold upstream, in the clock's seconds.
    _next_grant_by_upstream: dict[str, float] = msgspec.field(default_factory=dict)

    def is_due(self, upstream: str, pace: float, now: float) -> bool:
        """Return whether a request may go to a cold upstream now."""
        if not self.fleet_share or not self.allowance.max_per_second(pace):
            return False
        interval, burst = self._interval_and_burst(pace)
        next_grant = self._next_grant_by_upstream.get(upstream)
        if next_grant is None and self.fleet_share < 1:
            # Other sides of a cut may have begun with a request of their own just now.
            next_grant = self._next_grant_by_upstream[upstream] = now + interval
        return next_grant is None or next_grant - (burst - 1) * interval <= now

    def record_grant(self, upstream: str, pace: float, now: float) -> None:
        """Note that a request was granted to a cold upstream."""
        interval, _ = self._interval_and_burst(pace)
        next_grant = self._next_grant_by_upstream.get(upstream, now)
        self._next_grant_by_upstream[upstream] = max(next_grant, now) + interval

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is warm, or gone."""
        self._next_grant_by_upstream.pop(upstream, None)

    def _interval_and_burst(self, pace: float) -> tuple[float, int]:
        """Return the seconds from one turn to the next, and how many may go at once.

        In any one second no more go than the burst and the turns of that second.
        """
        own_rate = self.allowance.max_per_second(pace) / CONCURRENT_OWNERS * self.fleet_share
        burst = BURST if self.fleet_share == 1 and own_rate >= 2 * BURST else 1
        steady_rate = max(own_rate - burst, own_rate / 2)
        return 1.0 / steady_rate, burst
