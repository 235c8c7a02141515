"""Which upstreams may take work now, and how fast, by all that one router knows of them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from pondhatch.configuration import ServiceSpec
from pondhatch.placement import Intake, Notices, Regions, winner
from pondhatch.router._hall_states import HallStates
from pondhatch.store import LIVE, ColdPeriods, Upstream, UpstreamList, VanishedUpstreams


class Intakes(msgspec.Struct):
    """Puts together what the list of upstreams, the platform and the configuration say."""

    upstreams: UpstreamList
    #: Those whose entries went a short while ago.
    vanished: VanishedUpstreams
    halls: HallStates
    cold: ColdPeriods
    #: What upstreams said of themselves.
    notices: Notices
    #: Returns the clock's seconds.
    clock: Callable[[], float]
    #: Returns the services of the configuration in force, by name.
    services: Callable[[], Mapping[str, ServiceSpec]]
    #: Names of a service's upstreams that take new work, wherever they stand.
    _live_by_service: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)
    #: Those of them that a request bound to some regions may go to.
    _open_by_binding: dict[tuple[str, Regions], tuple[str, ...]] = msgspec.field(
        default_factory=dict
    )

    def forget(self) -> None:
        """Look everything up anew: the upstreams, the halls or the configuration changed."""
        self._live_by_service.clear()
        self._open_by_binding.clear()

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream that is listed, or that may only have lapsed."""
        return self.upstreams.upstream(name) or self.vanished.upstream(name)

    def open_to(self, service: str, regions: Regions) -> tuple[str, ...]:
        """Return the service's upstreams that take work bound to some regions, by name."""
        found = self._open_by_binding.get((service, regions))
        if found is None:
            live = self._live(service)
            found = tuple(name for name in live if self._hall_is_open(name, regions))
            self._open_by_binding[service, regions] = found
        return found

    def closed_home(self, service: str, chat: str, regions: Regions) -> tuple[str, str] | None:
        """Return a chat's home engine were its hall not closed to it, and why it is closed."""
        if regions is None and not self.halls.evacuations.halls:
            return None
        home = winner(chat, self._live(service))
        upstream = self.upstream(home) if home is not None else None
        closed = self.halls.closed(upstream.hall, regions) if upstream is not None else None
        return (home, closed.value) if home is not None and closed is not None else None

    def working(self, service: str, now: float) -> int:
        """Return how many of a service's upstreams take work now; those that rest do not."""
        open_now = self.open_to(service, None)
        return max(1, len(open_now) - self.notices.count_resting(open_now, now))

    def intake(self, upstream: Upstream, service: ServiceSpec, now: float) -> Intake:
        """Return for which requests, and how fast, an upstream may take work now."""
        is_live = upstream.state == LIVE and upstream.name in self._live(upstream.service)
        return Intake(
            is_live=is_live,
            is_evacuated=self.halls.evacuations.is_evacuated(upstream.hall),
            region=self.halls.region(upstream.hall),
            rest=self.notices.rest(upstream.name, now),
            cold_pace=service.cold_pace if self._is_cold(upstream, now) else None,
        )

    def _is_cold(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is cold, or may be without having been heard."""
        says_so = self.cold.seconds_left(upstream.name, now) > 0
        return says_so or self.halls.just_opened(upstream.hall, now)

    def _hall_is_open(self, name: str, regions: Regions) -> bool:
        upstream = self.upstream(name)
        return upstream is not None and self.halls.closed(upstream.hall, regions) is None

    def _live(self, service: str) -> tuple[str, ...]:
        """Return the service's upstreams that are up and not leaving, by name."""
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
