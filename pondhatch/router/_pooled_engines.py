"""Preference for engines to which a router keeps idle connections."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from pondhatch.placement import CANDIDATES, Granted, RecentLoads, pooled_first
from pondhatch.requests import Busy, OwnerReply
from pondhatch.router._state import RouterState


class PooledEngines:
    """One router's preference for engines with a pooled connection; see EnginePreference."""

    def __init__(self, state: RouterState, is_pooled: Callable[[str], bool]) -> None:
        self._state = state
        #: Returns whether the pool holds a connection to an upstream's URL.
        self._is_pooled = is_pooled
        self._loads = RecentLoads()

    def preferred(self, service: str, order: Sequence[str]) -> tuple[str, ...]:
        """Return the engines of an order that are to be asked first; see EnginePreference."""
        if not self._state.is_load_managed():
            return ()
        engines = order[:CANDIDATES]
        pooled = {name for name in engines if self._has_connection(name)}
        if not pooled:
            return ()
        loads = [self._load(name) for name in engines]
        if not any(loads):
            # No known load is above 0, so none is above the mean.
            return tuple(name for name in engines if name in pooled)
        return pooled_first(engines, pooled, loads, self._state.mean_load(service))

    def note_reply(self, engine: str, reply: OwnerReply) -> None:
        """Record the load in an owner's reply; see EnginePreference."""
        if not isinstance(reply, Granted | Busy) or not self._state.is_load_managed():
            return
        # The load in a grant includes the request that it was given to.
        others = reply.in_flight - isinstance(reply, Granted)
        self._loads.record(engine, others, self._state.clock())

    def _has_connection(self, engine: str) -> bool:
        upstream = self._state.upstreams.upstream(engine)
        return upstream is not None and self._is_pooled(upstream.url)

    def _load(self, engine: str) -> int | None:
        """Return an engine's load: exact where this router owns it, else the last known one."""
        now = self._state.clock()
        if self._state.owner_name(engine) == self._state.name:
            return self._state.gate.in_flight(engine, now)
        return self._loads.load_of(engine, now)
