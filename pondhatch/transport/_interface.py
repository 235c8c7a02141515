"""What a router speaks with callers, upstreams and the platform.

The OpenAI-compatible interface is one implementation, an adapter to a platform another;
the settings name the one that a router uses.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, Protocol

from pondhatch.configuration import ChangeLog, ConfigurationSource
from pondhatch.kernel import REGISTRY, Plugin
from pondhatch.requests import Headers, Refusal, UpstreamDialect
from pondhatch.store import Platform
from pondhatch.transport._openai_upstreams import OpenAiUpstreams
from pondhatch.transport._platform import HttpPlatform

#: Kind of the plug-ins that implement Interface.
INTERFACE = "interface"


@dataclass(frozen=True)
class CallerFacts:
    """What a caller says about a routed request in its headers."""

    #: Its id for this attempt; empty where it gave none.
    caller_id: str
    #: Its API key, or None where it shows none.
    key: str | None
    #: Seconds that it waits for the answer, or None where it does not say.
    wait: float | None
    #: 64-bit key of the context that the request shares with others; 0 for none.
    context: int


class CallerDialect(Protocol):
    """Names and formats of routed requests; decides nothing."""

    def read(self, headers: Headers) -> CallerFacts:
        """Return what a caller says about its request."""

    def refusal_headers(self, refusal: Refusal) -> Headers:
        """Return the headers that explain a refusal."""


class Interface(Protocol):
    """One way to be spoken to."""

    #: Whether the platform lists the VMs of routers; else they list themselves.
    lists_vms: bool
    #: Whether engines answer questions on their load in the product's own form.
    reports_loads: bool
    #: How routed requests are read, or None for the OpenAI-compatible API.
    callers: CallerDialect | None
    upstreams: UpstreamDialect

    def store(self, url: str) -> Platform:
        """Return the platform's object API."""

    def configuration(self, store: Platform) -> ConfigurationSource:
        """Return where the fleet's configuration is kept."""


@REGISTRY.register(INTERFACE, "openai")
class OpenAiInterface(Plugin):
    """The OpenAI-compatible API, plain services beside it, and the product's object API."""

    DEPENDENCIES: ClassVar[tuple[type[Any], ...]] = ()

    lists_vms = True
    reports_loads = True
    callers: CallerDialect | None = None
    upstreams = OpenAiUpstreams()

    def store(self, url: str) -> Platform:
        """Return the platform's object API over HTTP and JSON."""
        return HttpPlatform(url)

    def configuration(self, store: Platform) -> ConfigurationSource:
        """Return the log of changes."""
        return ChangeLog(store)
