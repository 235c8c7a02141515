"""Taking edits into a configuration: each entry they touch is checked, and what it depends on."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from pondhatch.configuration._changes import KINDS, UNREADABLE, Edit, EntryKey
from pondhatch.configuration._fit import Misfit, fit
from pondhatch.configuration._routes import Place, RouteTable
from pondhatch.configuration._schema import (
    AccountPolicy,
    AccountSpec,
    CallerBounds,
    RouteSpec,
    ServiceSpec,
    TemplateSpec,
)
from pondhatch.configuration._templates import check_template, fill_in, undefined_services

if TYPE_CHECKING:
    from pondhatch.configuration._fleet import Fleet

Spec = TypeVar("Spec", ServiceSpec, RouteSpec, CallerBounds, TemplateSpec)

Shape = TypeVar("Shape")

#: Prefix of all paths of a host.
WHOLE_HOST = "/"
#: Name of the one entry that bounds what callers may send.
CALLER_BOUNDS = "callers"


@dataclass(frozen=True)
class Edited:
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
        self._services = dict(base.service_by_name)
        self._routes = dict(base.routes.by_name)
        bounds = base.caller_bounds
        self._bounds = {CALLER_BOUNDS: bounds} if bounds is not None else {}
        self._templates = dict(base.template_by_name)
        self._policies = dict(base.policy_by_account)
        self._account_by_key_hash = dict(base.account_by_key_hash)
        self._misfits: dict[EntryKey, list[Misfit]] = {}
        self._blamed: list[tuple[EntryKey, Misfit]] = []
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
            self._forget_keys(account)
        for account in accounts:
            self._set_account(account)
        self._check_claims(self._check_routes())
        return Edited(self._fleet(), tuple(self._blamed))

    def _fleet(self) -> Fleet:
        return replace(
            self._base,
            # Sorted, so that of two that claim the same the same one is found everywhere.
            service_by_name=dict(sorted(self._services.items())),
            routes=self._route_table(),
            caller_bounds=self._bounds.get(CALLER_BOUNDS),
            template_by_name=self._templates,
            policy_by_account=self._policies,
            account_by_key_hash=self._account_by_key_hash,
            raw_by_entry=self._raw,
            misfits_by_entry={key: tuple(found) for key, found in self._misfits.items()},
        )

    def _route_table(self) -> RouteTable:
        """Return the routes; one that cannot be used keeps its place.

        Its requests would go to the route of a shorter prefix else, and to a service that the
        operator never meant for them.
        """
        places = [
            _place(msgspec.json.decode(self._raw[kind, name]))
            for kind, name in self._misfits
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
        if edit.value is None:
            self._raw.pop(key, None)
            return
        # Kept even if it cannot be used: routers that come later may know better.
        self._raw[key] = msgspec.json.encode(edit.value)
        if edit.kind not in KINDS:
            self._note(edit.kind, edit.name, Misfit((), "unknown kind of entry"))

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
            self._note(kind, name, Misfit((), str(reason)))
            rest = {key: each for key, each in value.items() if key != UNREADABLE}
            fitted = fit(shape, rest)
        if isinstance(fitted, shape):
            return fitted
        if reason is None and isinstance(fitted, tuple):
            self._note_all(kind, name, fitted)
        return None

    def _set_template(self, edit: Edit) -> None:
        template = self._set_spec(edit, TemplateSpec, self._templates)
        if template is None:
            return
        misfits = check_template(template)
        self._note_all("template", edit.name, misfits)
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
        for key_hash in _key_hashes(self._base.raw_by_entry.get(("account", account))):
            if self._account_by_key_hash.get(key_hash) == account:
                del self._account_by_key_hash[key_hash]

    def _set_account(self, account: str) -> None:
        raw = self._raw.get(("account", account))
        if raw is None:
            return
        spec = self._read("account", account, AccountSpec, msgspec.json.decode(raw))
        if spec is None:
            return
        policy = self._policy(account, spec)
        if not isinstance(policy, AccountPolicy):
            self._note_all("account", account, policy)
            return
        self._note_all("account", account, undefined_services(policy, self._services))
        defined = tuple(each for each in policy.services if each in self._services)
        self._policies[account] = replace(policy, services=defined)
        for at, key_hash in enumerate(spec.key_hashes):
            self._claim_key(account, at, key_hash)

    def _policy(self, account: str, spec: AccountSpec) -> AccountPolicy | tuple[Misfit, ...]:
        if spec.template in self._wrong_templates:
            wrong = Misfit(("template",), f"template {spec.template!r} cannot be used")
            self._misfits.setdefault(("account", account), []).append(wrong)
            return ()
        template = self._templates.get(spec.template)
        if template is None:
            known = ", ".join(sorted(self._templates)) or "none"
            wrong_name = f"undefined template {spec.template!r}; expected one of: {known}"
            return (Misfit(("template",), wrong_name),)
        return fill_in(spec, template)

    def _claim_key(self, account: str, at: int, key_hash: str) -> None:
        other = self._account_by_key_hash.get(key_hash, account)
        winner, loser = sorted((account, other))
        self._account_by_key_hash[key_hash] = winner
        if winner == loser:
            return
        wrong = Misfit(("key_hashes", at), _another_key(other))
        if loser == account:
            self._note("account", account, wrong)
            return
        self._misfits.setdefault(("account", loser), []).append(
            Misfit(("key_hashes",), _another_key(winner))
        )
        self._blamed.append((("account", account), wrong))

    # -- what stands once for several ---------------------------------------

    def _check_routes(self) -> set[str]:
        """Leave out routes that cannot be used; return the services that the others lead to.

        Of two at one place, the one whose name sorts first stays. A target whose service is
        not there is left out, and a route with no other as well.
        """
        routed: set[str] = set()
        claimed: dict[tuple[str, str], str] = {}
        for name, route in sorted(self._routes.items()):
            other = claimed.setdefault((route.host.lower(), route.path_prefix), name)
            if other != name:
                wrong = f"expected a host and prefix of its own, found those of route {other!r}"
                self._note("route", name, Misfit(("path_prefix",), wrong))
                del self._routes[name]
                continue
            self._keep_defined_targets(name, route)
            routed |= {target.service for target in route.targets}
        return routed

    def _keep_defined_targets(self, name: str, route: RouteSpec) -> None:
        for at, target in enumerate(route.targets):
            if target.service not in self._services:
                wrong = f"undefined service {target.service!r}"
                self._note("route", name, Misfit(("targets", at, "service"), wrong))
        defined = tuple(each for each in route.targets if each.service in self._services)
        if not defined:
            del self._routes[name]
        elif defined != route.targets:
            self._routes[name] = replace(route, targets=defined)

    def _check_claims(self, routed: set[str]) -> None:
        """Check that no two services claim the same, and that each is reached."""
        claimed: dict[str, str] = {}
        for name, spec in sorted(self._services.items()):
            claims = [*spec.models, *([spec.prefix] if spec.prefix else [])]
            if not claims and name not in routed and not self._routes:
                # Harmless where it was accepted; whoever writes it is told.
                unreached = Misfit((), "expected models, a prefix or a route")
                self._blamed.append((("service", name), unreached))
            for claim in claims:
                other = claimed.setdefault(claim, name)
                if other != name:
                    wrong = f"{claim!r} is already served by service {other!r}"
                    self._note("service", name, Misfit((), wrong))

    def _note_all(self, kind: str, name: str, misfits: Iterable[Misfit]) -> None:
        for misfit in misfits:
            self._note(kind, name, misfit)

    def _note(self, kind: str, name: str, misfit: Misfit) -> None:
        key = (kind, name)
        self._misfits.setdefault(key, []).append(misfit)
        self._blamed.append((key, misfit))


def _key_hashes(raw: bytes | None) -> list[str]:
    """Return the hashes of an account's keys as written, whatever else it says."""
    value = msgspec.json.decode(raw) if raw is not None else None
    hashes = value.get("key_hashes") if isinstance(value, dict) else None
    return [each for each in hashes if isinstance(each, str)] if isinstance(hashes, list) else []


def _place(value: Any) -> Place | None:
    """Return the place that a route would have, as far as it can be read."""
    if not isinstance(value, dict) or not isinstance(host := value.get("host"), str):
        return None
    prefix = value.get("path_prefix")
    if not isinstance(prefix, str):
        return host, WHOLE_HOST
    # Prefixes are looked up from slash to slash.
    inner = prefix.strip("/")
    return host, f"/{inner}/" if inner else WHOLE_HOST


def _another_key(other: str) -> str:
    return f"expected a key of its own, found that of account {other!r}"
