"""Chooses the routers that may relay a request to an engine that is unreachable from here."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from pondhatch.placement._rendezvous import ranked

#: Routers that one try of a request may ask to relay it. A router that cannot relay says so within
#: a round trip, but each one asked for the first time may take as long as opening a connection.
MAX_RELAYS = 3
#: Seconds for which a router is not asked for an engine again that it could not reach.
UNREACHABLE_SECONDS = 1.0
#: Seconds for which a router is not asked again that relays all that it can.
BUSY_SECONDS = 0.3
#: Seconds for which a router is not asked again that could not be called.
GONE_SECONDS = 2.0
#: Seconds for which a router is not asked again that does not know the call, as one of an older
#: version.
UNSUPPORTED_SECONDS = 60.0
#: Seconds for which a router that could not reach some engine is asked after those that could.
DEMOTED_SECONDS = 5.0


class RelayRouter(msgspec.Struct, frozen=True):
    """Another router that is live."""

    name: str
    hall: str


class _EngineFailure(msgspec.Struct, frozen=True):
    """A router's report that it could not reach an engine either."""

    until: float
    #: Whether it reached other engines at that time, so that its own paths are not at fault.
    is_certain: bool


class RelayChoice(msgspec.Struct):
    """What is known of other routers as relays; times are in the clock's seconds."""

    #: This router's name, so that routers spread their requests over different relays.
    name: str
    hall: str
    _failure_by_router_and_engine: dict[tuple[str, str], _EngineFailure] = msgspec.field(
        default_factory=dict
    )
    #: Until when a router is not asked for any engine.
    _skipped_until: dict[str, float] = msgspec.field(default_factory=dict)
    _failed_at: dict[str, float] = msgspec.field(default_factory=dict)
    _served_at: dict[str, float] = msgspec.field(default_factory=dict)

    def candidates(
        self, engine: str, engine_hall: str, routers: Iterable[RelayRouter], now: float
    ) -> tuple[str, ...]:
        """Return the routers to ask for an engine, the best first; MAX_RELAYS at most.

        A router of the same hall is the nearest, one of the engine's hall has the shortest path.
        """
        usable = [each for each in routers if self._is_usable(each.name, engine, now)]
        near = [each.name for each in usable if each.hall == self.hall]
        at_engine = [each.name for each in usable if self.hall != each.hall == engine_hall]
        far = [each.name for each in usable if each.hall not in (self.hall, engine_hall)]
        # One of each first: a hall may lose its paths to another hall as a whole.
        groups = [self._ordered(names, engine, now) for names in (near, at_engine, far)]
        firsts = [group[0] for group in groups if group]
        rest = [name for group in groups for name in group[1:]]
        ordered = [*firsts, *rest]
        ordered.sort(key=lambda name: self._is_demoted(name, now))
        return tuple(ordered[:MAX_RELAYS])

    def can_relay(self, router: str, now: float) -> bool:
        """Return whether a router knows how to relay, though it may be busy or gone for now."""
        return self._skipped_until.get(router, float("-inf")) - now <= GONE_SECONDS

    def is_confirmed_unreachable(self, engine: str, now: float) -> bool:
        """Return whether a router with sound paths could not reach the engine either."""
        return any(
            failed == engine and failure.is_certain and now < failure.until
            for (_, failed), failure in self._failure_by_router_and_engine.items()
        )

    def record_served(self, router: str, now: float) -> None:
        """Record that a router relayed a request to its engine."""
        self._served_at[router] = now

    def record_unreachable(self, router: str, engine: str, is_certain: bool, now: float) -> None:
        """Record that a router could not reach an engine either."""
        self._failed_at[router] = now
        failure = _EngineFailure(now + UNREACHABLE_SECONDS, is_certain)
        self._failure_by_router_and_engine[router, engine] = failure

    def skip(self, router: str, seconds: float, now: float) -> None:
        """Do not ask a router for any engine for some seconds."""
        self._skipped_until[router] = now + seconds

    def drop_expired(self, now: float) -> None:
        """Forget what no longer applies."""
        self._failure_by_router_and_engine = {
            pair: failure
            for pair, failure in self._failure_by_router_and_engine.items()
            if now < failure.until
        }
        self._skipped_until = {
            router: until for router, until in self._skipped_until.items() if now < until
        }
        for times in (self._failed_at, self._served_at):
            for router in [name for name, at in times.items() if now - at >= DEMOTED_SECONDS]:
                del times[router]

    def _is_usable(self, router: str, engine: str, now: float) -> bool:
        failure = self._failure_by_router_and_engine.get((router, engine))
        is_skipped = now < self._skipped_until.get(router, float("-inf"))
        return not is_skipped and (failure is None or now >= failure.until)

    def _ordered(self, names: Sequence[str], engine: str, now: float) -> list[str]:
        if len(names) < 2:
            return list(names)
        order = ranked(f"{self.name}:{engine}", names)
        return sorted(order, key=lambda name: self._is_demoted(name, now))

    def _is_demoted(self, router: str, now: float) -> bool:
        """Return whether a router recently failed to reach an engine, and none since."""
        failed_at = self._failed_at.get(router, float("-inf"))
        is_recent = now - failed_at < DEMOTED_SECONDS
        return is_recent and self._served_at.get(router, float("-inf")) < failed_at
