"""The configuration in force: services, templates and accounts, checked as a whole."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from msgspec.structs import replace

from pondhatch.configuration._changes import Change, Difference, Edit, EntryKey, Snapshot
from pondhatch.configuration._editing import with_edits
from pondhatch.configuration._fit import Misfit, told
from pondhatch.configuration._latest import LatestChanges
from pondhatch.configuration._routes import RouteTable
from pondhatch.configuration._schema import (
    AccountPolicy,
    CallerBounds,
    ServiceSpec,
    TemplateSpec,
)

#: Changes kept in memory for peers that are a little behind.
KEPT_CHANGES = 512


class Rejected(msgspec.Struct, frozen=True):
    """A change does not pass its check; nothing of it is in force."""

    #: Misfits by (kind, name) of the entry.
    misfits: tuple[tuple[EntryKey, Misfit], ...]

    def __str__(self) -> str:
        return "; ".join(
            f"{kind} {name}: {told((misfit,))}" for (kind, name), misfit in self.misfits
        )


class Gap(msgspec.Struct, frozen=True):
    """A change does not follow the version in force; the ones between are missing."""

    in_force: int
    offered: int


class Fleet(msgspec.Struct, frozen=True):
    """A configuration as of one version. Never changed in place."""

    version: int = 0
    service_by_name: dict[str, ServiceSpec] = msgspec.field(default_factory=dict)
    routes: RouteTable = msgspec.field(default_factory=RouteTable)
    #: What callers may send; None where the settings of each router say so.
    caller_bounds: CallerBounds | None = None
    template_by_name: dict[str, TemplateSpec] = msgspec.field(default_factory=dict)
    policy_by_account: dict[str, AccountPolicy] = msgspec.field(default_factory=dict)
    account_by_key_hash: dict[str, str] = msgspec.field(default_factory=dict)
    #: Entries as written, encoded as JSON, by (kind, name).
    raw_by_entry: dict[EntryKey, bytes] = msgspec.field(default_factory=dict)
    #: Entries that are not in force as they stand, or only in part, each with what is wrong.
    misfits_by_entry: Mapping[EntryKey, tuple[Misfit, ...]] = msgspec.field(default_factory=dict)
    recent: tuple[Change, ...] = ()
    #: When entries changed last, for peers that are behind.
    latest: LatestChanges = msgspec.field(default_factory=LatestChanges)
    #: Equal where all entries are as written, whatever steps they came in.
    fingerprint: int = 0

    def is_whole(self, kind: str) -> bool:
        """Return whether every entry of a kind is in force as it stands."""
        return not any(of == kind for of, _ in self.misfits_by_entry)

    def account_of(self, key_hash: str) -> str | None:
        """Return the account an API key's hash belongs to, or None."""
        return self.account_by_key_hash.get(key_hash)

    def entry(self, kind: str, name: str) -> Any:
        """Return an entry as written, as plain data. Raises KeyError."""
        return msgspec.json.decode(self.raw_by_entry[kind, name])

    def value_or_none(self, kind: str, name: str) -> Any | None:
        """Return an entry as written, or None where there is none."""
        raw = self.raw_by_entry.get((kind, name))
        return msgspec.json.decode(raw) if raw is not None else None

    def service_of_model(self, model: str) -> str | None:
        """Return the service that serves a model name, or None."""
        for name, spec in self.service_by_name.items():
            if model in spec.models:
                return name
        return None

    def snapshot(self) -> Snapshot:
        """Return all entries as of this version."""
        edits = tuple(
            Edit(kind, name, msgspec.json.decode(raw))
            for (kind, name), raw in self.raw_by_entry.items()
        )
        return Snapshot(self.version, edits)

    def changes_since(self, version: int) -> tuple[Change, ...] | None:
        """Return the changes after a version, or None where some are no longer kept."""
        if version >= self.version:
            return ()
        wanted = tuple(change for change in self.recent if change.version > version)
        return wanted if len(wanted) == self.version - version else None

    def with_change(self, change: Change) -> Fleet | Rejected | Gap:
        """Return the configuration after the next change; never a lower version."""
        if change.version != self.version + 1:
            return Gap(self.version, change.version)
        edited = self.with_edits(change.edits)
        if isinstance(edited, Rejected):
            return edited
        entries = [(edit.kind, edit.name) for edit in change.edits]
        return edited._as_of(change.version, self, entries)._with_recent(self, change)

    def voided(self, change: Change) -> Fleet:
        """Return the configuration after a rejected change: a version on, nothing else.

        Every router voids the same change, so a bad one never holds up the log.
        """
        return self._as_of(change.version, self, ())._with_recent(self, change)

    def _with_recent(self, base: Fleet, change: Change) -> Fleet:
        return replace(self, recent=(*base.recent, change)[-KEPT_CHANGES:])

    def _as_of(self, version: int, base: Fleet, entries: Iterable[EntryKey]) -> Fleet:
        """Return this configuration as a version; ``entries`` may differ from those of ``base``."""
        raw, before = self.raw_by_entry, base.raw_by_entry
        differ = [key for key in entries if raw.get(key) != before.get(key)]
        # Who had nothing before cannot tell peers what differs from it.
        begins = base.version == 0
        latest = LatestChanges(version) if begins else base.latest.followed_by(differ, version)
        return replace(self, version=version, recent=(), latest=latest)

    def with_edits(self, edits: Iterable[Edit]) -> Fleet | Rejected:
        """Return the configuration with edits taken in, at the same version: all, or none.

        For changes that are checked before they are accepted.
        """
        edits = tuple(edits)
        edited = with_edits(self, edits)
        if not edited.blamed:
            return edited.fleet
        # What was wrong before is not these edits' fault, and must not hold them back.
        touched = {(edit.kind, edit.name) for edit in edits}
        before = {(key, misfit.path) for key, misfit in with_edits(self, ()).blamed}
        misfits = tuple(
            (key, misfit)
            for key, misfit in edited.blamed
            if key in touched or (key, misfit.path) not in before
        )
        return Rejected(misfits) if misfits else edited.fleet

    def replaced_by(self, whole: Snapshot) -> Fleet:
        """Return the configuration that a snapshot holds; only what differs is checked anew.

        Who wrote it has accepted it. So what cannot be used of it is left out and told, and
        the rest is in force: refused whole, one entry would keep every other from its callers,
        and a router that starts would serve nobody.
        """
        encoded = {
            (edit.kind, edit.name): (edit, msgspec.json.encode(edit.value)) for edit in whole.edits
        }
        edits = [edit for key, (edit, raw) in encoded.items() if self.raw_by_entry.get(key) != raw]
        edits += [Edit(kind, name) for kind, name in self.raw_by_entry.keys() - encoded.keys()]
        return self._after(edits, whole.version)

    def _after(self, edits: Iterable[Edit], version: int) -> Fleet:
        """Return the configuration after edits that were accepted, as far as they can be used."""
        edits = tuple(edits)
        entries = [(edit.kind, edit.name) for edit in edits]
        return with_edits(self, edits).fleet._as_of(version, self, entries)

    def difference_since(self, version: int) -> Difference | None:
        """Return the entries that changed after a version, or None where that is not known."""
        changed = self.latest.after(version)
        if changed is None:
            return None
        edits = tuple(Edit(*key, self.value_or_none(*key)) for key in sorted(changed))
        return Difference(version, self.version, edits, self.fingerprint)

    def with_difference(self, difference: Difference) -> Fleet | None:
        """Return the configuration with what differs taken in; None where it does not fit.

        What was accepted is taken, as of a whole. It does not fit an older version than it was
        worked out for, nor entries that another version of pondhatch reads in another way.
        """
        if self.version < difference.since:
            return None
        following = self._after(difference.edits, difference.version)
        return following if following.fingerprint == difference.fingerprint else None

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> Fleet:
        """Return the configuration that a snapshot holds."""
        return cls().replaced_by(snapshot)
