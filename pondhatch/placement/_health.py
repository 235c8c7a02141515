"""Which owned upstreams are down or ailing, by what became of the requests sent there.

An upstream that failed several times in a row gets nothing for a while, then one
request to try it. One that answers too many requests with failures of its own, though
it takes them all, is passed over for a while and then judged anew: its health check may
go on saying that it is well. Going past either sends nothing, so it costs no retry.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

#: Failures in a row after which an upstream is taken for down.
FAILURES_UNTIL_DOWN = 3
#: Seconds for which it gets nothing, first and at most; doubled with each failed try.
FIRST_PAUSE = 1.0
LONGEST_PAUSE = 15.0
#: The longest where load is managed: while callers are refused for lack of capacity, an engine that
#: has recovered and gets nothing costs more than the one request in two seconds that tries it.
MANAGED_PAUSE = 2.0
#: Weight of one answer in the share of an upstream's answers that were failures of its
#: own: some ten answers decide.
ERROR_WEIGHT = 0.1
#: Share from which an upstream is ailing. Some failures follow the request wherever it
#: runs, so it stands well above their share.
AILING_ERROR_RATE = 0.35
#: Share below which an upstream's failures are forgotten.
HEALTHY_ERROR_RATE = 0.01
#: Seconds for which an ailing one is passed over, first and at most; doubled each time.
FIRST_AILING_PAUSE = 2.0
LONGEST_AILING_PAUSE = 8.0


class UpstreamHealth(msgspec.Struct, frozen=True):
    """What is known of one upstream."""

    #: Requests in a row that were lost there or could not reach it.
    consecutive_failures: int = 0
    #: Until when it gets nothing, in the clock's seconds.
    down_until: float = float("-inf")
    #: Seconds for which it gets nothing when it goes down or its try fails.
    pause: float = FIRST_PAUSE
    #: Whether one request was let through to try it after a pause.
    is_probing: bool = False
    #: Share of its latest answers that were failures of its own, later ones weighing more.
    error_rate: float = 0.0
    #: Until when it is passed over where another can take the request.
    ailing_until: float = float("-inf")
    #: Seconds for which it is passed over when it is next found ailing.
    ailing_pause: float = FIRST_AILING_PAUSE

    @property
    def is_marked_down(self) -> bool:
        """Whether it failed that often in a row; it stays so while one request tries it."""
        return self.consecutive_failures >= FAILURES_UNTIL_DOWN

    def is_ailing(self, now: float) -> bool:
        """Return whether it should get only what no other can take."""
        return now < self.ailing_until


class Health(msgspec.Struct):
    """Health by upstream; one that is well is not listed."""

    health_by_upstream: dict[str, UpstreamHealth] = msgspec.field(default_factory=dict)

    def is_down(self, upstream: str, now: float) -> bool:
        """Return whether to pass an upstream over; the first to come after a pause tries it."""
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
        """Return whether an upstream should get only what no other can take."""
        known = self.health_by_upstream.get(upstream)
        return known is not None and known.is_ailing(now)

    def states(self, now: float) -> dict[str, str]:
        """Return "down" or "ailing" for each upstream that is so."""
        return {
            name: "down" if known.is_marked_down else "ailing"
            for name, known in self.health_by_upstream.items()
            if known.is_marked_down or known.is_ailing(now)
        }

    def record_failure(
        self, upstream: str, now: float, longest_pause: float = LONGEST_PAUSE
    ) -> None:
        """Note that a request was lost there or could not reach it."""
        known = self._health_of(upstream)
        failed = replace(known, consecutive_failures=known.consecutive_failures + 1)
        if known.is_probing:
            pause = min(longest_pause, known.pause * 2)
            failed = replace(failed, down_until=now + pause, pause=pause, is_probing=False)
        elif failed.consecutive_failures == FAILURES_UNTIL_DOWN:
            failed = replace(failed, down_until=now + known.pause)
        # Else it is not down yet, or the request was under way when it went down: what is
        # lost with an upstream at once says no more than the first.
        self.health_by_upstream[upstream] = failed

    def record_answer(self, upstream: str) -> None:
        """Note that a request was answered there."""
        known = self.health_by_upstream.get(upstream)
        if known is None:
            return
        error_rate = known.error_rate * (1 - ERROR_WEIGHT)
        if error_rate < HEALTHY_ERROR_RATE:
            del self.health_by_upstream[upstream]
            return
        self.health_by_upstream[upstream] = replace(_marked_up(known), error_rate=error_rate)

    def record_error(self, upstream: str, now: float) -> None:
        """Note that an upstream answered a request with a failure of its own."""
        known = _marked_up(self._health_of(upstream))
        error_rate = known.error_rate + (1 - known.error_rate) * ERROR_WEIGHT
        if error_rate < AILING_ERROR_RATE or known.is_ailing(now):
            self.health_by_upstream[upstream] = replace(known, error_rate=error_rate)
            return
        self.health_by_upstream[upstream] = _marked_ailing(known, now)

    def record_leaving(self, upstream: str, now: float) -> None:
        """Note that an upstream refused a request since it is about to end.

        The platform's list says so too, but later. It may be mistaken, so it is passed over
        like an ailing one, and asked where no other takes the request.
        """
        known = self._health_of(upstream)
        if not known.is_ailing(now):
            self.health_by_upstream[upstream] = _marked_ailing(known, now)

    def _health_of(self, upstream: str) -> UpstreamHealth:
        return self.health_by_upstream.get(upstream, UpstreamHealth())


def _marked_ailing(known: UpstreamHealth, now: float) -> UpstreamHealth:
    """Return what is known of an upstream that is passed over from now on."""
    return replace(
        known,
        # Judged anew after that: neither well by default nor ailing at once.
        error_rate=AILING_ERROR_RATE / 2,
        ailing_until=now + known.ailing_pause,
        ailing_pause=min(LONGEST_AILING_PAUSE, known.ailing_pause * 2),
    )


def _marked_up(known: UpstreamHealth) -> UpstreamHealth:
    """Return what is known of an upstream that answered: it is not down."""
    return replace(
        known, consecutive_failures=0, down_until=float("-inf"), pause=FIRST_PAUSE, is_probing=False
    )
