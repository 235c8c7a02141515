"""Admission control at an engine's owner, by exact counts of the requests in flight.

Every request to an engine is granted by its owner, so the owner's count is exact except for
requests that an earlier owner granted and that still run there. The engine's own load report
covers those, with some delay.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from pondhatch.placement._ceiling import admission_ceiling
from pondhatch.placement._engine_paces import USUAL_PACE

#: Seconds after which a load report is too old to be used.
REPORT_LIFETIME = 5.0
#: Seconds for which an engine that refused a request as full is limited to its load of that
#: time: half of the default time for which a request waits in a queue, so that the limit ends
#: while it waits. Each grant too many after that costs one retry of the budget.
FULL_LIFETIME = 1.0
#: Slots of an engine whose service sets no limit.
UNLIMITED_SLOTS = 1_000_000


class Granted(msgspec.Struct, frozen=True):
    """The request may be sent to the engine; release the grant when the request ends."""

    #: Requests in flight after the grant.
    in_flight: int
    #: The ceiling at the time of the grant.
    ceiling: int


class Full(msgspec.Struct, frozen=True):
    """The request was not granted: the engine is at its ceiling, cold, or lacks memory."""

    in_flight: int
    ceiling: int
    #: Whether it has free slots, but is cold and its rate limit allows no request now.
    is_cold: bool = False
    #: Predicted wait for a slot, and the delay after which a retry is useful, in milliseconds; 0
    #: where they are not estimated.
    predicted_ms: int = 0
    retry_after_ms: int = 0
    #: Tokens that must come free in the engine's memory before it can take this request; it may
    #: take a smaller one at once. 0 where memory is not the reason.
    short_tokens: int = 0


GateDecision = Granted | Full


class EngineCount(msgspec.Struct, frozen=True):
    """An owner's counts for one engine."""

    #: Requests granted here that have not ended.
    granted: int = 0
    #: Requests that the engine last reported as running or waiting.
    reported: int = 0
    #: Maximum of ``granted`` between the last two reports.
    previous_peak: int = 0
    #: Maximum of ``granted`` since the last report.
    peak: int = 0
    #: When the last report came, in the clock's seconds.
    reported_at: float = float("-inf")
    #: Maximum number of requests after the engine refused one as full, and until when this limit
    #: applies, in the clock's seconds.
    full_limit: int = UNLIMITED_SLOTS
    full_until: float = float("-inf")

    def in_flight(self, now: float) -> int:
        """Return the requests granted here, plus those of other owners by the last report."""
        if now - self.reported_at > REPORT_LIFETIME:
            return self.granted
        return self.granted + self.granted_elsewhere

    def limit(self, now: float) -> int:
        """Return the limit that follows from the engine's last refusal as full."""
        return self.full_limit if now < self.full_until else UNLIMITED_SLOTS

    @property
    def granted_elsewhere(self) -> int:
        """Return the reported requests that were not granted here.

        A late report may still count requests granted here that have ended, hence the peaks.
        """
        return max(0, self.reported - max(self.peak, self.previous_peak))


class Gate(msgspec.Struct):
    """Grants and refuses requests for the engines that this router owns."""

    by_engine: dict[str, EngineCount] = msgspec.field(default_factory=dict)

    def in_flight(self, engine: str, now: float) -> int:
        """Return the requests in flight at an engine, as known here."""
        return self.by_engine.get(engine, EngineCount()).in_flight(now)

    def try_grant(
        self,
        engine: str,
        now: float,
        load_bound: float,
        in_flight_elsewhere: int,
        engines: int,
        slots: int = UNLIMITED_SLOTS,
        slack: int = 0,
        pace: int = USUAL_PACE,
    ) -> GateDecision:
        """Grant or refuse one request.

        ``load_bound`` is the multiple of the service's mean load that an engine may hold;
        ``in_flight_elsewhere`` is the last known total of requests in flight at the service's
        other engines; ``engines`` counts the service's engines, this one included; ``slots`` is
        the limit of one engine whatever the mean, ``slack`` the number of requests allowed above
        the multiple of the mean; ``pace`` is the engine's processing time in percent of usual. A
        slow engine has a lower ceiling, but of at least one request, whose answer shows when it
        is fast again; a fast engine has no higher ceiling.
        """
        count = self.by_engine.get(engine, EngineCount())
        in_flight = count.in_flight(now)
        bounded = admission_ceiling(load_bound, in_flight_elsewhere + in_flight, engines) + slack
        ceiling = min(slots, bounded, count.limit(now))
        if pace > USUAL_PACE:
            ceiling = max(1, ceiling * USUAL_PACE // pace)
        if in_flight + 1 > ceiling:
            return Full(in_flight, ceiling)
        return self._grant(engine, count, in_flight, ceiling)

    def _grant(self, engine: str, count: EngineCount, in_flight: int, ceiling: int) -> Granted:
        granted = count.granted + 1
        self.by_engine[engine] = replace(count, granted=granted, peak=max(count.peak, granted))
        return Granted(in_flight + 1, ceiling)

    def adopt(self, engine: str) -> None:
        """Count a request that another owner granted; it runs whatever the ceiling."""
        count = self.by_engine.get(engine, EngineCount())
        self._grant(engine, count, 0, 0)

    def release(self, engine: str) -> None:
        """Release one grant, whose request has ended in whatever way.

        Raises ValueError if the engine has no grant.
        """
        count = self.by_engine[engine]
        if count.granted < 1:
            raise ValueError(f"{engine} holds no grant to release")
        self.by_engine[engine] = replace(count, granted=count.granted - 1)

    def record_engine_full(self, engine: str, now: float) -> None:
        """Record that an engine refused a request as full; its grant is still counted.

        For ``FULL_LIFETIME`` the engine is limited to the other requests that it holds now,
        whatever its configured slots. The next request then goes to an engine with a free slot
        or waits for one here, instead of being refused in the same way. The limit is at least
        one, so that a request can find out whether the engine is still full.
        """
        count = self.by_engine.get(engine, EngineCount())
        others = count.in_flight(now) - 1
        self.by_engine[engine] = replace(
            count, full_limit=max(1, others), full_until=now + FULL_LIFETIME
        )

    def record_rest(self, engine: str, now: float, seconds: float) -> None:
        """Record that an engine refused a request and asked for no requests for some seconds.

        Until ``FULL_LIFETIME`` after that time the engine is limited to the requests that it held
        when it asked, so that the requests that waited are not all sent to it at the same time.
        """
        count = self.by_engine.get(engine, EngineCount())
        others = count.in_flight(now) - 1
        self.by_engine[engine] = replace(
            count, full_limit=max(1, others), full_until=now + seconds + FULL_LIFETIME
        )

    def record_report(self, engine: str, now: float, load: int) -> None:
        """Record an engine's own report of its running and waiting requests."""
        count = self.by_engine.get(engine, EngineCount())
        self.by_engine[engine] = replace(
            count, reported=load, reported_at=now, previous_peak=count.peak, peak=count.granted
        )

    def total(self, engines: tuple[str, ...], now: float) -> int:
        """Return the sum of the requests in flight at some engines."""
        return sum(self.in_flight(engine, now) for engine in engines)
