"""Passive health checks: which owned upstreams are down or ailing, by the results of requests.

An upstream is down after several failures in a row (requests lost or not connected): it gets no
requests for a pause, then a single one as a probe. An upstream is ailing when it answers too many
requests with errors of its own, while its own health check may still pass: it is avoided for a
pause and then assessed again. Skipping an upstream sends nothing, so it costs no retry.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

#: Failures in a row after which an upstream counts as down.
FAILURES_UNTIL_DOWN = 3
#: Initial and maximum number of seconds without requests for an upstream that is down; doubled
#: with each failed probe.
FIRST_PAUSE = 1.0
LONGEST_PAUSE = 15.0
#: Longest pause, in seconds, where load is managed: while callers are refused for lack of
#: capacity, leaving a recovered engine without requests costs more than a probe every two seconds.
MANAGED_PAUSE = 2.0
#: Weight of one answer in an upstream's error rate, a moving average over some ten answers.
ERROR_WEIGHT = 0.1
#: Error rate from which an upstream is ailing: well above the rate of the errors that are caused
#: by the requests themselves and occur at any upstream.
AILING_ERROR_RATE = 0.35
#: Error rate below which an upstream is healthy and its entry is dropped.
HEALTHY_ERROR_RATE = 0.01
#: Initial and maximum number of seconds for which an ailing upstream is avoided; doubled each time.
FIRST_AILING_PAUSE = 2.0
LONGEST_AILING_PAUSE = 8.0


class UpstreamHealth(msgspec.Struct, frozen=True):
    """Health of one upstream."""

    #: Requests in a row that were lost there or could not reach it.
    consecutive_failures: int = 0
    #: Until when it gets no requests, in the clock's seconds.
    down_until: float = float("-inf")
    #: Seconds of the next pause, when it goes down or a probe fails.
    pause: float = FIRST_PAUSE
    #: Whether a request was let through after a pause as a probe.
    is_probing: bool = False
    #: Moving average of the share of its answers that are errors of its own, 0 to 1.
    error_rate: float = 0.0
    #: Until when it is avoided where another can take the request, in the clock's seconds.
    ailing_until: float = float("-inf")
    #: Seconds for which it is avoided when it is next found ailing.
    ailing_pause: float = FIRST_AILING_PAUSE

    @property
    def is_marked_down(self) -> bool:
        """Whether it had enough failures in a row; still true while a probe runs."""
        return self.consecutive_failures >= FAILURES_UNTIL_DOWN

    def is_ailing(self, now: float) -> bool:
        """Return whether it should get only requests that no other upstream can take."""
        return now < self.ailing_until


class Health(msgspec.Struct):
    """Health by upstream; healthy ones are not listed."""

    health_by_upstream: dict[str, UpstreamHealth] = msgspec.field(default_factory=dict)

    def is_down(self, upstream: str, now: float) -> bool:
        """Return whether to skip an upstream that is down.

        The first call after a pause returns False and makes its request the probe.
        """
        known = self.health_by_upstream.get(upstream)
        if known is None or not known.is_marked_down:
            return False
        if now < known.down_until:
            return True
        self.health_by_upstream[upstream] = replace(
            known, down_until=now + known.pause, is_probing=True
        )
        return False

    def is_ailing(self, upstream: str, now: float) -> bool:
        """Return whether an upstream should get only requests that no other can take."""
        known = self.health_by_upstream.get(upstream)
        return known is not None and known.is_ailing(now)

    def states(self, now: float) -> dict[str, str]:
        """Return "down" or "ailing" for each upstream that is not healthy."""
        return {
            name: "down" if known.is_marked_down else "ailing"
            for name, known in self.health_by_upstream.items()
            if known.is_marked_down or known.is_ailing(now)
        }

    def record_failure(
        self, upstream: str, now: float, longest_pause: float = LONGEST_PAUSE
    ) -> None:
        """Record that a request was lost at an upstream or could not reach it."""
        known = self._health_of(upstream)
        failed = replace(known, consecutive_failures=known.consecutive_failures + 1)
        if known.is_probing:
            pause = min(longest_pause, known.pause * 2)
            failed = replace(failed, down_until=now + pause, pause=pause, is_probing=False)
        elif failed.consecutive_failures == FAILURES_UNTIL_DOWN:
            failed = replace(failed, down_until=now + known.pause)
        # Otherwise it is not down yet, or the request was already running when it went down:
        # requests lost together are no further evidence and do not lengthen the pause.
        self.health_by_upstream[upstream] = failed

    def record_answer(self, upstream: str) -> None:
        """Record that an upstream answered a request without an error of its own."""
        known = self.health_by_upstream.get(upstream)
        if known is None:
            return
        error_rate = known.error_rate * (1 - ERROR_WEIGHT)
        if error_rate < HEALTHY_ERROR_RATE:
            del self.health_by_upstream[upstream]
            return
        self.health_by_upstream[upstream] = replace(_marked_up(known), error_rate=error_rate)

    def record_error(self, upstream: str, now: float) -> None:
        """Record that an upstream answered a request with an error of its own."""
        known = _marked_up(self._health_of(upstream))
        error_rate = known.error_rate + (1 - known.error_rate) * ERROR_WEIGHT
        if error_rate < AILING_ERROR_RATE or known.is_ailing(now):
            self.health_by_upstream[upstream] = replace(known, error_rate=error_rate)
            return
        self.health_by_upstream[upstream] = _marked_ailing(known, now)

    def record_leaving(self, upstream: str, now: float) -> None:
        """Record that an upstream refused a request because it is about to shut down.

        The platform's list says so too, but later. The upstream may be mistaken, so it is treated
        like an ailing one and still asked where no other takes the request.
        """
        known = self._health_of(upstream)
        if not known.is_ailing(now):
            self.health_by_upstream[upstream] = _marked_ailing(known, now)

    def _health_of(self, upstream: str) -> UpstreamHealth:
        return self.health_by_upstream.get(upstream, UpstreamHealth())


def _marked_ailing(known: UpstreamHealth, now: float) -> UpstreamHealth:
    """Return the health of an upstream that is ailing from now on."""
    return replace(
        known,
        # Start between healthy and ailing, so that new answers decide after the pause.
        error_rate=AILING_ERROR_RATE / 2,
        ailing_until=now + known.ailing_pause,
        ailing_pause=min(LONGEST_AILING_PAUSE, known.ailing_pause * 2),
    )


def _marked_up(known: UpstreamHealth) -> UpstreamHealth:
    """Return the health of an upstream that answered and so is not down."""
    return replace(
        known, consecutive_failures=0, down_until=float("-inf"), pause=FIRST_PAUSE, is_probing=False
    )
