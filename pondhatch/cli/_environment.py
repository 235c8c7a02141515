"""Builds what a router depends on: its interface, its platform and the fleet's key."""

from __future__ import annotations

import importlib
import random
import secrets
from typing import Any, cast

import msgspec

from pondhatch.configuration import ServiceDefaults, Settings, load_fleet_key
from pondhatch.kernel import REGISTRY
from pondhatch.router import AgreedKey, obtain_fleet_key
from pondhatch.store import Platform
from pondhatch.transport import INTERFACE, RECORD_CALLS_PER_SECOND, HttpClient, Interface

#: Packages whose plug-ins register themselves on import, by interface. Only the package of the
#: interface in use is imported, to save the memory and start time of the others.
PACKAGE_BY_INTERFACE = {
    "openai": "pondhatch.standard",
    "prepared-machines": "pondhatch.platform",
}


class RouterEnvironment(msgspec.Struct, frozen=True):
    """What a router depends on, as chosen by its settings."""

    interface: Interface
    platform: Platform
    #: The platform as used to write down what streams began.
    record_platform: Platform
    client: HttpClient
    fleet_key: bytes
    #: Whether the routers agreed on the key through the platform, the only place that stores it.
    is_key_agreed: bool
    #: Whether no router of the fleet has ever run before.
    is_first_start: bool


async def build_environment(settings: Settings, reactor: Any) -> RouterEnvironment:
    """Build the environment of a router; waits until the fleet's key is known."""
    client = HttpClient(reactor)
    interface = _build_interface(settings, client)
    platform = interface.store(settings.platform)
    record_platform = interface.store(settings.platform, RECORD_CALLS_PER_SECOND)
    configured_key = load_fleet_key(settings)
    if configured_key is not None:
        return RouterEnvironment(
            interface, platform, record_platform, client, configured_key, False, False
        )
    agreed = await _obtain_agreed_key(platform)
    return RouterEnvironment(
        interface, platform, record_platform, client, agreed.key, True, agreed.is_new
    )


def _build_interface(settings: Settings, client: HttpClient) -> Interface:
    package = PACKAGE_BY_INTERFACE.get(settings.interface)
    if package is not None:
        importlib.import_module(package)
    views = {HttpClient: client, ServiceDefaults: settings.service_defaults}
    return cast(Interface, REGISTRY.build(INTERFACE, settings.interface, views))


async def _obtain_agreed_key(platform: Platform) -> AgreedKey:
    """Return the key on which the routers of the fleet agree through the platform."""
    return await obtain_fleet_key(platform, secrets.token_hex(16), random.Random())
