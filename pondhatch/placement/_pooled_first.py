"""Which engines of a request's order are asked first because a connection to them is kept.

For requests that no context binds to an engine. Asked so, a router talks to fewer engines, each
more often, and its connections last. No engine comes first that is known to hold more than the
others: a connection costs a round trip, a place in a longer queue much more.
"""

from __future__ import annotations

import math
from collections.abc import Container, Sequence

import msgspec

#: Engines of an order among which those with a connection come first: of four drawn by the
#: request's hash one is likely to have one, and most of the spread over all engines is kept.
CANDIDATES = 4
#: Seconds for which a load that an engine's owner spoke of counts as known: shorter than most
#: runs at model engines, and as old as the totals that routers tell each other.
LOAD_LIFETIME = 1.0


class RecentLoads(msgspec.Struct):
    """Loads of engines in their owners' latest replies."""

    #: Each with when it was heard, in the clock's seconds, the oldest first.
    _load_by_engine: dict[str, tuple[int, float]] = msgspec.field(default_factory=dict)

    def record(self, engine: str, in_flight: int, now: float) -> None:
        """Take in a load; forget those that are too old."""
        load_by_engine = self._load_by_engine
        load_by_engine.pop(engine, None)
        load_by_engine[engine] = (in_flight, now)
        while now - load_by_engine[oldest := next(iter(load_by_engine))][1] > LOAD_LIFETIME:
            del load_by_engine[oldest]

    def load_of(self, engine: str, now: float) -> int | None:
        """Return an engine's load, None where it is not known."""
        found = self._load_by_engine.get(engine)
        return found[0] if found is not None and now - found[1] <= LOAD_LIFETIME else None


def pooled_first(
    engines: Sequence[str], pooled: Container[str], loads: Sequence[int | None], mean: float
) -> tuple[str, ...]:
    """Return the engines that are asked before the others, in the order given.

    ``loads`` are those known of the engines, None for one that is not; ``mean`` is the service's.
    """
    max_load = min((each for each in loads if each is not None), default=math.ceil(mean))
    max_load = min(max_load, math.ceil(mean))
    return tuple(
        engine
        for engine, load in zip(engines, loads, strict=True)
        if engine in pooled and (load is None or load <= max_load)
    )
