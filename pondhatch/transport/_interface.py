"""The protocols by which a router talks to callers, upstreams and the platform.

The built-in interface is one implementation; others adapt routers to an existing platform. The
settings name the one that a router uses.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Coroutine
from typing import Any, Protocol

import msgspec
from twisted.web.resource import Resource

from pondhatch.authority import EngineOrders
from pondhatch.configuration import CallerLimits, ConfigurationSource
from pondhatch.kernel import Tasks
from pondhatch.observing import Metrics, Records
from pondhatch.requests import Collaborators, UpstreamDialect
from pondhatch.router import RouterState, StartupWait
from pondhatch.store import Platform
from pondhatch.transport._store_calls import CALLS_PER_SECOND

#: Kind of the plug-ins that implement Interface.
INTERFACE = "interface"


class CallerDependencies(msgspec.Struct, frozen=True):
    """The components that a handler of callers' requests uses."""

    state: RouterState
    collaborators: Collaborators
    #: Returns the callers' limits of the settings in force.
    limits: Callable[[], CallerLimits]
    metrics: Metrics
    records: Records
    tasks: Tasks
    rng: random.Random
    #: Holds requests for a bounded time while the router starts.
    startup_wait: StartupWait


class Callers(Protocol):
    """Serves callers' requests."""

    #: False once a stopping router refuses new requests.
    accepts_requests: bool

    @property
    def in_flight(self) -> int:
        """Unfinished requests, which a stopping router waits for."""

    def resource(self) -> Resource:
        """Return the resource to be served by a site."""


class Interface(Protocol):
    """The protocols of a router towards callers, upstreams and the platform."""

    #: Whether the platform lists the routers' VMs; if not, each router adds itself to the list.
    lists_vms: bool
    upstreams: UpstreamDialect
    orders: EngineOrders

    def store(self, url: str, calls_per_second: float = CALLS_PER_SECOND) -> Platform:
        """Return the platform's object API, with a limit of its own on this router's calls."""

    def configuration(self, store: Platform) -> ConfigurationSource:
        """Return the source of the fleet's configuration."""

    def callers(self, dependencies: CallerDependencies) -> Callers:
        """Return the server of callers' requests."""

    def asks_for_load_management(self, rules: Collection[str]) -> bool:
        """Return whether the platform's rules in force, by name, ask for load management."""

    def poll_loads(self, state: RouterState) -> Coroutine[Any, Any, None] | None:
        """Return a coroutine that polls owned engines' load, or None if it is not polled."""
