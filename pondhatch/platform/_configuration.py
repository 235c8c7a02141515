"""The operator's configuration, which the platform's store holds as one object."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, ClassVar, Literal

import msgspec

from pondhatch.configuration import (
    CALLER_BOUNDS,
    UNREADABLE_KEY,
    Edit,
    RegionNames,
    ServiceDefaults,
    Snapshot,
)
from pondhatch.platform._entries import (
    EditCache,
    Entries,
    NamedEntry,
    WireStruct,
    read_entry,
    with_problems,
)

#: Account templates. Accounts of the first state their own priority, and those of the second
#: have the priority of the route.
OWN_PRIORITY = "own-priority"
ROUTE_PRIORITY = "route-priority"
#: Precedes, in a template's name, the regions to which its accounts are restricted.
_REGIONS_MARK = "-in-"
#: The platform sets no rates for accounts; these stand for "no limit".
UNLIMITED_RATE = 100_000.0
UNLIMITED_COUNT = 1_000_000

#: Ends of pondhatch's scale of priorities.
MOST_URGENT = 0
LEAST_URGENT = 9

#: How often a route's requests may run, by the platform's name of the route's type.
REPEATS_BY_TYPE = {"idempotent": "any", "non_idempotent": "never", "streaming": "never"}
STREAMING = "streaming"
RouteType = Literal["idempotent", "non_idempotent", "streaming"]


class _Backend(WireStruct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(NamedEntry, frozen=True):
    RESTRICTIONS: ClassVar[frozenset[str]] = frozenset({"allowed_regions"})

    host: str
    path_prefix: str
    type: RouteType
    #: Milliseconds for which a request may be held at most; 0 if not configured.
    timeout_ms: float = 0.0
    #: Milliseconds within which the first event of a stream, or the whole answer, is due; 0 if
    #: not configured.
    target_latency_ms: float = 0.0
    priority: int = 5
    #: The only service, or None if ``backends`` share the requests.
    service: str | None = None
    backends: tuple[_Backend, ...] | None = None
    #: Maximum number of engines to which one request is sent.
    max_attempts: int = 1
    #: Whether callers need no key.
    public: bool = False
    #: Whether prompts share parts, so that the choice of engine matters.
    sticky: bool = False
    #: Whether a broken stream may be resumed at another engine.
    resumable: bool = False
    #: Longest pause between two events of a stream that counts as in time, in milliseconds.
    itl_target_ms: float = 0.0
    #: None if its requests may run anywhere.
    allowed_regions: RegionNames | None = None


class _Service(NamedEntry, frozen=True):
    #: Properties of the engines of a service for models; despite its name, not an id.
    engine_id: Any = None
    #: Requests a second that a cold engine handles; 0 if engines are never cold.
    cold_per_s: float = 0.0
    #: Maximum number of the fleet's connections to one engine; 0 if not configured.
    max_connections: int = 0


class _EngineProperties(WireStruct, frozen=True):
    #: Whether engines copy the prompt context that they hold to each other.
    moves: bool = False
    #: Tokens that the memory of one engine holds; 0 if not configured.
    kv_capacity_tokens: int = 0


class _Limits(WireStruct, frozen=True):
    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


class _Tenant(NamedEntry, frozen=True):
    RESTRICTIONS: ClassVar[frozenset[str]] = frozenset({"allowed_regions"})

    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    #: None if its requests may run anywhere.
    allowed_regions: RegionNames | None = None


class _Configuration(WireStruct, frozen=True):
    """The whole configuration; its entries are read later, each independently of the others."""

    version: int
    routes: tuple[Any, ...] | None = None
    services: tuple[Any, ...] | None = None
    limits: Any = None
    tenants: tuple[Any, ...] | None = None


class ConfigurationReader:
    """Reads the operator's configuration each time that it changes."""

    def __init__(self, defaults: ServiceDefaults) -> None:
        self._defaults = defaults
        #: One cache for configurations with keys and one for those without, in which routes are
        #: converted differently.
        self._cache_by_has_keys = {True: EditCache(), False: EditCache()}

    def decode(self, value: Any) -> Snapshot:
        """Return the configuration as entries, with unreadable ones marked.

        Raises msgspec.ValidationError if the value as a whole is no configuration.
        """
        wire = msgspec.convert(value, _Configuration)
        has_keys = wire.tenants is not None
        cache = self._cache_by_has_keys[has_keys]
        services = Entries("service", _Service, lambda each: _service(each, self._defaults), cache)
        services.add(wire.services)
        routes = Entries("route", _Route, lambda each: _route(each, not has_keys), cache)
        routes.add(wire.routes)
        tenants = Entries("account", _Tenant, _account, cache)
        # No caller can use the account of a tenant without keys.
        tenants.add(each for each in wire.tenants or () if _has_keys(each))
        cache.end_document()
        templates = _templates(tuple(services.edit_by_name), tenants.edits)
        edits = [*services.edits, *routes.edits, *_bounds(wire.limits), *templates, *tenants.edits]
        return Snapshot(wire.version, tuple(edits))


def decode_configuration(value: Any, defaults: ServiceDefaults) -> Snapshot:
    """Return one configuration as entries; see ConfigurationReader."""
    return ConfigurationReader(defaults).decode(value)


def _has_keys(tenant: Any) -> bool:
    return not isinstance(tenant, Mapping) or tenant.get("ApiKeys") not in (None, [], ())


