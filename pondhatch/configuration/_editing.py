"""Applies edits to a configuration; validates the edited entries and those that depend on them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import msgspec
import xxhash
from msgspec.structs import replace

from pondhatch.configuration._account_editor import AccountEditor
from pondhatch.configuration._changes import ENTRY_KINDS, UNREADABLE_KEY, Edit, EntryKey
from pondhatch.configuration._cross_checks import check_services, readable_route_key, usable_routes
from pondhatch.configuration._entries import ConfigurationEntries
from pondhatch.configuration._misfit_collector import MisfitCollector
from pondhatch.configuration._routes import RouteTable
from pondhatch.configuration._schema import (
    AccountSpec,
    CallerBounds,
    RouteSpec,
    ServiceSpec,
    TemplateSpec,
)
from pondhatch.configuration._templates import check_template
from pondhatch.configuration._validation import Misfit, validate

#: The kind of configuration that is edited; the result is of the same kind.
Entries = TypeVar("Entries", bound=ConfigurationEntries)

Spec = TypeVar("Spec", ServiceSpec, RouteSpec, CallerBounds, TemplateSpec)

Schema = TypeVar("Schema")

#: Name of the only entry of kind "bounds", which limits what callers may send.
CALLER_BOUNDS = "callers"


class EditResult(msgspec.Struct, Generic[Entries], frozen=True):
    """A configuration after edits, still with the version before them."""

    #: Holds every valid entry, and the valid part of those that are invalid in part.
    configuration: Entries
    #: Each misfit with the entry that causes it: of two entries that conflict, the edited one.
    causes: tuple[tuple[EntryKey, Misfit], ...]


def apply_edits(base: Entries, edits: Iterable[Edit]) -> EditResult[Entries]:
    """Apply edits to a configuration.

    The result depends on the entries only, not on the edits that led to them: entries with
    misfits are validated again each time, and of two conflicting entries the one whose name
    sorts first wins.
    """
    return _Editor(base, tuple(edits)).run()


class _Editor(Generic[Entries]):
    """Applies edits to a configuration; validates only the entries that they affect."""

    def __init__(self, base: Entries, edits: tuple[Edit, ...]) -> None:
        self._base = base
        self._edited_entries = {(edit.kind, edit.name) for edit in edits}
        self._edits = (*edits, *self._entries_to_recheck())
        self._raw = dict(base.raw_by_entry)
        self._fingerprint = base.fingerprint
        self._services = dict(base.service_by_name)
        self._routes = dict(base.routes.by_name)
        bounds = base.caller_bounds
        self._bounds = {CALLER_BOUNDS: bounds} if bounds is not None else {}
        self._templates = dict(base.template_by_name)
        self._misfits = MisfitCollector()
        self._accounts = AccountEditor(
            base.policy_by_account, base.account_by_key_hash, self._misfits
        )
        #: Templates with misfits of their own, which are not attributed to the accounts using them.
        self._invalid_templates: set[str] = set()

    def run(self) -> EditResult[Entries]:
        for edit in self._edits:
            self._store_entry(edit)
        self._apply_all("service", lambda edit: self._apply_spec(edit, ServiceSpec, self._services))
        self._apply_all("route", lambda edit: self._apply_spec(edit, RouteSpec, self._routes))
        self._apply_all("bounds", lambda edit: self._apply_spec(edit, CallerBounds, self._bounds))
        self._apply_all("template", self._apply_template)
        accounts = self._affected_accounts()
        for account in accounts:
            self._accounts.remove(account, self._base.raw_by_entry.get(("account", account)))
        for account in accounts:
            self._apply_account(account)
        if self._affects("route", "service"):
            # Misfits of routes depend on routes and services only, and checking 1,700 routes
            # takes 6 ms.
            self._routes = usable_routes(self._routes, self._services, self._misfits)
        check_services(self._services, self._routes, self._misfits)
        return EditResult(self._result_configuration(), tuple(self._misfits.causes))

    def _result_configuration(self) -> Entries:
        return replace(
            self._base,
            # Sorted, so that every router finds the same one of two services with one model.
            service_by_name=dict(sorted(self._services.items())),
            routes=self._route_table(),
            caller_bounds=self._bounds.get(CALLER_BOUNDS),
            template_by_name=self._templates,
            policy_by_account=self._accounts.policies,
            account_by_key_hash=self._accounts.account_by_key_hash,
            raw_by_entry=self._raw,
            fingerprint=self._fingerprint,
            misfits_by_entry={key: tuple(found) for key, found in self._misfits.by_entry.items()},
        )

    def _route_table(self) -> RouteTable:
        """Return the route table; an unusable route keeps its host and path prefix.

        Otherwise its requests would fall back to a route with a shorter prefix, and so reach a
        service that the operator did not choose for them.
        """
        unusable_keys = [
            readable_route_key(msgspec.json.decode(self._raw[kind, name]))
            for kind, name in self._misfits.by_entry
            if kind == "route" and name not in self._routes
        ]
        unusable = frozenset(key for key in unusable_keys if key is not None)
        before = self._base.routes
        if self._routes == before.by_name and unusable == before.unusable:
            return before
        return RouteTable.of(self._routes, unusable)

    # -- entries as written -------------------------------------------------

    def _entries_to_recheck(self) -> list[Edit]:
        """Return unedited entries that have misfits; the edits may resolve these."""
        entries = self._base.misfits_by_entry.keys() - self._edited_entries
        return [Edit(*key, self._base.entry(*key)) for key in sorted(entries)]

    def _store_entry(self, edit: Edit) -> None:
        key = (edit.kind, edit.name)
        before = self._raw.pop(key, None)
        if before is not None:
            self._fingerprint ^= _fingerprint(key, before)
        if edit.value is None:
            return
        # Kept even if invalid here: a router with a newer release may be able to use it.
        self._raw[key] = msgspec.json.encode(edit.value)
        self._fingerprint ^= _fingerprint(key, self._raw[key])
        if edit.kind not in ENTRY_KINDS:
            self._misfits.add(edit.kind, edit.name, Misfit((), "unknown kind of entry"))

    def _affects(self, *kinds: str) -> bool:
        """Return whether an entry of these kinds is set, removed or validated again."""
        return any(edit.kind in kinds for edit in self._edits)

    def _apply_all(self, kind: str, apply_one: Callable[[Edit], object]) -> None:
        for edit in self._edits:
            if edit.kind == kind:
                apply_one(edit)

    def _apply_spec(self, edit: Edit, schema: type[Spec], table: dict[str, Spec]) -> Spec | None:
        table.pop(edit.name, None)
        if edit.value is None:
            return None
        spec = self._validate_entry(edit.kind, edit.name, schema, edit.value)
        if spec is not None:
            table[edit.name] = spec
        return spec

    def _validate_entry(
        self, kind: str, name: str, schema: type[Schema], value: Any
    ) -> Schema | None:
        """Return an entry converted to its schema, or None if invalid; record its misfits."""
        reason = value.get(UNREADABLE_KEY) if isinstance(value, dict) else None
        if reason is None:
            validated = validate(schema, value)
        else:
            self._misfits.add(kind, name, Misfit((), str(reason)))
            readable_fields = {key: each for key, each in value.items() if key != UNREADABLE_KEY}
            validated = validate(schema, readable_fields)
        if isinstance(validated, schema):
            return validated
        if reason is None and isinstance(validated, tuple):
            self._misfits.add_all(kind, name, validated)
        return None

    def _apply_template(self, edit: Edit) -> None:
        template = self._apply_spec(edit, TemplateSpec, self._templates)
        if template is None:
            return
        misfits = check_template(template)
        self._misfits.add_all("template", edit.name, misfits)
        if misfits:
            self._invalid_templates.add(edit.name)

    # -- accounts -----------------------------------------------------------

    def _affected_accounts(self) -> tuple[str, ...]:
        """Return the edited accounts, and those that depend on an edited template.

        Where a service is removed, all accounts are returned.
        """
        edited = {edit.name for edit in self._edits if edit.kind == "account"}
        service_removed = any(edit.kind == "service" and edit.value is None for edit in self._edits)
        templates = {edit.name for edit in self._edits if edit.kind == "template"}
        if templates or service_removed:
            edited |= {
                name
                for name in self._accounts.policies
                if self._depends_on(name, templates, service_removed)
            }
        return tuple(sorted(edited))

    def _depends_on(self, account: str, templates: set[str], service_removed: bool) -> bool:
        if service_removed:
            return True
        raw = self._raw.get(("account", account))
        return raw is not None and msgspec.json.decode(raw).get("template") in templates

    def _apply_account(self, account: str) -> None:
        raw = self._raw.get(("account", account))
        if raw is None:
            return
        spec = self._validate_entry("account", account, AccountSpec, msgspec.json.decode(raw))
        template = self._usable_template(account, spec) if spec is not None else None
        if spec is not None and template is not None:
            self._accounts.set(account, spec, template, self._services)

    def _usable_template(self, account: str, spec: AccountSpec) -> TemplateSpec | None:
        """Return an account's template; record a misfit and return None if it is unusable."""
        if spec.template in self._invalid_templates:
            expected = f"template {spec.template!r} cannot be used"
            self._misfits.add_affected("account", account, Misfit(("template",), expected))
            return None
        template = self._templates.get(spec.template)
        if template is None:
            known = ", ".join(sorted(self._templates)) or "none"
            expected = f"undefined template {spec.template!r}; expected one of: {known}"
            self._misfits.add("account", account, Misfit(("template",), expected))
        return template


def _fingerprint(key: EntryKey, raw: bytes) -> int:
    """Return the hash of one entry; a configuration's fingerprint is the XOR of all of them."""
    return xxhash.xxh64_intdigest(raw, seed=xxhash.xxh32_intdigest("\0".join(key).encode()))
