"""Runs one router from the start of its process to its end."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from pondhatch.cli._environment import build_environment
from pondhatch.cli._router_process import RouterProcess
from pondhatch.configuration import Settings
from pondhatch.kernel import enable_garbage_collection
from pondhatch.observing import STANDARD_OUTPUT


async def serve(settings: Settings, reactor: Any, path: Path) -> None:
    """Run a router until it is asked to stop; ``path`` is its settings file."""
    process = RouterProcess(settings, reactor, await build_environment(settings, reactor), path)
    enable_garbage_collection()
    await process.run()
    STANDARD_OUTPUT.flush()
