"""The built-in interface: the OpenAI-compatible API, plain HTTP services and an object API.

The object API is that of the platform, over HTTP and JSON.
"""

from __future__ import annotations

from collections.abc import Collection, Coroutine
from typing import Any, ClassVar

from pondhatch.configuration import ChangeLog, ConfigurationSource
from pondhatch.kernel import REGISTRY, Plugin
from pondhatch.router import RouterState
from pondhatch.standard._callers import OpenAiCallers
from pondhatch.standard._limited_agent import limited_agent
from pondhatch.standard._limited_content import ContentTooLong, read_content
from pondhatch.standard._loads import poll_loads
from pondhatch.standard._orders import HttpEngineOrders
from pondhatch.standard._platform import HttpPlatform
from pondhatch.standard._upstreams import OpenAiUpstreams
from pondhatch.store import Platform
from pondhatch.transport import CALLS_PER_SECOND, INTERFACE, CallerDependencies, Callers

__all__ = [
    "ContentTooLong",
    "HttpEngineOrders",
    "HttpPlatform",
    "OpenAiInterface",
    "limited_agent",
    "read_content",
]


@REGISTRY.register(INTERFACE, "openai")
class OpenAiInterface(Plugin):
    """The built-in interface; see Interface."""

    DEPENDENCIES: ClassVar[tuple[type[Any], ...]] = ()

    lists_vms = True
    upstreams = OpenAiUpstreams()
    orders = HttpEngineOrders()

    def store(self, url: str, calls_per_second: float = CALLS_PER_SECOND) -> Platform:
        """Return the platform's object API over HTTP and JSON, which limits no calls."""
        return HttpPlatform(url)

    def configuration(self, store: Platform) -> ConfigurationSource:
        """Return the change log that holds the configuration."""
        return ChangeLog(store)

    def callers(self, dependencies: CallerDependencies) -> Callers:
        """Return the handler of requests to the OpenAI-compatible API."""
        return OpenAiCallers(dependencies)

    def asks_for_load_management(self, rules: Collection[str]) -> bool:
        """Return False: no rule of this platform asks for load management."""
        return False

    def poll_loads(self, state: RouterState) -> Coroutine[Any, Any, None] | None:
        """Return the coroutine that polls owned engines for their load."""
        return poll_loads(state)
