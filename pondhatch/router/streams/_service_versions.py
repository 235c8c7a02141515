"""Which software versions serve a service now, or began streams that callers may still resume."""

from __future__ import annotations

from typing import NamedTuple

from pondhatch.configuration import FleetConfiguration
from pondhatch.placement import SINCE_EVER, VersionHistory
from pondhatch.router._state import RouterState
from pondhatch.store import LEAVING, REMOVED, StoredVersions, Upstream

#: Seconds after the longest time that a route allows for a stream within which its caller resumes
#: it.
RETURN_SECONDS = 10.0


class _EarlierSeconds(NamedTuple):
    """How long streams of a service might take under an earlier configuration."""

    service: str
    seconds: float
    #: When the last of them has ended, in the clock's seconds.
    until: float


class ServiceVersions:
    """Follows the software versions of a router's list of upstreams."""

    def __init__(self, state: RouterState) -> None:
        self._state = state
        self._history = VersionHistory()
        #: Whether this router knows by itself that nothing served before its start.
        self.is_first_start = False
        #: When the platform last told which versions there are, in the clock's seconds.
        self.adopted_at = float("-inf")
        #: The versions that the platform's object named then, by service.
        self._named_by_service: dict[str, tuple[str, ...]] = {}
        #: The list's version that the history was last updated from.
        self._upstreams_version = -1
        #: The configuration's version of the longest stream times.
        self._configuration_version = -1
        self._allowed_seconds_by_service: dict[str, float] = {}
        #: What configurations before allowed, the latest last.
        self._earlier: list[_EarlierSeconds] = []
        self._stream_seconds_by_service: dict[str, float] = {}

    def update(self) -> None:
        """Bring the history up to the current list of upstreams."""
        upstreams = self._state.upstreams
        if upstreams.version == self._upstreams_version:
            return
        self._upstreams_version = upstreams.version
        versions_by_service: dict[str, set[str]] = {}
        for entry in upstreams.entry_by_name.values():
            if _states_version(entry.upstream):
                versions = versions_by_service.setdefault(entry.upstream.service, set())
                versions.add(entry.upstream.software_version)
        self._history.record(versions_by_service, self._state.clock())

    def adopt(
        self, stored: StoredVersions, asked_at: float | None, is_written_since: bool = False
    ) -> None:
        """Take over what other routers stored at the platform, which was asked at ``asked_at``.

        None says that the platform has come back from an older copy since they stored it.
        ``is_written_since`` says that they did so since this router last knew what was stored.
        """
        self.update()
        if asked_at is not None:
            self.adopted_at = max(self.adopted_at, asked_at)
        self._history.record_stored(
            stored.versions_by_service,
            # What served after the copy was made is not known.
            stored.is_complete and asked_at is not None,
            asked_at,
            self._state.clock(),
            is_written_since,
            stored.retiring_by_service,
        )

    def assume_first_start(self) -> None:
        """Take nothing to have served before: the whole system starts for the very first time."""
        self.is_first_start = True
        self._history.known_since = SINCE_EVER

    @property
    def is_complete(self) -> bool:
        """Whether this router knows every version that may have begun a stream of any service."""
        self.update()
        oldest = self._state.clock() - self.longest_seconds()
        return self._history.known_since <= oldest and self._is_up_to_date()

    def possible_versions(self, service: str) -> tuple[str, ...]:
        """Return the versions that may have begun a stream that callers still resume."""
        self.update()
        return self._history.listed_since(service, self._since(service))

    def has_several_versions(self, service: str) -> bool:
        """Return whether several versions may have begun such streams."""
        return len(self.possible_versions(service)) > 1

    def needs_records(self, service: str) -> bool:
        """Return whether a stream that begins now has to be recorded.

        Until the platform's object has left out what nobody needs any more, nobody can tell by it
        that one version alone serves.
        """
        return len(self._named_by_service.get(service, ())) > 1 or self.has_several_versions(
            service
        )

    def serve_side_by_side(self, service: str) -> bool:
        """Return whether engines of several versions are listed now."""
        return len(self._history.listed(service)) > 1

    def listed(self, service: str) -> frozenset[str]:
        """Return the versions that are listed now."""
        self.update()
        return self._history.listed(service)

    def note_named(self, stored: StoredVersions, asked_at: float) -> None:
        """Note which versions the platform, asked at a time, knew of."""
        self._named_by_service = stored.versions_by_service
        for service in self.services():
            named = stored.versions_by_service.get(service, ())
            self._history.record_named(service, named, asked_at)

    def listed_at(self, service: str, version: str) -> float:
        """Return since when a listed version is listed, in the clock's seconds."""
        return self._history.listed_at(service, version)

    def seen(self, service: str) -> frozenset[str]:
        """Return the versions that callers may still resume as far as this router saw them."""
        self.update()
        return self._history.seen_since(service, self._since(service))

    def services(self) -> tuple[str, ...]:
        """Return the services of which versions are known."""
        self.update()
        return self._history.services()

    def is_history_known(self, service: str) -> bool:
        """Return whether every version that may have begun such a stream is known here."""
        return self._is_up_to_date() and self._history.known_since <= self._since(service)

    def _is_up_to_date(self) -> bool:
        """Return whether no other router has a newer list of upstreams."""
        return all(
            versions.upstreams <= self._state.upstreams.version
            for versions in self._state.gossip.versions().values()
        )

    def seconds_since_second_version(self, service: str) -> float | None:
        """Return for how many seconds several versions have served.

        None if one version alone may not have served since callers may resume streams.
        """
        self.update()
        began_after = self._history.second_version_since(service, self._since(service))
        return None if began_after is None else self._state.clock() - began_after

    def drop_old(self) -> None:
        """Forget versions whose streams nobody resumes any more."""
        self._history.drop_old(self._state.clock() - self.longest_seconds())

    def longest_seconds(self) -> float:
        """Return for how long after its begin a stream of any service may be resumed."""
        return max(self._stream_seconds().values(), default=0.0) + RETURN_SECONDS

    def _since(self, service: str) -> float:
        """Return when the oldest stream began that a caller may still resume."""
        longest = self._stream_seconds().get(service, 0.0)
        return self._state.clock() - longest - RETURN_SECONDS

    def _stream_seconds(self) -> dict[str, float]:
        """Return the longest time of a stream that may be resumed, by service.

        Where a configuration shortens it, streams that began before take their time all the same.
        """
        configuration = self._state.configuration
        now = self._state.clock()
        if configuration.version != self._configuration_version:
            self._configuration_version = configuration.version
            for service, seconds in self._allowed_seconds_by_service.items():
                self._earlier.append(_EarlierSeconds(service, seconds, now + seconds))
            self._allowed_seconds_by_service = _allowed_seconds(configuration)
            self._stream_seconds_by_service = {}
        if any(each.until + RETURN_SECONDS <= now for each in self._earlier):
            self._earlier = [each for each in self._earlier if each.until + RETURN_SECONDS > now]
            self._stream_seconds_by_service = {}
        if not self._stream_seconds_by_service:
            found = dict(self._allowed_seconds_by_service)
            for earlier in self._earlier:
                found[earlier.service] = max(found.get(earlier.service, 0.0), earlier.seconds)
            self._stream_seconds_by_service = found
        return self._stream_seconds_by_service


def _allowed_seconds(configuration: FleetConfiguration) -> dict[str, float]:
    """Return the longest time that a configuration allows for a stream, by service."""
    seconds: dict[str, float] = {}
    for route in configuration.routes.by_name.values():
        if route.repeats == "resumed":
            for target in route.targets:
                seconds[target.service] = max(seconds.get(target.service, 0.0), route.timeout)
    return seconds


def _states_version(upstream: Upstream) -> bool:
    """Return whether an upstream serves, and its entry says at which software version.

    Of an entry that cannot be read only the state is known.
    """
    is_unreadable = upstream.state == LEAVING and not upstream.software_version
    return upstream.state != REMOVED and not is_unreadable
