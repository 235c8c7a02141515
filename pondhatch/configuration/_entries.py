"""The entries of a configuration at one version: as written, and as validated."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from pondhatch.configuration._changes import EntryKey
from pondhatch.configuration._routes import RouteTable
from pondhatch.configuration._schema import (
    AccountPolicy,
    CallerBounds,
    ServiceSpec,
    TemplateSpec,
)
from pondhatch.configuration._validation import Misfit


class ConfigurationEntries(msgspec.Struct, frozen=True):
    """All entries at one version. Immutable."""

    version: int = 0
    service_by_name: dict[str, ServiceSpec] = msgspec.field(default_factory=dict)
    routes: RouteTable = msgspec.field(default_factory=RouteTable)
    #: Limits on what callers send; None leaves them to the settings of each router.
    caller_bounds: CallerBounds | None = None
    template_by_name: dict[str, TemplateSpec] = msgspec.field(default_factory=dict)
    policy_by_account: dict[str, AccountPolicy] = msgspec.field(default_factory=dict)
    account_by_key_hash: dict[str, str] = msgspec.field(default_factory=dict)
    #: Entries as written, encoded as JSON, including invalid ones.
    raw_by_entry: dict[EntryKey, bytes] = msgspec.field(default_factory=dict)
    #: Entries that are not applied, or only in part, each with the reasons.
    misfits_by_entry: Mapping[EntryKey, tuple[Misfit, ...]] = msgspec.field(default_factory=dict)
    #: Hash of all entries as written, independent of the edits that led to them.
    fingerprint: int = 0

    def is_fully_applied(self, kind: str) -> bool:
        """Return whether every entry of a kind is applied in full."""
        return not any(entry_kind == kind for entry_kind, _ in self.misfits_by_entry)

    def account_of(self, key_hash: str) -> str | None:
        """Return the account that an API key's hash belongs to, or None."""
        return self.account_by_key_hash.get(key_hash)

    def entry(self, kind: str, name: str) -> Any:
        """Return an entry as written, as plain data. Raises KeyError if there is none."""
        return msgspec.json.decode(self.raw_by_entry[kind, name])

    def entry_or_none(self, kind: str, name: str) -> Any | None:
        """Return an entry as written, or None where there is none."""
        raw = self.raw_by_entry.get((kind, name))
        return msgspec.json.decode(raw) if raw is not None else None

    def service_of_model(self, model: str) -> str | None:
        """Return the service that serves a model name, or None."""
        for name, spec in self.service_by_name.items():
            if model in spec.models:
                return name
        return None
