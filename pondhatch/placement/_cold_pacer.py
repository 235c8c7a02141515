"""Rate limit for requests to a cold upstream, shared by all routers that may grant them.

A cold upstream fails when it gets requests well above its cold pace (requests per second), no
matter which routers sent them. Only its owner grants requests, but two routers may both believe
that they are the owner for a while: after a network partition, after a restart, or before a change
of the owner has spread. So each router uses at most half of what the upstream can take, and a
router that sees only a part of the fleet uses only that part of its half. All sides of a partition
together then stay within the limit.
"""

from __future__ import annotations

import msgspec

#: Maximum number of routers on one side of a partition that believe at the same time that they are
#: an upstream's owner: the old and the new owner, until both have learned of the change.
CONCURRENT_OWNERS = 2
#: Requests that may be granted at once for an idle upstream, so that two requests that a caller
#: sends together need not wait for each other.
BURST = 2


class ColdAllowance(msgspec.Struct, frozen=True):
    """How far the requests of any one second may exceed an upstream's cold pace."""

    #: Multiple of the cold pace.
    overshoot: float = 1.0
    #: Requests on top of that multiple.
    slack: float = 0.0

    def max_per_second(self, cold_pace: float) -> float:
        """Return the maximum number of requests to one upstream in any one second."""
        return cold_pace * self.overshoot + self.slack


class ColdPacer(msgspec.Struct):
    """One router's rate limiter for cold upstreams.

    It keeps a virtual schedule (GCRA): each granted request moves the time of the upstream's next
    grant on by one interval, and a request may be granted up to ``BURST`` - 1 intervals early.
    """

    allowance: ColdAllowance = msgspec.field(default_factory=ColdAllowance)
    #: Live routers that this router sees, as a share of those that it saw lately, 0 to 1; 0 until
    #: it knows its peers.
    fleet_share: float = 0.0
    #: Scheduled time of the next grant for each cold upstream, in the clock's seconds.
    _next_grant_by_upstream: dict[str, float] = msgspec.field(default_factory=dict)

    def is_due(self, upstream: str, cold_pace: float, now: float) -> bool:
        """Return whether a request may be granted for a cold upstream now."""
        if not self.fleet_share or not self.allowance.max_per_second(cold_pace):
            return False
        interval, burst = self._interval_and_burst(cold_pace)
        next_grant = self._next_grant_by_upstream.get(upstream)
        if next_grant is None and self.fleet_share < 1:
            # Routers on other sides of a partition may just have granted their first request.
            next_grant = self._next_grant_by_upstream[upstream] = now + interval
        return next_grant is None or next_grant - (burst - 1) * interval <= now

    def record_grant(self, upstream: str, cold_pace: float, now: float) -> None:
        """Record that a request was granted for a cold upstream."""
        interval, _ = self._interval_and_burst(cold_pace)
        next_grant = self._next_grant_by_upstream.get(upstream, now)
        self._next_grant_by_upstream[upstream] = max(next_grant, now) + interval

    def forget(self, upstream: str) -> None:
        """Forget an upstream that is warm or gone."""
        self._next_grant_by_upstream.pop(upstream, None)

    def _interval_and_burst(self, cold_pace: float) -> tuple[float, int]:
        """Return the seconds between two scheduled grants, and the size of a burst.

        Any one second has at most the burst and the grants scheduled in that second.
        """
        own_rate = self.allowance.max_per_second(cold_pace) / CONCURRENT_OWNERS * self.fleet_share
        burst = BURST if self.fleet_share == 1 and own_rate >= 2 * BURST else 1
        steady_rate = max(own_rate - burst, own_rate / 2)
        return 1.0 / steady_rate, burst
