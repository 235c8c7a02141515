"""The configuration in force: services, templates and accounts, checked as a whole."""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

import msgspec

from pondhatch.configuration._changes import KINDS, Change, Edit, Snapshot
from pondhatch.configuration._fit import Misfit, fit
from pondhatch.configuration._routes import RouteTable
from pondhatch.configuration._schema import (
    AccountPolicy,
    AccountSpec,
    CallerBounds,
    RouteSpec,
    ServiceSpec,
    TemplateSpec,
)
from pondhatch.configuration._templates import check_template, fill_in

Spec = TypeVar("Spec", ServiceSpec, RouteSpec, CallerBounds, TemplateSpec, AccountSpec)

#: Name of the one entry that bounds what callers may send.
CALLER_BOUNDS = "callers"

#: Changes kept in memory for peers that are a little behind.
KEPT_CHANGES = 512

EntryKey = tuple[str, str]


@dataclass(frozen=True)
class Rejected:
    """A change does not pass its check; nothing of it is in force."""

    #: Misfits by (kind, name) of the entry.
    misfits: tuple[tuple[EntryKey, Misfit], ...]
    #: The version that was offered; 0 where it is not known.
    version: int = 0

    def __str__(self) -> str:
        return "; ".join(
            f"{kind} {name}: {'.'.join(map(str, misfit.path))}: {misfit.expected}"
            for (kind, name), misfit in self.misfits
        )


@dataclass(frozen=True)
class Gap:
    """A change does not follow the version in force; the ones between are missing."""

    in_force: int
    offered: int


@dataclass(frozen=True)
class Fleet:
    """A configuration as of one version. Never changed in place."""

    version: int = 0
    service_by_name: dict[str, ServiceSpec] = field(default_factory=dict)
    routes: RouteTable = field(default_factory=RouteTable)
    #: What callers may send; None where the settings of each router say so.
    caller_bounds: CallerBounds | None = None
    template_by_name: dict[str, TemplateSpec] = field(default_factory=dict)
    policy_by_account: dict[str, AccountPolicy] = field(default_factory=dict)
    account_by_key_hash: dict[str, str] = field(default_factory=dict)
    #: Entries as written, encoded as JSON, by (kind, name).
    raw_by_entry: dict[EntryKey, bytes] = field(default_factory=dict)
    recent: tuple[Change, ...] = ()

    def account_of(self, key_hash: str) -> str | None:
        """Return the account an API key's hash belongs to, or None."""
        account = self.account_by_key_hash.get(key_hash)
        if account is None:
            return None
        spec = self.account_spec(account)
        if not any(hmac.compare_digest(key_hash, known) for known in spec.key_hashes):
            return None
        return account

    def account_spec(self, account: str) -> AccountSpec:
        """Return an account as written. Raises KeyError for an unknown one."""
        return _fitted(AccountSpec, self.entry("account", account))

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
        return edited._followed_by(change)

    def voided(self, change: Change) -> Fleet:
        """Return the configuration after a rejected change: a version on, nothing else.

        Every router voids the same change, so a bad one never holds up the log.
        """
        return self._followed_by(change)

    def _followed_by(self, change: Change) -> Fleet:
        recent = (*self.recent, change)[-KEPT_CHANGES:]
        return replace(self, version=change.version, recent=recent)

    def with_edits(self, edits: Iterable[Edit]) -> Fleet | Rejected:
        """Return the configuration with edits taken in, at the same version."""
        return _Editor(self, tuple(edits)).run()

    def replaced_by(self, whole: Snapshot) -> Fleet | Rejected:
        """Return the configuration that a snapshot holds; only what differs is checked anew."""
        encoded = {
            (edit.kind, edit.name): (edit, msgspec.json.encode(edit.value)) for edit in whole.edits
        }
        edits = [edit for key, (edit, raw) in encoded.items() if self.raw_by_entry.get(key) != raw]
        edits += [Edit(kind, name) for kind, name in self.raw_by_entry.keys() - encoded.keys()]
        edited = self.with_edits(edits)
        if isinstance(edited, Rejected):
            return edited
        return replace(edited, version=whole.version, recent=())

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> Fleet | Rejected:
        """Return the configuration that a snapshot holds."""
        edited = cls().with_edits(snapshot.edits)
        if isinstance(edited, Rejected):
            return edited
        return replace(edited, version=snapshot.version)


def _fitted(shape: type[Spec], data: Any) -> Spec:
    fitted = fit(shape, data)
    if not isinstance(fitted, shape):
        raise ValueError(f"an entry in force no longer fits {shape.__name__}: {fitted}")
    return fitted


def _bounds_of(fleet: Fleet) -> dict[str, CallerBounds]:
    return {CALLER_BOUNDS: fleet.caller_bounds} if fleet.caller_bounds is not None else {}


