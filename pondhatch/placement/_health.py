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
FAILURES = 3
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
AILING_SHARE = 0.35
#: Share below which an upstream's failures are forgotten.
WELL_SHARE = 0.01
#: Seconds for which an ailing one is passed over, first and at most; doubled each time.
FIRST_PASSED_OVER = 2.0
LONGEST_PASSED_OVER = 8.0


class UpstreamHealth(msgspec.Struct, frozen=True):
    """What is known of one upstream."""

    #: Requests in a row that were lost there or could not reach it.
    failures: int = 0
    #: Until when it gets nothing, in the clock's seconds.
    down_until: float = float("-inf")
    #: Seconds for which it gets nothing when it goes down or its try fails.
    pause: float = FIRST_PAUSE
    #: Whether one request was let through to try it after a pause.
    tried: bool = False
    #: Share of its latest answers that were failures of its own, later ones weighing more.
    errors: float = 0.0
    #: Until when it is passed over where another can take the request.
    ailing_until: float = float("-inf")
    #: Seconds for which it is passed over when it is next found ailing.
    passed_over: float = FIRST_PASSED_OVER

    @property
    def is_taken_for_down(self) -> bool:
        """Whether it failed that often in a row; it stays so while one request tries it."""
        return self.failures >= FAILURES

    def is_ailing(self, now: float) -> bool:
        """Return whether it should get only what no other can take."""
        return now < self.ailing_until


class Health(msgspec.Struct):
    """Health by upstream; one that is well is not listed."""

    health_by_upstream: dict[str, UpstreamHealth] = msgspec.field(default_factory=dict)

    def is_down(self, upstream: str, now: float) -> bool:
        """Return whether to pass an upstream over; the first to come after a pause tries it."""
        known = self.health_by_upstream.get(upstream)
        if known is None or not known.is_taken_for_down:
            return False
        if now < known.down_until:
            return True
        self.health_by_upstream[upstream] = replace(known, down_until=now + known.pause, tried=True)
        return False

    def is_ailing(self, upstream: str, now: float) -> bool:
        """Return whether an upstream should get only what no other can take."""
        known = self.health_by_upstream.get(upstream)
        return known is not None and known.is_ailing(now)

    def states(self, now: float) -> dict[str, str]:
        """Return "down" or "ailing" for each upstream that is so."""
        return {
            name: "down" if known.is_taken_for_down else "ailing"
            for name, known in self.health_by_upstream.items()
            if known.is_taken_for_down or known.is_ailing(now)
        }

    def failed(self, upstream: str, now: float, longest_pause: float = LONGEST_PAUSE) -> None:
        """Note that a request was lost there or could not reach it."""
        known = self._known(upstream)
        failed = replace(known, failures=known.failures + 1)
        if known.tried:
            pause = min(longest_pause, known.pause * 2)
            failed = replace(failed, down_until=now + pause, pause=pause, tried=False)
        elif failed.failures == FAILURES:
            failed = replace(failed, down_until=now + known.pause)
        # Else it is not down yet, or the request was under way when it went down: what is
        # lost with an upstream at once says no more than the first.
        self.health_by_upstream[upstream] = failed

    def answered(self, upstream: str) -> None:
        """Note that a request was answered there."""
        known = self.health_by_upstream.get(upstream)
        if known is None:
            return
        errors = known.errors * (1 - ERROR_WEIGHT)
        if errors < WELL_SHARE:
            del self.health_by_upstream[upstream]
            return
        self.health_by_upstream[upstream] = replace(_reached(known), errors=errors)

    def erred(self, upstream: str, now: float) -> None:
        """Note that an upstream answered a request with a failure of its own."""
        known = _reached(self._known(upstream))
        errors = known.errors + (1 - known.errors) * ERROR_WEIGHT
        if errors < AILING_SHARE or known.is_ailing(now):
            self.health_by_upstream[upstream] = replace(known, errors=errors)
            return
        self.health_by_upstream[upstream] = _passed_over(known, now)

    def leaving(self, upstream: str, now: float) -> None:
        """Note that an upstream refused a request since it is about to end.

        The platform's list says so too, but later. It may be mistaken, so it is passed over
        like an ailing one, and asked where no other takes the request.
        """
        known = self._known(upstream)
        if not known.is_ailing(now):
            self.health_by_upstream[upstream] = _passed_over(known, now)

    def _known(self, upstream: str) -> UpstreamHealth:
        return self.health_by_upstream.get(upstream, UpstreamHealth())


def _passed_over(known: UpstreamHealth, now: float) -> UpstreamHealth:
    """Return what is known of an upstream that is passed over from now on."""
    return replace(
        known,
        # Judged anew after that: neither well by default nor ailing at once.
        errors=AILING_SHARE / 2,
        ailing_until=now + known.passed_over,
        passed_over=min(LONGEST_PASSED_OVER, known.passed_over * 2),
    )


def _reached(known: UpstreamHealth) -> UpstreamHealth:
    """Return what is known of an upstream that answered: it is not down."""
    return replace(known, failures=0, down_until=float("-inf"), pause=FIRST_PAUSE, tried=False)
