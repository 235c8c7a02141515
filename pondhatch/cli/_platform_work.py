"""Work on the configuration that the platform holds."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pondhatch.cli._event_loop import run_on_reactor
from pondhatch.cli._reports import unreadable
from pondhatch.configuration import FleetConfiguration, read_configuration
from pondhatch.kernel import install_reactor
from pondhatch.store import Platform

#: What a command does with the platform and the configuration there; results in an exit code.
FleetWork = Callable[[Platform, FleetConfiguration], Awaitable[int]]


def run_on_fleet(url: str, work: FleetWork) -> int:
    """Read the configuration at a platform and work on it; return the exit code."""
    install_reactor()

    async def connected() -> int:
        from pondhatch.standard import HttpPlatform

        platform = HttpPlatform(url)
        fleet = await read_configuration(platform, FleetConfiguration())
        if not isinstance(fleet, FleetConfiguration):
            return unreadable(fleet)
        return await work(platform, fleet)

    return run_on_reactor(connected())
