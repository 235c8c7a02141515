"""Taking edits into a configuration: each entry they touch is checked, and what it depends on."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import xxhash
from msgspec.structs import replace

from pondhatch.configuration._account_editing import AccountEditing
from pondhatch.configuration._changes import KINDS, UNREADABLE, Edit, EntryKey
from pondhatch.configuration._claims import check_services, usable_routes, withheld_place
from pondhatch.configuration._fit import Misfit, fit
from pondhatch.configuration._misfit_notes import MisfitNotes
from pondhatch.configuration._routes import RouteTable
from pondhatch.configuration._schema import (
    AccountSpec,
    CallerBounds,
    RouteSpec,
    ServiceSpec,
    TemplateSpec,
)
from pondhatch.configuration._templates import check_template

if TYPE_CHECKING:
    from pondhatch.configuration._fleet import Fleet

Spec = TypeVar("Spec", ServiceSpec, RouteSpec, CallerBounds, TemplateSpec)

Shape = TypeVar("Shape")

#: Name of the one entry that bounds what callers may send.
CALLER_BOUNDS = "callers"


class Edited(msgspec.Struct, frozen=True):
    """A configuration after edits, at the version before them."""

    #: With every entry in force that can be used, or the part of it that can.
    fleet: Fleet
    #: What is wrong, with the entry to blame for it: of two that claim the same, the one that
    #: was edited.
    blamed: tuple[tuple[EntryKey, Misfit], ...]


def with_edits(base: Fleet, edits: Iterable[Edit]) -> Edited:
    """Take edits into a configuration.

    The same entries make the same configuration in whatever steps they came: what is not in
    force as it stands is checked anew each time, and of two that claim the same the one whose
    name sorts first has it.
    """
    return _Editor(base, tuple(edits)).run()


class _Editor:
    """Checks edits on top of a configuration; only entries they touch are checked anew."""

    def __init__(self, base: Fleet, edits: tuple[Edit, ...]) -> None:
        self._base = base
        self._edited = {(edit.kind, edit.name) for edit in edits}
        self._edits = (*edits, *self._still_wrong())
        self._raw = dict(base.raw_by_entry)
        self._fingerprint = base.fingerprint
        self._services = dict(base.service_by_name)
        self._routes = dict(base.routes.by_name)
        bounds = base.caller_bounds
        self._bounds = {CALLER_BOUNDS: bounds} if bounds is not None else {}
        self._templates = dict(base.template_by_name)
        self._notes = MisfitNotes()
        self._accounts = AccountEditing(
            base.policy_by_account, base.account_by_key_hash, self._notes
        )
        #: Templates that are wrong themselves; their accounts are not blamed for it.
        self._wrong_templates: set[str] = set()

    def run(self) -> Edited:
        for edit in self._edits:
            self._write(edit)
        self._set_all("service", lambda edit: self._set_spec(edit, ServiceSpec, self._services))
        self._set_all("route", lambda edit: self._set_spec(edit, RouteSpec, self._routes))
        self._set_all("bounds", lambda edit: self._set_spec(edit, CallerBounds, self._bounds))
        self._set_all("template", self._set_template)
        accounts = self._accounts_touched()
        for account in accounts:
            self._accounts.forget(account, self._base.raw_by_entry.get(("account", account)))
        for account in accounts:
            self._set_account(account)
        if self._touches("route", "service"):
            # What is wrong with a route depends on these alone, and going through all of them
            # costs 6 ms at 1,700.
            self._routes = usable_routes(self._routes, self._services, self._notes)
        check_services(self._services, self._routes, self._notes)
        return Edited(self._fleet(), tuple(self._notes.blamed))

    def _fleet(self) -> Fleet:
        return replace(
            self._base,
            # Sorted, so that of two that claim the same the same one is found everywhere.
            service_by_name=dict(sorted(self._services.items())),
            routes=self._route_table(),
            caller_bounds=self._bounds.get(CALLER_BOUNDS),
            template_by_name=self._templates,
            policy_by_account=self._accounts.policies,
            account_by_key_hash=self._accounts.account_by_key_hash,
            raw_by_entry=self._raw,
            fingerprint=self._fingerprint,
            misfits_by_entry={key: tuple(found) for key, found in self._notes.by_entry.items()},
        )

    def _route_table(self) -> RouteTable:
        """Return the routes; one that cannot be used keeps its place.

        Its requests would go to the route of a shorter prefix else, and to a service that the
        operator never meant for them.
        """
        places = [
            withheld_place(msgspec.json.decode(self._raw[kind, name]))
            for kind, name in self._notes.by_entry
            if kind == "route" and name not in self._routes
        ]
        withheld = frozenset(place for place in places if place is not None)
        before = self._base.routes
        if self._routes == before.by_name and withheld == before.withheld:
            return before
        return RouteTable.of(self._routes, withheld)

    # -- entries as written -------------------------------------------------

    def _still_wrong(self) -> list[Edit]:
        """Return entries that were not in force as they stand; they may be now."""
        wrong = self._base.misfits_by_entry.keys() - self._edited
        return [Edit(*key, self._base.entry(*key)) for key in sorted(wrong)]

    def _write(self, edit: Edit) -> None:
        key = (edit.kind, edit.name)
        before = self._raw.pop(key, None)
        if before is not None:
            self._fingerprint ^= _fingerprint(key, before)
        if edit.value is None:
            return
        # Kept even if it cannot be used: routers that come later may know better.
        self._raw[key] = msgspec.json.encode(edit.value)
        self._fingerprint ^= _fingerprint(key, self._raw[key])
        if edit.kind not in KINDS:
            self._notes.note(edit.kind, edit.name, Misfit((), "unknown kind of entry"))

    def _touches(self, *kinds: str) -> bool:
        """Return whether an entry of these kinds is set, removed or checked anew."""
        return any(edit.kind in kinds for edit in self._edits)

    def _set_all(self, kind: str, set_one: Callable[[Edit], object]) -> None:
        for edit in self._edits:
            if edit.kind == kind:
                set_one(edit)

    def _set_spec(self, edit: Edit, shape: type[Spec], table: dict[str, Spec]) -> Spec | None:
        table.pop(edit.name, None)
        if edit.value is None:
            return None
        spec = self._read(edit.kind, edit.name, shape, edit.value)
        if spec is not None:
            table[edit.name] = spec
        return spec

    def _read(self, kind: str, name: str, shape: type[Shape], value: Any) -> Shape | None:
        """Return an entry in its shape, or None where it cannot be used; note what is wrong."""
        reason = value.get(UNREADABLE) if isinstance(value, dict) else None
        if reason is None:
            fitted = fit(shape, value)
        else:
            self._notes.note(kind, name, Misfit((), str(reason)))
            rest = {key: each for key, each in value.items() if key != UNREADABLE}
            fitted = fit(shape, rest)
        if isinstance(fitted, shape):
            return fitted
        if reason is None and isinstance(fitted, tuple):
            self._notes.note_all(kind, name, fitted)
        return None

    def _set_template(self, edit: Edit) -> None:
        template = self._set_spec(edit, TemplateSpec, self._templates)
        if template is None:
            return
        misfits = check_template(template)
        self._notes.note_all("template", edit.name, misfits)
        if misfits:
            self._wrong_templates.add(edit.name)

    # -- accounts -----------------------------------------------------------

    def _accounts_touched(self) -> tuple[str, ...]:
        """Return edited accounts, and all accounts where a shared entry was edited."""
        edited = {edit.name for edit in self._edits if edit.kind == "account"}
        removed_service = any(edit.kind == "service" and edit.value is None for edit in self._edits)
        templates = {edit.name for edit in self._edits if edit.kind == "template"}
        if templates or removed_service:
            edited |= {
                name
                for name in self._accounts.policies
                if self._shares(name, templates, removed_service)
            }
        return tuple(sorted(edited))

    def _shares(self, account: str, templates: set[str], all_of_them: bool) -> bool:
        if all_of_them:
            return True
        raw = self._raw.get(("account", account))
        return raw is not None and msgspec.json.decode(raw).get("template") in templates

    def _set_account(self, account: str) -> None:
        raw = self._raw.get(("account", account))
        if raw is None:
            return
        spec = self._read("account", account, AccountSpec, msgspec.json.decode(raw))
        template = self._template(account, spec) if spec is not None else None
        if spec is not None and template is not None:
            self._accounts.set(account, spec, template, self._services)

    def _template(self, account: str, spec: AccountSpec) -> TemplateSpec | None:
        """Return an account's template, or None, noted, where it cannot be used."""
        if spec.template in self._wrong_templates:
            wrong = f"template {spec.template!r} cannot be used"
            self._notes.keep("account", account, Misfit(("template",), wrong))
            return None
        template = self._templates.get(spec.template)
        if template is None:
            known = ", ".join(sorted(self._templates)) or "none"
            wrong = f"undefined template {spec.template!r}; expected one of: {known}"
            self._notes.note("account", account, Misfit(("template",), wrong))
        return template


def _fingerprint(key: EntryKey, raw: bytes) -> int:
    """Return one entry's part of a configuration's fingerprint."""
    return xxhash.xxh64_intdigest(raw, seed=xxhash.xxh32_intdigest("\0".join(key).encode()))
