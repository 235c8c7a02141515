"""One router's paths to engines, and the other routers that may relay requests to them."""

from __future__ import annotations

from collections.abc import Iterator

from pondhatch.observing import Records, StateChange
from pondhatch.placement import (
    Reachability,
    Regions,
    RelayChoice,
    RelayRouter,
    is_region_allowed,
)
from pondhatch.requests import Target
from pondhatch.router._state import RouterState

#: The kind of object in records of reachability.
PATH_KIND = "path"


class RouterPaths:
    """Implements EnginePaths, PathObserver and RelayView for one router."""

    def __init__(self, state: RouterState, records: Records) -> None:
        self.reachability = Reachability()
        self._relay_choice = RelayChoice(state.name, state.hall)
        self._state = state
        self._records = records

    # -- paths of this router ---------------------------------------------

    def is_reachable(self, engine: str) -> bool:
        """Return whether connections to an engine open from here; see EnginePaths."""
        return self.reachability.is_reachable(engine)

    def is_doubtful(self) -> bool:
        """Return whether this router's paths may be at fault; see RelayView."""
        return self.reachability.is_doubtful()

    def start_recheck(self, engine: str) -> bool:
        """Return whether to try to open a connection now; see EnginePaths."""
        return self.reachability.start_recheck(engine, self._state.clock())

    def record_connection(self, engine: str) -> None:
        """Record that a connection to an engine opened; see PathObserver."""
        if self.reachability.record_connection(engine, self._state.clock()):
            self._records.write(StateChange(PATH_KIND, engine, "reachable", why="it accepts again"))

    def record_answer(self) -> None:
        """Record that some engine answered; see PathObserver."""
        self.reachability.record_answer(self._state.clock())

    def record_failure(self, engine: str) -> None:
        """Record that no connection to an engine opened; see PathObserver."""
        if self.reachability.record_failure(engine, self._state.clock()):
            why = "no connection opened"
            self._records.write(StateChange(PATH_KIND, engine, "unreachable", why=why))

    def connections_valid_since(self, engine: str) -> float:
        """Return when a usable idle connection last received bytes; see PathObserver."""
        return self.reachability.connections_valid_since(engine, self._state.clock())

    # -- relays -----------------------------------------------------------

    def is_alone(self) -> bool:
        """Return whether no other live router can relay; see EnginePaths."""
        now = self._state.clock()
        return not any(
            name != self._state.name and self._relay_choice.can_relay(name, now)
            for name in self._state.live_routers()
        )

    def relays(self, engine: str, regions: Regions) -> tuple[str, ...]:
        """Return the routers to ask to relay a request; see EnginePaths."""
        upstream = self._state.upstreams.upstream(engine)
        hall = upstream.hall if upstream is not None else ""
        routers = self._other_routers(regions)
        return self._relay_choice.candidates(engine, hall, routers, self._state.clock())

    def is_confirmed_unreachable(self, engine: str) -> bool:
        """Return whether a router with sound paths did not reach it either; see EnginePaths."""
        return self._relay_choice.is_confirmed_unreachable(engine, self._state.clock())

    def record_relayed(self, router: str) -> None:
        """Record that a router relayed a request; see EnginePaths."""
        self._relay_choice.record_served(router, self._state.clock())

    def record_unreached(self, router: str, engine: str, is_certain: bool) -> None:
        """Record that a router could not reach an engine; see EnginePaths."""
        self._relay_choice.record_unreachable(router, engine, is_certain, self._state.clock())

    def skip_relay(self, router: str, seconds: float) -> None:
        """Do not ask a router for some seconds; see EnginePaths."""
        self._relay_choice.skip(router, seconds, self._state.clock())

    def target(self, engine: str) -> Target | None:
        """Return an upstream, or None if it is unknown; see RelayView."""
        return self._state.target(engine)

    def tick(self) -> None:
        """Run the periodic work of one round."""
        now = self._state.clock()
        self.reachability.drop_unused(now)
        self._relay_choice.drop_expired(now)

    def _other_routers(self, regions: Regions) -> Iterator[RelayRouter]:
        """Yield the other live routers in the regions where a request may be handled."""
        live = set(self._state.live_routers())
        for member in self._state.members():
            if member.name == self._state.name or member.name not in live:
                continue
            if is_region_allowed(self._state.halls.region(member.hall), regions):
                yield RelayRouter(member.name, member.hall)