class _Editor:
    """Checks edits on top of a configuration; only entries they touch are checked anew."""

    def __init__(self, base: Fleet, edits: tuple[Edit, ...]) -> None:
        self._edits = edits
        self._raw = dict(base.raw_by_entry)
        self._services = dict(base.service_by_name)
        self._routes = dict(base.routes.by_name)
        self._bounds = dict(_bounds_of(base))
        self._templates = dict(base.template_by_name)
        self._policies = dict(base.policy_by_account)
        self._account_by_key_hash = dict(base.account_by_key_hash)
        self._base = base
        self._misfits: list[tuple[EntryKey, Misfit]] = []
        #: Templates that are wrong themselves; their accounts are not blamed for it.
        self._wrong_templates: set[str] = set()

    def run(self) -> Fleet | Rejected:
        for edit in self._edits:
            self._write(edit)
        for edit in self._edits:
            if edit.kind == "service":
                self._set_spec(edit, ServiceSpec, self._services)
            if edit.kind == "route":
                self._set_spec(edit, RouteSpec, self._routes)
            if edit.kind == "bounds":
                self._set_spec(edit, CallerBounds, self._bounds)
        for edit in self._edits:
            if edit.kind == "template":
                self._set_template(edit)
        accounts = self._accounts_touched()
        for account in accounts:
            self._forget_keys(account)
        for account in accounts:
            self._set_account(account)
        self._check_claims()
        if self._misfits:
            return Rejected(tuple(self._misfits))
        routes = self._base.routes
        return replace(
            self._base,
            service_by_name=self._services,
            routes=routes if self._routes == routes.by_name else RouteTable.of(self._routes),
            caller_bounds=self._bounds.get(CALLER_BOUNDS),
            template_by_name=self._templates,
            policy_by_account=self._policies,
            account_by_key_hash=self._account_by_key_hash,
            raw_by_entry=self._raw,
        )

    def _write(self, edit: Edit) -> None:
        if edit.kind not in KINDS:
            self._note(edit.kind, edit.name, Misfit((), "unknown kind of entry"))
            return
        key = (edit.kind, edit.name)
        if edit.value is None:
            self._raw.pop(key, None)
            return
        self._raw[key] = msgspec.json.encode(edit.value)

    def _set_spec(self, edit: Edit, shape: type[Spec], table: dict[str, Spec]) -> Spec | None:
        table.pop(edit.name, None)
        if edit.value is None:
            return None
        spec = fit(shape, edit.value)
        if isinstance(spec, tuple):
            for misfit in spec:
                self._note(edit.kind, edit.name, misfit)
            return None
        table[edit.name] = spec
        return spec

    def _set_template(self, edit: Edit) -> None:
        template = self._set_spec(edit, TemplateSpec, self._templates)
        if template is None:
            return
        misfits = check_template(template)
        for misfit in misfits:
            self._note("template", edit.name, misfit)
        if misfits:
            self._wrong_templates.add(edit.name)

    def _accounts_touched(self) -> tuple[str, ...]:
        """Return edited accounts, and all accounts where a shared entry was edited."""
        edited = {edit.name for edit in self._edits if edit.kind == "account"}
        removed_service = any(edit.kind == "service" and edit.value is None for edit in self._edits)
        templates = {edit.name for edit in self._edits if edit.kind == "template"}
        if templates or removed_service:
            edited |= {
                name for name in self._policies if self._shares(name, templates, removed_service)
            }
        return tuple(sorted(edited))

    def _shares(self, account: str, templates: set[str], all_of_them: bool) -> bool:
        if all_of_them:
            return True
        raw = self._raw.get(("account", account))
        return raw is not None and msgspec.json.decode(raw).get("template") in templates

    def _forget_keys(self, account: str) -> None:
        self._policies.pop(account, None)
        if ("account", account) not in self._base.raw_by_entry:
            return
        for key_hash in self._base.account_spec(account).key_hashes:
            if self._account_by_key_hash.get(key_hash) == account:
                del self._account_by_key_hash[key_hash]

    def _set_account(self, account: str) -> None:
        raw = self._raw.get(("account", account))
        if raw is None:
            return
        spec = fit(AccountSpec, msgspec.json.decode(raw))
        if not isinstance(spec, AccountSpec):
            for misfit in spec:
                self._note("account", account, misfit)
            return
        if spec.template in self._wrong_templates:
            return
        template = self._templates.get(spec.template)
        if template is None:
            known = ", ".join(sorted(self._templates)) or "none"
            wrong = f"undefined template {spec.template!r}; expected one of: {known}"
            self._note("account", account, Misfit(("template",), wrong))
            return
        policy = fill_in(spec, template, self._services)
        if not isinstance(policy, AccountPolicy):
            for misfit in policy:
                self._note("account", account, misfit)
            return
        self._policies[account] = policy
        for at, key_hash in enumerate(spec.key_hashes):
            self._claim_key(account, at, key_hash)

    def _claim_key(self, account: str, at: int, key_hash: str) -> None:
        other = self._account_by_key_hash.setdefault(key_hash, account)
        if other != account:
            wrong = f"expected a key of its own, found that of account {other!r}"
            self._note("account", account, Misfit(("key_hashes", at), wrong))

    def _check_claims(self) -> None:
        """Check that no two services or routes claim the same, and that each is reached."""
        routed = self._check_routes()
        claimed: dict[str, str] = {}
        for name, spec in sorted(self._services.items()):
            claims = [*spec.models, *([spec.prefix] if spec.prefix else [])]
            if not claims and name not in routed and not self._routes:
                self._note("service", name, Misfit((), "expected models, a prefix or a route"))
            for claim in claims:
                other = claimed.setdefault(claim, name)
                if other != name:
                    wrong = f"{claim!r} is already served by service {other!r}"
                    self._note("service", name, Misfit((), wrong))

    def _check_routes(self) -> set[str]:
        """Check that routes differ and lead to services; return the services they lead to."""
        routed: set[str] = set()
        claimed: dict[tuple[str, str], str] = {}
        for name, route in self._routes.items():
            other = claimed.setdefault((route.host.lower(), route.path_prefix), name)
            if other != name:
                wrong = f"expected a host and prefix of its own, found those of route {other!r}"
                self._note("route", name, Misfit(("path_prefix",), wrong))
            for at, target in enumerate(route.targets):
                if target.service not in self._services:
                    wrong = f"undefined service {target.service!r}"
                    self._note("route", name, Misfit(("targets", at, "service"), wrong))
            routed |= {target.service for target in route.targets}
        return routed

    def _note(self, kind: str, name: str, misfit: Misfit) -> None:
        self._misfits.append(((kind, name), misfit))
