"""Which owned upstreams are down, by the requests that failed there.

An upstream that failed several times in a row gets nothing for a while, then one
request to try it. Going past it sends nothing, so it costs no retry.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

#: Failures in a row after which an upstream is taken for down.
FAILURES = 3
#: Seconds for which it gets nothing, first and at most; doubled with each failed try.
FIRST_PAUSE = 1.0
LONGEST_PAUSE = 15.0


@dataclass(frozen=True)
class UpstreamHealth:
    """What is known of one upstream."""

    failures: int = 0
    #: Until when it gets nothing, in the clock's seconds.
    down_until: float = float("-inf")
    pause: float = FIRST_PAUSE


@dataclass
class Health:
    """Failures in a row by upstream; one that is well is not listed."""

    health_by_upstream: dict[str, UpstreamHealth] = field(default_factory=dict)

    def is_down(self, upstream: str, now: float) -> bool:
        """Return whether to pass an upstream over; the first to come after a pause tries it."""
        known = self.health_by_upstream.get(upstream)
        if known is None or known.failures < FAILURES:
            return False
        if now < known.down_until:
            return True
        self.health_by_upstream[upstream] = replace(known, down_until=now + known.pause)
        return False

    def failed(self, upstream: str, now: float) -> None:
        """Note that a request was lost there or could not reach it."""
        known = self.health_by_upstream.get(upstream, UpstreamHealth())
        failures = known.failures + 1
        pause = min(LONGEST_PAUSE, known.pause * 2) if failures > FAILURES else known.pause
        down_until = now + pause if failures >= FAILURES else known.down_until
        self.health_by_upstream[upstream] = UpstreamHealth(failures, down_until, pause)

    def answered(self, upstream: str) -> None:
        """Note that a request was answered there."""
        self.health_by_upstream.pop(upstream, None)
