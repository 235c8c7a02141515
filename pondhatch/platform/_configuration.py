"""The operator's configuration, which the platform's store holds as one object."""

from __future__ import annotations

import hashlib
from typing import Any, Literal

import msgspec

from pondhatch.configuration import CALLER_BOUNDS, Edit, ServiceDefaults, Snapshot

#: Templates of the accounts, which say all but their priority by themselves.
OWN_PRIORITY = "own-priority"
ROUTE_PRIORITY = "route-priority"
#: The platform sets accounts no rates; these stand for "no limit".
NO_RATE = 100_000.0
NO_COUNT = 1_000_000

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
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] | None = None


def decode_configuration(value: Any, defaults: ServiceDefaults) -> Snapshot:
    """Return the operator's configuration as entries. Raises msgspec.ValidationError."""
    wire = msgspec.convert(value, _Configuration)
    names = tuple(service.name for service in wire.services)
    edits = [Edit("service", each.name, _service(each, defaults)) for each in wire.services]
    edits += [Edit("route", each.name, _route(each, wire.tenants)) for each in wire.routes]
    if wire.limits is not None:
        edits.append(Edit("bounds", CALLER_BOUNDS, _bounds(wire.limits)))
    tenants = [each for each in wire.tenants or () if each.api_keys]
    if tenants:
        edits += [_template(OWN_PRIORITY, names), _template(ROUTE_PRIORITY, names)]
    edits += [Edit("account", each.name, _account(each)) for each in tenants]
    return Snapshot(wire.version, tuple(edits))


def _service(service: _Service, defaults: ServiceDefaults) -> dict[str, Any]:
    return {
        "kind": "plain" if service.engine_id is None else "model",
        "load_bound": defaults.load_bound,
        "load_slack": defaults.load_slack,
        "shares_context": service.engine_id is not None and service.engine_id.moves,
    }


def _route(route: _Route, tenants: tuple[_Tenant, ...] | None) -> dict[str, Any]:
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
        "most_tries": route.max_attempts,
        "priority": route.priority,
        # Without accounts, nobody has a key.
        "public": route.public or tenants is None,
        "keeps_context": route.sticky,
    }


def _bounds(limits: _Limits) -> dict[str, Any]:
    return {
        "header_bytes": limits.max_header_bytes,
        "body_bytes": limits.max_body_bytes,
        "header_seconds": limits.header_timeout_ms / 1000,
        "idle_seconds": limits.idle_timeout_ms / 1000,
    }


def _template(name: str, services: tuple[str, ...]) -> Edit:
    account: dict[str, Any] = {
        "services": list(services),
        "requests_per_second": NO_RATE,
        "burst": NO_COUNT,
        "concurrency": NO_COUNT,
        "priority": None,
    }
    if name == ROUTE_PRIORITY:
        return Edit("template", name, {"account": account})
    account["priority"] = "$priority"
    return Edit(
        "template", name, {"account": account, "parameters": {"priority": {"type": "integer"}}}
    )


def _account(tenant: _Tenant) -> dict[str, Any]:
    # The keys themselves go no further than this.
    hashes = [hashlib.sha256(key.encode()).hexdigest() for key in tenant.api_keys]
    if tenant.priority is None:
        return {"template": ROUTE_PRIORITY, "key_hashes": hashes}
    parameters = {"priority": tenant.priority}
    return {"template": OWN_PRIORITY, "key_hashes": hashes, "parameters": parameters}
