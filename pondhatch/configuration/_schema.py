"""The schemas of services, routes, templates and accounts.

Sizes and rates are validated here, and nowhere else. A field has a bound only where values
beyond it cannot be served; values that are merely unusual are accepted.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from pondhatch.configuration._validation import NAME_PATTERN

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
KeyHash = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Scalar = bool | int | float | str

Role = Literal["combined", "prefill", "decode"]
#: Names of regions. An empty list is rejected, since it would allow no region at all.
RegionNames = Annotated[tuple[Annotated[str, Meta(min_length=1)], ...], Meta(min_length=1)]


class OrdersSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The model that the engines of a service are to hold, whatever they held before."""

    model: str
    #: Version of the model's weights.
    version: Annotated[int, Meta(ge=1)]
    adapters: tuple[str, ...] = ()
    role: Role = "combined"
    #: Roles of single engines by engine name; others have ``role``.
    role_by_engine: dict[Name, Role] = msgspec.field(default_factory=dict)
    #: Engines that may be busy with an order at the same time.
    at_once: Annotated[int, Meta(ge=1, le=1000)] = 1


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service: a group of equivalent upstreams that requests are routed to."""

    kind: Literal["model", "plain"]
    #: Model names that callers use; for kind "model".
    models: tuple[str, ...] = ()
    #: Path prefix in callers' requests; for kind "plain".
    prefix: Annotated[str, Meta(pattern=r"^/[a-z0-9-]+/$")] | None = None
    #: Maximum load of one engine, as a multiple of the service's mean load.
    load_bound: Annotated[float, Meta(gt=1.0, le=10.0)] = 1.25
    #: Requests that any engine may carry above that multiple. In a nearly idle service the
    #: multiple of a small mean would move chats away from their context without need.
    load_slack: Annotated[int, Meta(ge=0, le=1000)] = 0
    #: Maximum number of requests that one engine handles at once, whatever the mean load.
    engine_slots: Annotated[int, Meta(ge=1, le=100_000)] = 128
    #: Seconds that a returning chat waits for the engine with its context before it uses another.
    context_wait: Annotated[float, Meta(ge=0.0, le=10.0)] = 0.2
    #: Seconds that a request waits while every engine is full, before it is refused.
    queue_wait: Annotated[float, Meta(ge=0.0, le=60.0)] = 2.0
    #: HTTP methods whose requests may run more than once; for kind "plain".
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    #: Seconds that a request may take in total.
    deadline: Annotated[float, Meta(ge=1.0, le=3600.0)] = 120.0
    #: Requests per second that a cold upstream of the service can take; None if as many as a
    #: warm one.
    cold_pace: Annotated[float, Meta(gt=0)] | None = None
    #: Whether its engines can fetch contexts from each other on request.
    shares_context: bool = False
    #: Tokens that fit in the memory of one engine; None if unknown.
    engine_tokens: Annotated[int, Meta(ge=1)] | None = None
    #: Upstreams that an operator drains; they get no new requests.
    leaving: tuple[str, ...] = ()
    #: The model that its engines are ordered to hold; for kind "model".
    orders: OrdersSpec | None = None
    #: Maximum number of idle connections that the whole fleet keeps to one engine while load is
    #: managed; None for no limit.
    max_connections: Annotated[int, Meta(ge=1)] | None = None


class RouteTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of the services among which a route's requests are divided."""

    service: str
    #: Its share relative to the other targets of the route; 0 means no requests.
    weight: Annotated[float, Meta(ge=0)] = 1.0


#: Whether a request of a route may run more than once; see ``RouteSpec.repeats``.
Repeats = Literal["any", "resumed", "never"]


class RouteSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules for requests under one host and path prefix."""

    host: Annotated[str, Meta(min_length=1)]
    #: Begins and ends with a slash; the longest prefix that matches a path is used.
    path_prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")]
    targets: Annotated[tuple[RouteTarget, ...], Meta(min_length=1)]
    #: "any": may run more than once; "resumed": a broken stream may be resumed at another
    #: engine; "never": runs at most once.
    repeats: Repeats = "never"
    #: Whether responses are streams of server-sent events.
    streams: bool = False
    #: Seconds that a request may take in total.
    timeout: Annotated[float, Meta(gt=0)] = 120.0
    #: Latency objective, in seconds, for a response or the first event of a stream.
    objective: Annotated[float, Meta(gt=0)] = 1.0
    #: Maximum seconds between two events of a stream within its objective; 0 if not specified.
    longest_pause: Annotated[float, Meta(ge=0)] = 0.0
    #: Maximum number of engines that one request may be sent to.
    most_tries: Annotated[int, Meta(ge=1)] = 1
    #: 0 is served first, 9 last; an account's own priority takes precedence.
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    #: Whether it serves callers without an API key.
    public: bool = False
    #: Whether its requests return to the engine that holds their context.
    keeps_context: bool = False
    #: Regions whose upstreams may run its requests; None for all regions.
    regions: RegionNames | None = None


class CallerBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what callers send, for the whole fleet."""

    #: Bytes of all headers of a request together. None, here and in the other fields, leaves
    #: the limit to the settings of each router.
    header_bytes: Annotated[int, Meta(ge=1)] | None = None
    body_bytes: Annotated[int, Meta(ge=0)] | None = None
    #: Seconds within which a request's head must arrive in full.
    header_seconds: Annotated[float, Meta(gt=0)] | None = None
    #: Seconds that a connection may be idle.
    idle_seconds: Annotated[float, Meta(gt=0)] | None = None


class ParameterSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A parameter of a template, to which each account gives a value."""

    type: Literal["integer", "number", "string", "boolean"]
    description: str = ""
    default: Scalar | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[Scalar, ...] = ()


class TemplateSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A template: the fields of an account policy, with parameters in place of some values."""

    #: The fields of the AccountPolicy; a value "$name" stands for a parameter.
    account: dict[str, Any]
    parameters: dict[Name, ParameterSpec] = msgspec.field(default_factory=dict)


class AccountSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account: a template, values for its parameters, and API keys."""

    template: str
    #: SHA-256 of each API key, in hex. There is no upper bound: a lookup takes less than 1 us
    #: with 16 keys and with 5,000, and a bound would reject accounts that are accepted already.
    key_hashes: Annotated[tuple[KeyHash, ...], Meta(min_length=1)]
    parameters: dict[Name, Scalar] = msgspec.field(default_factory=dict)


class AccountPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The policy of an account, made by filling in its template."""

    #: Services that the account may use.
    services: Annotated[tuple[str, ...], Meta(min_length=1)]
    requests_per_second: Annotated[float, Meta(gt=0, le=100_000)]
    burst: Annotated[int, Meta(ge=1, le=1_000_000)]
    #: Maximum number of requests in flight at once, fleet-wide.
    concurrency: Annotated[int, Meta(ge=1, le=1_000_000)]
    #: 0 is served first, 9 last; None leaves it to the route.
    priority: Annotated[int, Meta(ge=0, le=9)] | None = 5
    #: Share relative to other accounts when a service is full.
    weight: Annotated[float, Meta(gt=0, le=100)] = 1.0
    #: Regions whose upstreams may run its requests, and whose routers may store the responses;
    #: None for all regions. Where a route names regions too, both restrictions apply.
    regions: RegionNames | None = None


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One file of services, routes, templates and accounts."""

    services: dict[Name, ServiceSpec] = msgspec.field(default_factory=dict)
    routes: dict[Name, RouteSpec] = msgspec.field(default_factory=dict)
    templates: dict[Name, TemplateSpec] = msgspec.field(default_factory=dict)
    accounts: dict[Name, AccountSpec] = msgspec.field(default_factory=dict)
