"""The operator's configuration, which the platform's store holds as one object."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Generic, Literal, TypeVar

import msgspec

from pondhatch.configuration import CALLER_BOUNDS, UNREADABLE, Edit, ServiceDefaults, Snapshot

#: Templates of the accounts, which say all but their priority by themselves.
OWN_PRIORITY = "own-priority"
ROUTE_PRIORITY = "route-priority"
#: The platform sets accounts no rates; these stand for "no limit".
NO_RATE = 100_000.0
NO_COUNT = 1_000_000

#: Ends of the product's scale of priorities.
MOST_URGENT = 0
LEAST_URGENT = 9

#: How often a route's requests may run, by the platform's word for its type.
REPEATS_BY_TYPE = {"idempotent": "any", "non_idempotent": "never", "streaming": "never"}
STREAMING = "streaming"
RouteType = Literal["idempotent", "non_idempotent", "streaming"]


class _Wire(msgspec.Struct, rename="pascal", frozen=True):
    """Base of all parts."""


class _Backend(_Wire, frozen=True):
    service: str
    weight: float = 1.0


class _Route(_Wire, frozen=True):
    name: str
    host: str
    path_prefix: str
    type: RouteType
    #: The longest that a request may be held.
    timeout_ms: float
    #: The first event of a stream, or the whole answer, is due within this.
    target_latency_ms: float
    priority: int = 5
    #: The one service, or None where ``backends`` share the requests.
    service: str | None = None
    backends: tuple[_Backend, ...] | None = None
    #: Engines that one request may be sent to.
    max_attempts: int = 1
    #: Whether callers need no key.
    public: bool = False
    #: Whether prompts share parts, so that the engine matters.
    sticky: bool = False
    #: Whether a broken stream may go on at another engine.
    resumable: bool = False
    #: The longest pause between two events of a stream that is in time.
    itl_target_ms: float = 0.0


class _EngineKind(_Wire, frozen=True):
    #: Whether engines copy what they hold of a prompt to each other.
    moves: bool = False


class _Service(_Wire, frozen=True):
    name: str
    #: What the engines of a service for models are like; not an id, whatever its name says.
    engine_id: _EngineKind | None = None


class _Limits(_Wire, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(_Wire, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Configuration(_Wire, frozen=True):
    """The whole; its entries are read one by one, so that none holds up another."""

    version: int
    routes: tuple[Any, ...] = ()
    services: tuple[Any, ...] = ()
    limits: Any = None
    tenants: tuple[Any, ...] | None = None


Entry = TypeVar("Entry", _Service, _Route, _Tenant)


class _Entries(Generic[Entry]):
    """The entries of one kind that can be read, by name, and those that cannot."""

    def __init__(self, kind: str, shape: type[Entry], values: Iterable[Any]) -> None:
        self.by_name: dict[str, Entry] = {}
        self.unreadable: list[Edit] = []
        for at, value in enumerate(values):
            try:
                entry = msgspec.convert(value, shape)
            except msgspec.ValidationError as error:
                self.unreadable.append(_unreadable(kind, at, value, str(error)))
                continue
            if self.by_name.setdefault(entry.name, entry) is not entry:
                reason = "another one has its name"
                self.unreadable.append(_unreadable(kind, at, value, reason))

    def __iter__(self) -> Iterator[tuple[str, Entry]]:
        return iter(self.by_name.items())


def decode_configuration(value: Any, defaults: ServiceDefaults) -> Snapshot:
    """Return the operator's configuration as entries, unreadable ones as such.

    Raises msgspec.ValidationError where the whole is no configuration.
    """
    wire = msgspec.convert(value, _Configuration)
    services = _Entries("service", _Service, wire.services)
    routes = _Entries("route", _Route, wire.routes)
    tenants = _Entries("account", _Tenant, wire.tenants or ())
    edits = [Edit("service", name, _service(each, defaults)) for name, each in services]
    edits += [Edit("route", name, _route(each, wire.tenants is None)) for name, each in routes]
    edits += _bounds(wire.limits)
    # A tenant without keys is nobody's account.
    accounts = [Edit("account", name, _account(each)) for name, each in tenants if each.api_keys]
    edits += [*_templates(tuple(services.by_name)), *accounts] if accounts else []
    edits += [*services.unreadable, *routes.unreadable, *tenants.unreadable]
    return Snapshot(wire.version, tuple(edits))


def _unreadable(kind: str, at: int, value: Any, reason: str) -> Edit:
    """Return an entry that cannot be read, with what can be, for it holds its place."""
    fields = value if isinstance(value, Mapping) else {}
    known = {"host": fields.get("Host"), "path_prefix": fields.get("PathPrefix")}
    entry: dict[str, Any] = {name: each for name, each in known.items() if isinstance(each, str)}
    name = fields.get("Name")
    # Numbered, for its name may be another's, or none.
    unique = f"{name if isinstance(name, str) else ''}#{at}"
    return Edit(kind, unique, {**entry, UNREADABLE: reason})


def _service(service: _Service, defaults: ServiceDefaults) -> dict[str, Any]:
    return {
        "kind": "plain" if service.engine_id is None else "model",
        "load_bound": defaults.load_bound,
        "load_slack": defaults.load_slack,
        "shares_context": service.engine_id is not None and service.engine_id.moves,
    }


def _route(route: _Route, nobody_has_keys: bool) -> dict[str, Any]:
    backends = route.backends or (_Backend(route.service or ""),)
    streams = route.type == STREAMING
    repeats = "resumed" if streams and route.resumable else REPEATS_BY_TYPE[route.type]
    return {
        "host": route.host,
        "path_prefix": route.path_prefix,
        "targets": [{"service": each.service, "weight": each.weight} for each in backends],
        "repeats": repeats,
        "streams": streams,
        "timeout": route.timeout_ms / 1000,
        "objective": route.target_latency_ms / 1000,
        "longest_pause": route.itl_target_ms / 1000,
        # Whoever is sent anywhere is sent to one engine at least.
        "most_tries": max(1, route.max_attempts),
        "priority": _rank(route.priority),
        "public": route.public or nobody_has_keys,
        "keeps_context": route.sticky,
    }


def _rank(priority: int) -> int:
    """Return a priority on the product's scale; the platform's goes on beyond its end."""
    return min(max(priority, MOST_URGENT), LEAST_URGENT)


def _bounds(value: Any) -> list[Edit]:
    """Return what callers may send, where the operator says so."""
    if value is None:
        return []
    try:
        limits = msgspec.convert(value, _Limits)
    except msgspec.ValidationError as error:
        return [Edit("bounds", CALLER_BOUNDS, {UNREADABLE: str(error)})]
    bounds = {
        "header_bytes": limits.max_header_bytes,
        "body_bytes": limits.max_body_bytes,
        "header_seconds": limits.header_timeout_ms / 1000,
        "idle_seconds": limits.idle_timeout_ms / 1000,
    }
    return [Edit("bounds", CALLER_BOUNDS, bounds)]


def _templates(services: tuple[str, ...]) -> list[Edit]:
    account: dict[str, Any] = {
        "services": list(services),
        "requests_per_second": NO_RATE,
        "burst": NO_COUNT,
        "concurrency": NO_COUNT,
        "priority": None,
    }
    own: dict[str, Any] = {
        "account": {**account, "priority": "$priority"},
        "parameters": {"priority": {"type": "integer"}},
    }
    return [
        Edit("template", OWN_PRIORITY, own),
        Edit("template", ROUTE_PRIORITY, {"account": account}),
    ]


def _account(tenant: _Tenant) -> dict[str, Any]:
    # The keys themselves go no further than this.
    hashes = [hashlib.sha256(key.encode()).hexdigest() for key in tenant.api_keys]
    if tenant.priority is None:
        return {"template": ROUTE_PRIORITY, "key_hashes": hashes}
    parameters = {"priority": _rank(tenant.priority)}
    return {"template": OWN_PRIORITY, "key_hashes": hashes, "parameters": parameters}
