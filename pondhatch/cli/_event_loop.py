"""Runs a command's coroutine on the one loop."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


def run_on_reactor(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on the installed reactor; return what it returns, raise what it raises."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    ended: list[asyncio.Task[Result]] = []

    async def guarded() -> None:
        task = asyncio.ensure_future(work)
        await asyncio.wait([task])
        ended.append(task)
        reactor.stop()

    reactor.callWhenRunning(lambda: asyncio.ensure_future(guarded()))
    reactor.run(installSignalHandlers=False)
    return ended[0].result()
