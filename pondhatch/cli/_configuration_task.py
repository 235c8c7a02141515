"""Runs tasks of commands on the configuration that the platform stores."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pondhatch.cli._event_loop import run_on_reactor
from pondhatch.cli._reports import report_unreadable
from pondhatch.configuration import FleetConfiguration, read_configuration
from pondhatch.kernel import install_reactor
from pondhatch.store import Platform

#: What a command does with a platform and its configuration; returns the exit code.
ConfigurationTask = Callable[[Platform, FleetConfiguration], Awaitable[int]]


def run_with_configuration(url: str, task: ConfigurationTask) -> int:
    """Read the configuration from a platform and run a task on it; return the exit code."""
    install_reactor()

    async def read_and_run() -> int:
        from pondhatch.standard import HttpPlatform

        platform = HttpPlatform(url)
        configuration = await read_configuration(platform, FleetConfiguration())
        if not isinstance(configuration, FleetConfiguration):
            return report_unreadable(configuration)
        return await task(platform, configuration)

    return run_on_reactor(read_and_run())
