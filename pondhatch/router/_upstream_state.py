"""The upstreams as one router sees them: which are listed, open, and owned by whom."""

from __future__ import annotations

from dataclasses import dataclass, field

from pondhatch.placement import Notices, Regions, winner
from pondhatch.router._configuration_state import ConfigurationState
from pondhatch.router._intakes import Intakes
from pondhatch.router._member_state import MemberState
from pondhatch.router._owners import Owners
from pondhatch.router._upstream_changes import UpstreamChanges
from pondhatch.store import (
    REMOVED,
    EvacuationUpdate,
    Listed,
    Upstream,
    UpstreamList,
    UpstreamUpdate,
    VanishedUpstreams,
    WatchEvent,
)


@dataclass
class UpstreamState(MemberState, ConfigurationState):
    """The part of a router's state that holds the list of upstreams and the halls' evacuations."""

    upstreams: UpstreamList = field(default_factory=UpstreamList)
    #: Upstreams whose entries vanished from the list a short while ago.
    vanished: VanishedUpstreams = field(default_factory=VanishedUpstreams)
    #: What upstreams reported of themselves in their answers: that they leave or rest.
    notices: Notices = field(default_factory=Notices)
    _owners: Owners = field(init=False)
    _upstream_changes: UpstreamChanges = field(init=False)
    _intakes: Intakes = field(init=False)

    def __post_init__(self) -> None:
        super().__post_init__()
        self._upstream_changes = UpstreamChanges(self.upstreams, self.vanished, self.notices)
        self._intakes = Intakes(
            self.upstreams,
            self.vanished,
            self.halls,
            self._upstream_changes.cold_periods,
            self.notices,
            lambda: self.clock(),
            lambda: self.configuration.service_by_name,
        )
        self._owners = Owners(self.name, self.upstreams, self._intakes.upstream)

    # -- upstreams ----------------------------------------------------------

    def owner_name(self, engine: str) -> str | None:
        """Return the name of the engine's owner in this router's view."""
        return self._owners.owner_name(engine)

    def live_upstreams(
        self, service: str, regions: Regions = None, software_version: str | None = None
    ) -> tuple[str, ...]:
        """Return the names of the service's upstreams open to requests bound to some regions.

        With a software version, only the upstreams of that version.
        """
        return self._intakes.open_upstreams(service, regions, software_version)

    def closed_home(self, service: str, chat: str, regions: Regions) -> tuple[str, str] | None:
        """Return the chat's home engine if its hall is closed to the chat, and the reason.

        Return None where the home engine's hall is open.
        """
        return self._intakes.closed_home(service, chat, regions)

    def former_home(self, service: str, chat: str) -> str | None:
        """Return what a chat's home engine would be if leaving upstreams still counted."""
        entries = self.upstreams.entry_by_name.values()
        names = [
            each.upstream.name
            for each in entries
            if each.upstream.service == service and each.upstream.state != REMOVED
        ]
        return winner(chat, names)

    def is_young(self, engine: str) -> bool:
        """Return whether an upstream joined lately, and after this router first had the list."""
        return self._upstream_changes.join_times.is_young(engine, self.clock())

    def can_resume(self, engine: str) -> bool:
        """Return whether an engine can resume a broken stream."""
        upstream = self.upstreams.upstream(engine)
        return upstream is not None and upstream.resumes

    def owned_by_service(self) -> dict[str, tuple[str, ...]]:
        """Return the names of the live upstreams that this router owns, by service."""
        return self._owners.owned_by_service()

    def owned(self) -> tuple[Upstream, ...]:
        """Return the live upstreams that this router owns."""
        names = [name for own in self.owned_by_service().values() for name in own]
        return tuple(self.upstreams.entry_by_name[name].upstream for name in names)

    def apply_listed_upstreams(self, listed: Listed) -> bool:
        """Apply the platform's list of upstreams; return whether anything changed."""
        changed = self._upstream_changes.apply_listing(listed, self.clock())
        self.invalidate_upstream_caches()
        return changed

    def apply_upstreams(self, update: UpstreamUpdate) -> bool:
        """Apply a peer's entries of upstreams; return whether anything changed."""
        changed = self._upstream_changes.apply_update(update, self.clock())
        self.invalidate_upstream_caches()
        return changed

    def upstreams_since(self, version: int) -> UpstreamUpdate:
        """Return the entries of upstreams that a peer at a version lacks."""
        return self._upstream_changes.since(version, self.clock())

    def apply_upstream_event(self, event: WatchEvent) -> bool:
        """Apply one event of the watch on upstreams; return whether it changed anything."""
        changed = self._upstream_changes.apply_event(event, self.clock())
        if changed:
            self.invalidate_upstream_caches()
        return changed

    def invalidate_upstream_caches(self) -> None:
        """Drop the caches that were derived from the list of upstreams."""
        self._intakes.invalidate()
        self._owners.invalidate()

    # -- data halls ---------------------------------------------------------

    def apply_listed_evacuations(self, listed: Listed) -> bool:
        """Apply the platform's list of evacuations; return whether anything changed."""
        return self._invalidate_if_changed(self.halls.apply_listing(listed, self.clock()))

    def apply_evacuation_event(self, event: WatchEvent) -> bool:
        """Apply one event of the watch on evacuations; return whether it changed anything."""
        return self._invalidate_if_changed(self.halls.apply_event(event, self.clock()))

    def apply_evacuations(self, update: EvacuationUpdate | None) -> bool:
        """Apply the evacuations that a peer knows; return whether anything changed."""
        return update is not None and self._invalidate_if_changed(
            self.halls.apply_update(update, self.clock())
        )

    def _invalidate_if_changed(self, changed: bool) -> bool:
        if changed:
            self._intakes.invalidate()
        return changed

    def _invalidate_intakes(self) -> None:
        self._intakes.invalidate()
