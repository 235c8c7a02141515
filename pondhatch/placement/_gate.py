"""The gate of an engine's owner: exact counts of the work in flight.

Every request to an engine passes its owner, so the owner's count is exact but
for work that an earlier owner still has running there; the engine's own load
report, late as it is, covers that.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from pondhatch.placement._ceiling import admission_ceiling

#: Seconds after which a load report says nothing about the present.
REPORT_LIFETIME = 5.0
#: Stands for an engine whose service sets no limit of its own.
UNLIMITED_SLOTS = 1_000_000


@dataclass(frozen=True)
class Granted:
    """The engine may be sent the request; release the grant when it ends."""

    #: Requests in flight after the grant.
    in_flight: int
    #: The ceiling that was held against.
    ceiling: int


@dataclass(frozen=True)
class Full:
    """The engine is at its ceiling; nothing was sent."""

    in_flight: int
    ceiling: int


Verdict = Granted | Full


@dataclass(frozen=True)
class EngineCount:
    """What an owner knows of one engine's load."""

    #: Requests granted here and not yet ended.
    granted: int = 0
    #: Requests that the engine last reported as running or waiting.
    reported: int = 0
    #: Most requests granted at once since the report before the last.
    peak_before: int = 0
    #: Most requests granted at once since the last report.
    peak: int = 0
    #: When the report was taken, in the clock's seconds.
    reported_at: float = float("-inf")

    def in_flight(self, now: float) -> int:
        """Return our grants, plus what the last report showed of others' work."""
        if now - self.reported_at > REPORT_LIFETIME:
            return self.granted
        return self.granted + self.foreign

    @property
    def foreign(self) -> int:
        """Return reported work that cannot be ours: a late report counts ended work of ours."""
        return max(0, self.reported - max(self.peak, self.peak_before))


@dataclass
class Gate:
    """Counts by engine for the engines that this router owns."""

    by_engine: dict[str, EngineCount] = field(default_factory=dict)

    def in_flight(self, engine: str, now: float) -> int:
        """Return the requests in flight at an engine as known here."""
        return self.by_engine.get(engine, EngineCount()).in_flight(now)

    def ask(
        self,
        engine: str,
        now: float,
        bound: float,
        others: int,
        engines: int,
        slots: int = UNLIMITED_SLOTS,
        slack: int = 0,
    ) -> Verdict:
        """Grant or refuse one request.

        ``others`` is the in-flight total of the service's other engines, as
        heard; ``engines`` counts the service's engines, this one included;
        ``slots`` is what one engine can take whatever the mean, ``slack`` what it
        may hold above the multiple of the mean.
        """
        count = self.by_engine.get(engine, EngineCount())
        held = count.in_flight(now)
        ceiling = min(slots, admission_ceiling(bound, others + held, engines) + slack)
        if held + 1 > ceiling:
            return Full(held, ceiling)
        return self._grant(engine, count, held, ceiling)

    def _grant(self, engine: str, count: EngineCount, held: int, ceiling: int) -> Granted:
        granted = count.granted + 1
        self.by_engine[engine] = replace(count, granted=granted, peak=max(count.peak, granted))
        return Granted(held + 1, ceiling)

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

    def report(self, engine: str, now: float, load: int) -> None:
        """Take in the engine's own report of its running and waiting requests."""
        count = self.by_engine.get(engine, EngineCount())
        self.by_engine[engine] = replace(
            count, reported=load, reported_at=now, peak_before=count.peak, peak=count.granted
        )

    def total(self, engines: tuple[str, ...], now: float) -> int:
        """Return the requests in flight at the named engines together."""
        return sum(self.in_flight(engine, now) for engine in engines)
