"""The gate of an engine's owner: exact counts of the work in flight.

Every request to an engine passes its owner, so the owner's count is exact but
for work that an earlier owner still has running there; the engine's own load
report, late as it is, covers that.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from pondhatch.placement._ceiling import admission_ceiling
from pondhatch.placement._engine_paces import USUAL_PACE

#: Seconds after which a load report says nothing about the present.
REPORT_LIFETIME = 5.0
#: Seconds for which an engine's word that it is full bounds what it is granted: half of the
#: time for which a request waits in a line by default, so that one that waits there sees the
#: bound go. By judgement; each grant too many after it costs one retry of the budget.
FULL_LIFETIME = 1.0
#: Stands for an engine whose service sets no limit of its own.
UNLIMITED_SLOTS = 1_000_000


class Granted(msgspec.Struct, frozen=True):
    """The engine may be sent the request; release the grant when it ends."""

    #: Requests in flight after the grant.
    in_flight: int
    #: The ceiling that was held against.
    ceiling: int


class Full(msgspec.Struct, frozen=True):
    """The engine is at its ceiling; nothing was sent."""

    in_flight: int
    ceiling: int
    #: Whether it has places, but is cold, and is to get nothing more for a moment.
    is_cold: bool = False
    #: Milliseconds that the request would wait for a slot, and after which it is worth coming
    #: back; 0 where they are not estimated.
    predicted_ms: int = 0
    retry_after_ms: int = 0
    #: Tokens that must come free in its memory before it takes this request; it may take a
    #: smaller one at once. 0 where its memory is not the reason.
    short_tokens: int = 0


GateDecision = Granted | Full


class EngineCount(msgspec.Struct, frozen=True):
    """What an owner knows of one engine's load."""

    #: Requests granted here and not yet ended.
    granted: int = 0
    #: Requests that the engine last reported as running or waiting.
    reported: int = 0
    #: Most requests granted at once since the report before the last.
    previous_peak: int = 0
    #: Most requests granted at once since the last report.
    peak: int = 0
    #: When the report was taken, in the clock's seconds.
    reported_at: float = float("-inf")
    #: Requests that it holds at most by its own word, and until when that word counts.
    full_limit: int = UNLIMITED_SLOTS
    full_until: float = float("-inf")

    def in_flight(self, now: float) -> int:
        """Return our grants, plus what the last report showed of others' work."""
        if now - self.reported_at > REPORT_LIFETIME:
            return self.granted
        return self.granted + self.granted_elsewhere

    def limit(self, now: float) -> int:
        """Return the most requests that it takes, as it showed by refusing one."""
        return self.full_limit if now < self.full_until else UNLIMITED_SLOTS

    @property
    def granted_elsewhere(self) -> int:
        """Return reported work that cannot be ours: a late report counts ended work of ours."""
        return max(0, self.reported - max(self.peak, self.previous_peak))


class Gate(msgspec.Struct):
    """Counts by engine for the engines that this router owns."""

    by_engine: dict[str, EngineCount] = msgspec.field(default_factory=dict)

    def in_flight(self, engine: str, now: float) -> int:
        """Return the requests in flight at an engine as known here."""
        return self.by_engine.get(engine, EngineCount()).in_flight(now)

    def try_grant(
        self,
        engine: str,
        now: float,
        load_bound: float,
        elsewhere: int,
        engines: int,
        slots: int = UNLIMITED_SLOTS,
        slack: int = 0,
        pace: int = USUAL_PACE,
    ) -> GateDecision:
        """Grant or refuse one request.

        ``others`` is the in-flight total of the service's other engines, as
        heard; ``engines`` counts the service's engines, this one included;
        ``slots`` is what one engine can take whatever the mean, ``slack`` what it
        may hold above the multiple of the mean; ``pace`` is its processing time in
        percent of usual. A slow one gets less, but one request at least, which shows
        when it is fast again; a fast one gets no more.
        """
        count = self.by_engine.get(engine, EngineCount())
        in_flight = count.in_flight(now)
        bounded = admission_ceiling(load_bound, elsewhere + in_flight, engines) + slack
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
        """Count a request that another owner granted; it runs, whatever the ceiling."""
        count = self.by_engine.get(engine, EngineCount())
        self._grant(engine, count, 0, 0)

    def release(self, engine: str) -> None:
        """Take back one grant, when its request has ended in whatever way."""
        count = self.by_engine[engine]
        if count.granted < 1:
            raise ValueError(f"{engine} holds no grant to release")
        self.by_engine[engine] = replace(count, granted=count.granted - 1)

    def record_engine_full(self, engine: str, now: float) -> None:
        """Note that an engine refused a request as full; its grant is still counted.

        So it takes no more than the others that it holds now, whatever was believed of its
        slots: the next request goes where there is a place, or waits for one here, instead of
        being sent into the same refusal. One request is always let through, to see whether
        the word still holds.
        """
        count = self.by_engine.get(engine, EngineCount())
        others = count.in_flight(now) - 1
        self.by_engine[engine] = replace(
            count, full_limit=max(1, others), full_until=now + FULL_LIFETIME
        )

    def record_rest(self, engine: str, now: float, seconds: float) -> None:
        """Note that an engine turned a request away and wants nothing for some seconds.

        What comes right after them is held to what it held when it asked, so that not all who
        waited for their end go there at once.
        """
        count = self.by_engine.get(engine, EngineCount())
        others = count.in_flight(now) - 1
        self.by_engine[engine] = replace(
            count, full_limit=max(1, others), full_until=now + seconds + FULL_LIFETIME
        )

    def record_report(self, engine: str, now: float, load: int) -> None:
        """Take in the engine's own report of its running and waiting requests."""
        count = self.by_engine.get(engine, EngineCount())
        self.by_engine[engine] = replace(
            count, reported=load, reported_at=now, previous_peak=count.peak, peak=count.granted
        )

    def total(self, engines: tuple[str, ...], now: float) -> int:
        """Return the requests in flight at the named engines together."""
        return sum(self.in_flight(engine, now) for engine in engines)