def _service(service: _Service, defaults: ServiceDefaults) -> dict[str, Any]:
    raw_engine = service.engine_id
    engine = (
        read_entry(_EngineProperties, raw_engine).entry
        if isinstance(raw_engine, Mapping)
        else _EngineProperties()
    )
    stated = {
        "max_connections": service.max_connections,
        "engine_tokens": engine.kv_capacity_tokens,
    }
    return {
        "kind": "plain" if raw_engine is None else "model",
        "load_bound": defaults.load_bound,
        "load_slack": defaults.load_slack,
        "shares_context": engine.moves,
        "cold_pace": service.cold_per_s if service.cold_per_s > 0 else None,
        # Omitted if not configured, so that routers that do not know them yet accept the service.
        **{name: number for name, number in stated.items() if number > 0},
    }


def _route(route: _Route, nobody_has_keys: bool) -> dict[str, Any]:
    backends = route.backends or (_Backend(route.service or ""),)
    streams = route.type == STREAMING
    repeats = "resumed" if streams and route.resumable else REPEATS_BY_TYPE[route.type]
    times = {"timeout": route.timeout_ms, "objective": route.target_latency_ms}
    return {
        "host": route.host,
        "path_prefix": route.path_prefix,
        "targets": [{"service": each.service, "weight": each.weight} for each in backends],
        "repeats": repeats,
        "streams": streams,
        **{name: ms / 1000 for name, ms in times.items() if ms > 0},
        "longest_pause": max(0.0, route.itl_target_ms / 1000),
        # A request that is sent at all is sent to at least one engine.
        "most_tries": max(1, route.max_attempts),
        "priority": _clamp_priority(route.priority),
        "public": route.public or nobody_has_keys,
        "keeps_context": route.sticky,
        "regions": _list_or_none(route.allowed_regions),
    }


def _list_or_none(regions: tuple[str, ...] | None) -> list[str] | None:
    return None if regions is None else list(regions)


def _clamp_priority(priority: int) -> int:
    """Clamp a priority to pondhatch's scale; the platform's scale extends beyond it."""
    return min(max(priority, MOST_URGENT), LEAST_URGENT)


def _bounds(value: Any) -> list[Edit]:
    """Return the operator's bounds on what callers may send, none if there are none."""
    if value is None:
        return []
    try:
        result = read_entry(_Limits, value)
    except msgspec.ValidationError as error:
        return [Edit("bounds", CALLER_BOUNDS, {UNREADABLE_KEY: str(error)})]
    limits = result.entry
    times = {"header_seconds": limits.header_timeout_ms, "idle_seconds": limits.idle_timeout_ms}
    bounds: dict[str, Any] = {
        "header_bytes": limits.max_header_bytes,
        "body_bytes": limits.max_body_bytes,
        **{name: ms / 1000 if ms else None for name, ms in times.items()},
    }
    return [Edit("bounds", CALLER_BOUNDS, with_problems(bounds, result.problems))]


def _templates(services: tuple[str, ...], accounts: Iterable[Edit]) -> list[Edit]:
    """Return the templates of accounts, a pair for each list of regions that accounts name."""
    template_names = [(each.value or {}).get("template", "") for each in accounts]
    region_suffixes = sorted({name.partition(_REGIONS_MARK)[2] for name in template_names if name})
    return [
        edit
        for region_suffix in region_suffixes
        for edit in _templates_for(services, region_suffix)
    ]


def _templates_for(services: tuple[str, ...], region_suffix: str) -> list[Edit]:
    """Return both templates for accounts that are restricted to the same regions."""
    account: dict[str, Any] = {
        "services": list(services),
        "requests_per_second": UNLIMITED_RATE,
        "burst": UNLIMITED_COUNT,
        "concurrency": UNLIMITED_COUNT,
        "priority": None,
        "regions": _decode_region_suffix(region_suffix),
    }
    own_priority: dict[str, Any] = {
        "account": {**account, "priority": "$priority"},
        "parameters": {"priority": {"type": "integer"}},
    }
    return [
        Edit("template", _template_name(OWN_PRIORITY, region_suffix), own_priority),
        Edit("template", _template_name(ROUTE_PRIORITY, region_suffix), {"account": account}),
    ]


def _template_name(base: str, region_suffix: str) -> str:
    return f"{base}{_REGIONS_MARK}{region_suffix}" if region_suffix else base


def _region_suffix(regions: tuple[str, ...] | None) -> str:
    """Encode regions as the end of a template's name; names of regions may hold any characters."""
    return "" if regions is None else msgspec.json.encode(regions).hex()


def _decode_region_suffix(region_suffix: str) -> list[str] | None:
    regions: list[str] | None = (
        msgspec.json.decode(bytes.fromhex(region_suffix)) if region_suffix else None
    )
    return regions


def _account(tenant: _Tenant) -> dict[str, Any]:
    if not tenant.name.isprintable():
        # The name is sent to engines in a header, which cannot hold a line break.
        return {UNREADABLE_KEY: "Name: expected one that can stand in a header"}
    # Only their hashes leave this function, never the keys themselves.
    hashes = [hashlib.sha256(key.encode()).hexdigest() for key in tenant.api_keys]
    region_suffix = _region_suffix(tenant.allowed_regions)
    if tenant.priority is None:
        return {"template": _template_name(ROUTE_PRIORITY, region_suffix), "key_hashes": hashes}
    return {
        "template": _template_name(OWN_PRIORITY, region_suffix),
        "key_hashes": hashes,
        "parameters": {"priority": _clamp_priority(tenant.priority)},
    }
