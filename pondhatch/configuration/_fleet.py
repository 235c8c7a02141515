"""A validated configuration: services, routes, templates and accounts at one version."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from pondhatch.configuration._changes import Change, Difference, Edit, EntryKey, Snapshot
from pondhatch.configuration._editing import apply_edits
from pondhatch.configuration._entries import ConfigurationEntries
from pondhatch.configuration._entry_versions import EntryVersions
from pondhatch.configuration._validation import Misfit, format_misfits

#: Changes kept in memory for peers that are a few versions behind.
MAX_RECENT_CHANGES = 512


class Rejected(msgspec.Struct, frozen=True):
    """The change is invalid; none of it is applied."""

    #: Pairs of entry and misfit.
    misfits: tuple[tuple[EntryKey, Misfit], ...]

    def __str__(self) -> str:
        return "; ".join(
            f"{kind} {name}: {format_misfits((misfit,))}" for (kind, name), misfit in self.misfits
        )


class VersionGap(msgspec.Struct, frozen=True):
    """The change does not directly follow the current version: it is not newer, or skips some."""

    current: int
    offered: int


class FleetConfiguration(ConfigurationEntries, frozen=True):
    """A fleet's configuration at one version. Immutable."""

    recent_changes: tuple[Change, ...] = ()
    #: Versions at which entries changed last, for peers that are behind.
    entry_versions: EntryVersions = msgspec.field(default_factory=EntryVersions)

    def snapshot(self) -> Snapshot:
        """Return all entries at this version."""
        edits = tuple(
            Edit(kind, name, msgspec.json.decode(raw))
            for (kind, name), raw in self.raw_by_entry.items()
        )
        return Snapshot(self.version, edits)

    def changes_since(self, version: int) -> tuple[Change, ...] | None:
        """Return the changes after a version, or None if some are no longer kept."""
        if version >= self.version:
            return ()
        wanted = tuple(change for change in self.recent_changes if change.version > version)
        return wanted if len(wanted) == self.version - version else None

    def with_change(self, change: Change) -> FleetConfiguration | Rejected | VersionGap:
        """Return the configuration after the next change in the log."""
        if change.version != self.version + 1:
            return VersionGap(self.version, change.version)
        edited = self.with_edits(change.edits)
        if isinstance(edited, Rejected):
            return edited
        entries = [(edit.kind, edit.name) for edit in change.edits]
        return edited._at_version(change.version, self, entries)._with_recent(self, change)

    def with_skipped_change(self, change: Change) -> FleetConfiguration:
        """Return the configuration with a rejected change skipped: only the version increases.

        Every router skips the same change, so that an invalid one does not block the log.
        """
        return self._at_version(change.version, self, ())._with_recent(self, change)

    def _with_recent(self, base: FleetConfiguration, change: Change) -> FleetConfiguration:
        return replace(self, recent_changes=(*base.recent_changes, change)[-MAX_RECENT_CHANGES:])

    def _at_version(
        self, version: int, base: FleetConfiguration, entries: Iterable[EntryKey]
    ) -> FleetConfiguration:
        """Return this configuration at a version; only ``entries`` may differ from ``base``."""
        raw, before = self.raw_by_entry, base.raw_by_entry
        changed = [key for key in entries if raw.get(key) != before.get(key)]
        # After an empty configuration, the changes that led to this version are unknown.
        is_first = base.version == 0
        entry_versions = (
            EntryVersions(version)
            if is_first
            else base.entry_versions.with_changed(changed, version)
        )
        return replace(self, version=version, recent_changes=(), entry_versions=entry_versions)

    def with_edits(self, edits: Iterable[Edit]) -> FleetConfiguration | Rejected:
        """Return the configuration with all edits applied, at the same version, or Rejected.

        For edits that are not accepted yet; if they cause a misfit, all are rejected.
        """
        edits = tuple(edits)
        edited = apply_edits(self, edits)
        if not edited.causes:
            return edited.configuration
        # Misfits that existed before these edits must not reject them.
        edited_entries = {(edit.kind, edit.name) for edit in edits}
        known_causes = {(key, misfit.path) for key, misfit in apply_edits(self, ()).causes}
        misfits = tuple(
            (key, misfit)
            for key, misfit in edited.causes
            if key in edited_entries or (key, misfit.path) not in known_causes
        )
        return Rejected(misfits) if misfits else edited.configuration

    def with_snapshot(self, snapshot: Snapshot) -> FleetConfiguration:
        """Return the configuration of a snapshot; only entries that differ are validated.

        The snapshot is accepted already, so invalid entries are left out, with misfits, and the
        rest applies. If it were rejected whole, one invalid entry would block all the others,
        and a starting router could serve no requests.
        """
        encoded = {
            (edit.kind, edit.name): (edit, msgspec.json.encode(edit.value))
            for edit in snapshot.edits
        }
        edits = [edit for key, (edit, raw) in encoded.items() if self.raw_by_entry.get(key) != raw]
        edits += [Edit(kind, name) for kind, name in self.raw_by_entry.keys() - encoded.keys()]
        return self._with_accepted_edits(edits, snapshot.version)

    def _with_accepted_edits(self, edits: Iterable[Edit], version: int) -> FleetConfiguration:
        """Return the configuration after accepted edits; invalid entries are left out."""
        edits = tuple(edits)
        entries = [(edit.kind, edit.name) for edit in edits]
        return apply_edits(self, edits).configuration._at_version(version, self, entries)

    def difference_since(self, version: int) -> Difference | None:
        """Return the difference since a version, or None if its changes are not all known."""
        changed = self.entry_versions.changed_since(version)
        if changed is None:
            return None
        edits = tuple(Edit(*key, self.entry_or_none(*key)) for key in sorted(changed))
        return Difference(version, self.version, edits, self.fingerprint)

    def with_difference(self, difference: Difference) -> FleetConfiguration | None:
        """Return the configuration with a difference applied, or None if it does not apply.

        As in a snapshot, invalid entries are left out. A difference does not apply to a version
        before its base, nor where the fingerprints differ afterwards: another release of
        pondhatch may have decoded the same entries differently.
        """
        if self.version < difference.since:
            return None
        following = self._with_accepted_edits(difference.edits, difference.version)
        return following if following.fingerprint == difference.fingerprint else None

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> FleetConfiguration:
        """Return the configuration of a snapshot, starting from an empty one."""
        return cls().with_snapshot(snapshot)
