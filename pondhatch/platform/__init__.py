"""The adapter to the users' prepared machines: names, formats and calls; decides nothing."""

from __future__ import annotations

import functools
from typing import Any, ClassVar

from pondhatch.configuration import ConfigurationDocument, ConfigurationSource, ServiceDefaults
from pondhatch.kernel import REGISTRY, Plugin
from pondhatch.platform import _names as names
from pondhatch.platform._callers import ClientDialect
from pondhatch.platform._configuration import decode_configuration
from pondhatch.platform._engines import EngineDialect, decode_engine
from pondhatch.platform._store import PlatformStore
from pondhatch.router import UPSTREAM_KIND
from pondhatch.store import Platform
from pondhatch.transport import INTERFACE, HttpClient, StoreCalls

__all__ = ["PreparedMachines"]


@REGISTRY.register(INTERFACE, "prepared-machines")
class PreparedMachines(Plugin):
    """See Interface."""

    DEPENDENCIES: ClassVar[tuple[type[Any], ...]] = (HttpClient, ServiceDefaults)

    #: The platform lists no VMs; routers find each other by objects of their own.
    lists_vms = False
    reports_loads = False
    callers = ClientDialect()
    upstreams = EngineDialect()

    def store(self, url: str) -> Platform:
        """Return the platform's store."""
        calls = StoreCalls(self.view(HttpClient), url)
        return PlatformStore(calls, {UPSTREAM_KIND: (names.ENGINES_KIND, decode_engine)})

    def configuration(self, store: Platform) -> ConfigurationSource:
        """Return where the operator's configuration is read."""
        decode = functools.partial(decode_configuration, defaults=self.view(ServiceDefaults))
        return ConfigurationDocument(
            store, names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, decode
        )
