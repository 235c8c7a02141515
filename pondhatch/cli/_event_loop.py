"""Runs the coroutine of a command on the reactor."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


def run_on_reactor(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on the installed reactor; return its result or raise its exception."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    finished: list[asyncio.Task[Result]] = []

    async def run_and_stop() -> None:
        task = asyncio.ensure_future(coroutine)
        await asyncio.wait([task])
        finished.append(task)
        reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(run_and_stop()))
    reactor.run(installSignalHandlers=False)
    return finished[0].result()
