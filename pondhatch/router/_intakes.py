"""Which upstreams may get requests now, and how fast, in one router's view."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from pondhatch.configuration import ServiceSpec
from pondhatch.placement import Intake, Notices, Regions, winner
from pondhatch.router._hall_states import HallStates
from pondhatch.store import LIVE, ColdPeriods, Upstream, UpstreamList, VanishedUpstreams


class Intakes(msgspec.Struct):
    """Combines the list of upstreams, their notices, the halls and the configuration."""

    upstreams: UpstreamList
    #: Upstreams whose entries vanished from the list a short while ago.
    vanished: VanishedUpstreams
    halls: HallStates
    cold_periods: ColdPeriods
    #: What upstreams reported of themselves in their answers.
    notices: Notices
    #: Returns the clock's seconds.
    clock: Callable[[], float]
    #: Returns the services of the configuration in force, by name.
    services: Callable[[], Mapping[str, ServiceSpec]]
    #: Names of a service's upstreams that take new requests, in whatever hall.
    _live_by_service: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)
    #: Those of them that are open to requests bound to some regions.
    _open_by_service_and_regions: dict[tuple[str, Regions], tuple[str, ...]] = msgspec.field(
        default_factory=dict
    )

    def invalidate(self) -> None:
        """Drop the caches, as the upstreams, the halls or the configuration changed."""
        self._live_by_service.clear()
        self._open_by_service_and_regions.clear()

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream that is listed, or whose entry may only have lapsed."""
        return self.upstreams.upstream(name) or self.vanished.upstream(name)

    def open_upstreams(
        self, service: str, regions: Regions, software_version: str | None = None
    ) -> tuple[str, ...]:
        """Return the names of the service's upstreams open to requests bound to some regions.

        With a software version, only the upstreams of that version.
        """
        found = self._open_upstreams(service, regions)
        if software_version is None:
            return found
        return tuple(name for name in found if self._software_version(name) == software_version)

    def _open_upstreams(self, service: str, regions: Regions) -> tuple[str, ...]:
        found = self._open_by_service_and_regions.get((service, regions))
        if found is None:
            live = self._live(service)
            found = tuple(name for name in live if self._hall_is_open(name, regions))
            self._open_by_service_and_regions[service, regions] = found
        return found

    def closed_home(self, service: str, chat: str, regions: Regions) -> tuple[str, str] | None:
        """Return the chat's home engine if its hall is closed to the chat, and the reason.

        Return None where the home engine's hall is open.
        """
        if regions is None and not self.halls.evacuations.halls:
            return None
        home = winner(chat, self._live(service))
        upstream = self.upstream(home) if home is not None else None
        closed = self.halls.closed_reason(upstream.hall, regions) if upstream is not None else None
        return (home, closed.value) if home is not None and closed is not None else None

    def count_open_not_resting(self, service: str, now: float) -> int:
        """Return how many of a service's upstreams are open and not resting, 1 at least."""
        open_now = self.open_upstreams(service, None)
        return max(1, len(open_now) - self.notices.count_resting(open_now, now))

    def intake(self, upstream: Upstream, service: ServiceSpec, now: float) -> Intake:
        """Return which requests an upstream may get now, and how fast if it is cold."""
        is_live = upstream.state == LIVE and upstream.name in self._live(upstream.service)
        return Intake(
            is_live=is_live,
            is_evacuated=self.halls.evacuations.is_evacuated(upstream.hall),
            region=self.halls.region(upstream.hall),
            rest=self.notices.rest(upstream.name, now),
            cold_pace=service.cold_pace if self._is_cold(upstream, now) else None,
        )

    def _is_cold(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is cold, or may be cold before its report arrives."""
        reports_cold = self.cold_periods.seconds_left(upstream.name, now) > 0
        return reports_cold or self.halls.is_just_reopened(upstream.hall, now)

    def _software_version(self, name: str) -> str | None:
        upstream = self.upstream(name)
        return upstream.software_version if upstream is not None else None

    def _hall_is_open(self, name: str, regions: Regions) -> bool:
        upstream = self.upstream(name)
        return upstream is not None and self.halls.closed_reason(upstream.hall, regions) is None

    def _live(self, service: str) -> tuple[str, ...]:
        """Return the names of the service's upstreams that are up and not leaving."""
        if service not in self._live_by_service:
            spec = self.services().get(service)
            leaving = spec.leaving if spec is not None else ()
            found = [upstream.name for upstream in self.upstreams.of_service(service)]
            found += [each.name for each in self.vanished.in_doubt(service, len(found))]
            now = self.clock()
            self._live_by_service[service] = tuple(
                name
                for name in found
                if name not in leaving and not self.notices.is_leaving(name, now)
            )
        return self._live_by_service[service]
