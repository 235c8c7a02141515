"""The schemas of templates, services and accounts.

Sizes and rates are checked here so that no other part need do so again. A bound stands here
only where what lies beyond it cannot be served; what is merely unusual is taken as it is.
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
#: Names of regions. An empty list would say that nothing may run, which nobody means.
RegionNames = Annotated[tuple[Annotated[str, Meta(min_length=1)], ...], Meta(min_length=1)]


class OrdersSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the engines of a service are to hold; whatever they held before."""

    model: str
    #: Version of the model's weights.
    version: Annotated[int, Meta(ge=1)]
    adapters: tuple[str, ...] = ()
    role: Role = "combined"
    #: Roles of single engines, by their name.
    role_by_engine: dict[Name, Role] = msgspec.field(default_factory=dict)
    #: Engines that may be busy with an order at the same time.
    at_once: Annotated[int, Meta(ge=1, le=1000)] = 1


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service: a group of like upstreams that requests are routed to."""

    kind: Literal["model", "plain"]
    #: Model names that callers use; for kind "model".
    models: tuple[str, ...] = ()
    #: First part of the callers' path; for kind "plain".
    prefix: Annotated[str, Meta(pattern=r"^/[a-z0-9-]+/$")] | None = None
    #: No engine carries more than this multiple of the service's mean load.
    load_bound: Annotated[float, Meta(gt=1.0, le=10.0)] = 1.25
    #: Requests above that multiple that any engine may carry: near an empty service the
    #: multiple of a small mean would send chats away from their context for nothing.
    load_slack: Annotated[int, Meta(ge=0, le=1000)] = 0
    #: Requests that one engine can take at once, whatever the mean.
    engine_slots: Annotated[int, Meta(ge=1, le=100_000)] = 128
    #: Seconds that a returning chat waits for its engine before it goes to another.
    context_wait: Annotated[float, Meta(ge=0.0, le=10.0)] = 0.2
    #: Seconds that a request waits where every engine is full, before it is refused.
    queue_wait: Annotated[float, Meta(ge=0.0, le=60.0)] = 2.0
    #: Methods whose requests may run twice; for kind "plain".
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    #: Seconds that a request may take in all.
    deadline: Annotated[float, Meta(ge=1.0, le=3600.0)] = 120.0
    #: Requests a second that one of its upstreams bears while it is cold; None where it bears
    #: what it bears when it is warm.
    cold_pace: Annotated[float, Meta(gt=0)] | None = None
    #: Whether its engines take contexts over from each other when they are told to.
    shares_context: bool = False
    #: Tokens that the memory of one engine holds; None where that is not known.
    engine_tokens: Annotated[int, Meta(ge=1)] | None = None
    #: Upstreams that an operator wants emptied; they get no new work.
    leaving: tuple[str, ...] = ()
    #: What its engines are ordered to hold; for kind "model".
    orders: OrdersSpec | None = None
    #: Connections that the fleet keeps to one engine while load is managed; None where nobody
    #: says how many.
    max_connections: Annotated[int, Meta(ge=1)] | None = None


class RouteTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of the services that share a route's requests."""

    service: str
    #: Its share against the other targets of the route; 0 gives it nothing.
    weight: Annotated[float, Meta(ge=0)] = 1.0


#: How often a route's requests may run.
Repeats = Literal["any", "resumed", "never"]


class RouteSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests under one host and path prefix, and what holds for them."""

    host: Annotated[str, Meta(min_length=1)]
    #: Begins and ends with a slash; of those that fit a path, the longest decides.
    path_prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")]
    targets: Annotated[tuple[RouteTarget, ...], Meta(min_length=1)]
    #: "any": may run more than once; "resumed": a broken stream may go on at another
    #: engine; "never": runs at most once.
    repeats: Repeats = "never"
    #: Whether answers are streams of events.
    streams: bool = False
    #: Seconds that a request may be held in all.
    timeout: Annotated[float, Meta(gt=0)] = 120.0
    #: Seconds within which an answer, or a stream's first event, is in time.
    objective: Annotated[float, Meta(gt=0)] = 1.0
    #: Seconds between two events of a stream that is still in time; 0 where nobody says.
    longest_pause: Annotated[float, Meta(ge=0)] = 0.0
    #: Engines that one request may be sent to at most.
    most_tries: Annotated[int, Meta(ge=1)] = 1
    #: 0 is served first, 9 last; an account's own priority goes before it.
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    #: Whether it serves callers without a key.
    public: bool = False
    #: Whether its requests return to the engine that holds their context.
    keeps_context: bool = False
    #: Regions whose upstreams may run its requests; None where any may.
    regions: RegionNames | None = None


class CallerBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What callers may send, as the configuration in force says it."""

    #: Bytes of all headers of a request together. As for the others, None leaves it to the
    #: settings of each router.
    header_bytes: Annotated[int, Meta(ge=1)] | None = None
    body_bytes: Annotated[int, Meta(ge=0)] | None = None
    #: Seconds for a request's head to come in full.
    header_seconds: Annotated[float, Meta(gt=0)] | None = None
    #: Seconds for which a connection may stand idle.
    idle_seconds: Annotated[float, Meta(gt=0)] | None = None


class ParameterSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A parameter that a template asks each account for."""

    type: Literal["integer", "number", "string", "boolean"]
    description: str = ""
    default: Scalar | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[Scalar, ...] = ()


class TemplateSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A template: the body of an account with parameters in it."""

    #: The account's fields; a value "$name" stands for a parameter.
    account: dict[str, Any]
    parameters: dict[Name, ParameterSpec] = msgspec.field(default_factory=dict)


class AccountSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account: a template filled in."""

    template: str
    #: SHA-256 of the API keys, in hex, as many as the operator gives: a look-up takes below
    #: 1 us with 16 and with 5,000, and a bound here would hold an accepted account back.
    key_hashes: Annotated[tuple[KeyHash, ...], Meta(min_length=1)]
    parameters: dict[Name, Scalar] = msgspec.field(default_factory=dict)


class AccountPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds for an account once its template is filled in."""

    #: Services that the account may use.
    services: Annotated[tuple[str, ...], Meta(min_length=1)]
    requests_per_second: Annotated[float, Meta(gt=0, le=100_000)]
    burst: Annotated[int, Meta(ge=1, le=1_000_000)]
    #: Requests in flight at once, fleet-wide.
    concurrency: Annotated[int, Meta(ge=1, le=1_000_000)]
    #: 0 is served first, 9 last; None leaves it to the route.
    priority: Annotated[int, Meta(ge=0, le=9)] | None = 5
    #: Share against other accounts when a service is full.
    weight: Annotated[float, Meta(gt=0, le=100)] = 1.0
    #: Regions whose upstreams may run its requests, and whose routers may keep their answers;
    #: None where any may. Where a route names regions as well, both bind.
    regions: RegionNames | None = None


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One file of services, templates and accounts."""

    services: dict[Name, ServiceSpec] = msgspec.field(default_factory=dict)
    routes: dict[Name, RouteSpec] = msgspec.field(default_factory=dict)
    templates: dict[Name, TemplateSpec] = msgspec.field(default_factory=dict)
    accounts: dict[Name, AccountSpec] = msgspec.field(default_factory=dict)
