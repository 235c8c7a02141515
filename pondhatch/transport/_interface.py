"""What a router speaks with callers, upstreams and the platform.

The product's own interface is one implementation, an adapter to a platform another; the
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

#: Kind of the plug-ins that implement Interface.
INTERFACE = "interface"


class CallerParts(msgspec.Struct, frozen=True):
    """What serving callers takes."""

    state: RouterState
    collaborators: Collaborators
    #: What callers may send, by the settings in force.
    limits: Callable[[], CallerLimits]
    metrics: Metrics
    records: Records
    tasks: Tasks
    rng: random.Random
    #: Holds requests for a moment while the router starts.
    startup_wait: StartupWait


class Callers(Protocol):
    """Serves callers' requests."""

    #: Whether a stopping router still takes requests.
    accepts_requests: bool

    @property
    def in_flight(self) -> int:
        """Requests that have not ended; a stopping router waits for them."""

    def resource(self) -> Resource:
        """Return what a site serves."""


class Interface(Protocol):
    """One way to be spoken to."""

    #: Whether the platform lists the VMs of routers; else they list themselves.
    lists_vms: bool
    upstreams: UpstreamDialect
    orders: EngineOrders

    def store(self, url: str) -> Platform:
        """Return the platform's object API."""

    def configuration(self, store: Platform) -> ConfigurationSource:
        """Return where the fleet's configuration is kept."""

    def callers(self, parts: CallerParts) -> Callers:
        """Return what serves callers."""

    def asks_for_load_management(self, rules: Collection[str]) -> bool:
        """Return whether the platform's rules in force, by its own names, ask for it."""

    def poll_loads(self, state: RouterState) -> Coroutine[Any, Any, None] | None:
        """Return what asks owned engines for their load, or None where nothing does."""
