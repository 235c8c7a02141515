"""The configuration in force at one router, and what is known of newer ones."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from pondhatch.configuration import (
    Change,
    Difference,
    FleetConfiguration,
    Rejected,
    Update,
    VersionGap,
)
from pondhatch.router._lag import ConfigurationLag

#: Source of a configuration that was read from the platform and not pulled from a peer.
PLATFORM_SOURCE = "the platform"


@dataclass(kw_only=True)
class ConfigurationState(ABC):
    """The part of a router's state that holds its configuration."""

    configuration: FleetConfiguration = field(default_factory=FleetConfiguration)
    #: Why the newest configuration that was read here was rejected as a whole; None where it is
    #: in force.
    rejected: Rejected | None = None
    #: When the current configuration came into force, in seconds since 1970.
    in_force_at: float = 0.0
    #: Where the configuration in force came from: the platform, or a peer by name.
    configuration_source: str = ""
    #: Whether a peer's difference did not apply to the configuration in force here, so that the
    #: next pull asks for a snapshot.
    needs_snapshot: bool = False
    #: For how long this router has known of a newer configuration.
    lag: ConfigurationLag = field(default_factory=ConfigurationLag)

    def apply_change(
        self, change: Change, source: str = PLATFORM_SOURCE
    ) -> Rejected | VersionGap | None:
        """Put the next change in force; return None where it is in force now or was before.

        A rejected change is skipped: the version advances, and none of its edits apply.
        Where versions in between are missing, nothing changes and the gap is returned.
        """
        if change.version <= self.configuration.version:
            return None
        next_configuration = self.configuration.with_change(change)
        if isinstance(next_configuration, VersionGap):
            return next_configuration
        if isinstance(next_configuration, Rejected):
            self._put_in_force(self.configuration.with_skipped_change(change), source)
            return next_configuration
        self._put_in_force(next_configuration, source)
        return None

    def apply_configuration(
        self, configuration: FleetConfiguration, source: str = PLATFORM_SOURCE
    ) -> bool:
        """Put a configuration in force if it is newer; return whether it is."""
        if configuration.version <= self.configuration.version:
            return False
        self._put_in_force(configuration, source)
        return True

    def _put_in_force(self, configuration: FleetConfiguration, source: str) -> None:
        self.configuration = configuration
        self.configuration_source = source
        self.needs_snapshot = False
        self.rejected = None
        self.in_force_at = time.time()
        self._invalidate_intakes()

    def has_all_entries(self, kind: str) -> bool:
        """Return whether every entry of a kind is in force here as the operator wrote it.

        Otherwise an entry that a caller names and this router lacks may be one that is not in
        force here, and to answer that it does not exist would be wrong.
        """
        return self.rejected is None and self.configuration.is_fully_applied(kind)

    def apply_update(
        self, update: Update, source: str = PLATFORM_SOURCE
    ) -> Rejected | VersionGap | None:
        """Apply a peer's update; return the first change that was rejected or left a gap."""
        if update.snapshot is not None and update.snapshot.version > self.configuration.version:
            self.apply_configuration(self.configuration.with_snapshot(update.snapshot), source)
        if update.difference is not None:
            self._apply_difference(update.difference, source)
        problems = [self.apply_change(change, source) for change in update.changes]
        return next((problem for problem in problems if problem is not None), None)

    def _apply_difference(self, difference: Difference, source: str) -> None:
        if difference.version <= self.configuration.version:
            return
        next_configuration = self.configuration.with_difference(difference)
        self.needs_snapshot = next_configuration is None
        if next_configuration is not None:
            self.apply_configuration(next_configuration, source)

    def update_since(self, version: int, takes_difference: bool = True) -> Update:
        """Return the update for a router at a version: changes, a difference or a snapshot."""
        changes = self.configuration.changes_since(version)
        if changes is not None:
            return Update(changes=changes)
        difference = self.configuration.difference_since(version) if takes_difference else None
        if difference is not None:
            return Update(difference=difference)
        return Update(snapshot=self.configuration.snapshot())

    @abstractmethod
    def _invalidate_intakes(self) -> None:
        """Drop what was derived from the configuration that was in force before."""
