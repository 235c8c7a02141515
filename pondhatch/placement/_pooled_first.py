"""Which engines of a request's order are asked first because a connection to them is open.

For requests whose context is at no engine. A router then uses fewer engines, each more often, and
its connections stay in use. An engine that is known to hold more requests than the others does not
come first: a new connection costs one round trip, a place in a longer queue much more.
"""

from __future__ import annotations

import math
from collections.abc import Container, Sequence

import msgspec

#: First engines of an order among which those with an open connection are preferred: of four
#: drawn by the request's hash one probably has one, and the load still spreads over all engines.
CANDIDATES = 4
#: Seconds for which a load from an owner's reply is used: shorter than most runs at model
#: engines, and as old as the totals that routers gossip.
LOAD_LIFETIME = 1.0


class RecentLoads(msgspec.Struct):
    """Loads of engines from their owners' latest replies."""

    #: Load and time of the reply in the clock's seconds, by engine; the oldest first.
    _load_by_engine: dict[str, tuple[int, float]] = msgspec.field(default_factory=dict)

    def record(self, engine: str, in_flight: int, now: float) -> None:
        """Record a load and drop expired ones."""
        load_by_engine = self._load_by_engine
        load_by_engine.pop(engine, None)
        load_by_engine[engine] = (in_flight, now)
        while now - load_by_engine[oldest := next(iter(load_by_engine))][1] > LOAD_LIFETIME:
            del load_by_engine[oldest]

    def load_of(self, engine: str, now: float) -> int | None:
        """Return an engine's load, None where none is known or it has expired."""
        found = self._load_by_engine.get(engine)
        return found[0] if found is not None and now - found[1] <= LOAD_LIFETIME else None


def pooled_first(
    engines: Sequence[str], pooled: Container[str], loads: Sequence[int | None], mean: float
) -> tuple[str, ...]:
    """Return the engines to ask before the others, in the order given.

    ``pooled`` are the engines with an open connection, ``loads`` the known loads of ``engines``,
    None for unknown; ``mean`` is the mean load of the service's engines.
    """
    max_load = min((each for each in loads if each is not None), default=math.ceil(mean))
    max_load = min(max_load, math.ceil(mean))
    return tuple(
        engine
        for engine, load in zip(engines, loads, strict=True)
        if engine in pooled and (load is None or load <= max_load)
    )
