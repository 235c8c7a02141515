"""The adapter to the platform of the interface "prepared-machines": names, formats and calls.

It makes no decisions.
"""

from __future__ import annotations

from collections.abc import Collection, Coroutine
from typing import Any, ClassVar

from pondhatch.configuration import ConfigurationDocument, ConfigurationSource, ServiceDefaults
from pondhatch.kernel import REGISTRY, Plugin
from pondhatch.platform import _names as names
from pondhatch.platform._callers import PlatformCallerDialect
from pondhatch.platform._configuration import ConfigurationReader
from pondhatch.platform._engines import (
    EngineDialect,
    NoOrders,
    decode_engine,
    decode_evacuation,
)
from pondhatch.platform._store import PlatformStore
from pondhatch.router import EVACUATION_KIND, UPSTREAM_KIND, RouterState
from pondhatch.store import Platform
from pondhatch.transport import (
    CALLS_PER_SECOND,
    INTERFACE,
    CallerDependencies,
    Callers,
    HttpClient,
    RoutedCallers,
    StoreCalls,
)

__all__ = ["PreparedMachines"]


@REGISTRY.register(INTERFACE, "prepared-machines")
class PreparedMachines(Plugin):
    """See Interface."""

    DEPENDENCIES: ClassVar[tuple[type[Any], ...]] = (HttpClient, ServiceDefaults)

    #: The platform lists no VMs; routers find each other through objects that they write.
    lists_vms = False
    upstreams = EngineDialect()
    orders = NoOrders()

    def store(self, url: str, calls_per_second: float = CALLS_PER_SECOND) -> Platform:
        """Return the platform's store, with a limit of its own on this router's calls."""
        calls = StoreCalls(self.view(HttpClient), url, calls_per_second)
        decode_by_kind = {
            UPSTREAM_KIND: (names.ENGINES_KIND, decode_engine),
            EVACUATION_KIND: (names.EVACUATIONS_KIND, decode_evacuation),
        }
        return PlatformStore(calls, decode_by_kind)

    def configuration(self, store: Platform) -> ConfigurationSource:
        """Return the source of the operator's configuration."""
        reader = ConfigurationReader(self.view(ServiceDefaults))
        return ConfigurationDocument(
            store, names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, reader.decode
        )

    def callers(self, dependencies: CallerDependencies) -> Callers:
        """Return the handler of callers' requests by the operator's routes."""
        return RoutedCallers(dependencies, PlatformCallerDialect())

    def asks_for_load_management(self, rules: Collection[str]) -> bool:
        """Return whether the rules in force include those for callers competing for capacity."""
        return names.CONTENTION_RULE in rules

    def poll_loads(self, state: RouterState) -> Coroutine[Any, Any, None] | None:
        """Return None: the platform would charge each poll as a health check."""
        return None
