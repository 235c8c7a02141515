"""The owner of each upstream in this router's view."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from pondhatch.membership import Member, live_by_hall, owner_of
from pondhatch.store import LIVE, Upstream, UpstreamList


class Owners:
    """Caches owners, and recomputes them only where routers or upstreams changed."""

    def __init__(
        self, name: str, upstreams: UpstreamList, upstream: Callable[[str], Upstream | None]
    ) -> None:
        #: This router's own name.
        self._name = name
        self._upstreams = upstreams
        #: Returns an upstream that is listed, or whose entry may only have lapsed.
        self._upstream = upstream
        #: Capacities of the live routers, by hall and router.
        self._live_by_hall: Mapping[str, Mapping[str, float]] = {}
        #: The hall and the owner's name of each upstream that was looked up.
        self._owner_by_engine: dict[str, tuple[str, str | None]] = {}
        #: Names of this router's own upstreams by service; None where they must be recomputed.
        self._owned_by_service: dict[str, tuple[str, ...]] | None = None

    def owner_name(self, engine: str) -> str | None:
        """Return the name of the engine's owner, or None without live routers."""
        hall_and_owner = self._owner_by_engine.get(engine)
        if hall_and_owner is None:
            upstream = self._upstream(engine)
            hall = upstream.hall if upstream is not None else ""
            hall_and_owner = hall, owner_of(engine, hall, self._live_by_hall)
            self._owner_by_engine[engine] = hall_and_owner
        return hall_and_owner[1]

    def owned_by_service(self) -> dict[str, tuple[str, ...]]:
        """Return the names of the live upstreams that this router owns, by service."""
        if self._owned_by_service is None:
            names: dict[str, list[str]] = {}
            for name, entry in self._upstreams.entry_by_name.items():
                if entry.upstream.state == LIVE and self.owner_name(name) == self._name:
                    names.setdefault(entry.upstream.service, []).append(name)
            self._owned_by_service = {service: tuple(own) for service, own in names.items()}
        return self._owned_by_service

    def set_live(self, live: Iterable[Member]) -> None:
        """Set the live routers; drop cached owners in halls whose live routers changed."""
        before, self._live_by_hall = self._live_by_hall, live_by_hall(live)
        now = self._live_by_hall
        unchanged_halls = {hall for hall, names in now.items() if before.get(hall) == names}
        if len(unchanged_halls) == len(now) == len(before):
            return
        # A hall without live routers is never among the unchanged ones: its upstreams are owned by
        # routers of any hall.
        self._owner_by_engine = {
            engine: hall_and_owner
            for engine, hall_and_owner in self._owner_by_engine.items()
            if hall_and_owner[0] in unchanged_halls
        }
        self._owned_by_service = None

    def invalidate(self) -> None:
        """Drop the caches, as the list of upstreams changed."""
        self._owner_by_engine.clear()
        self._owned_by_service = None
