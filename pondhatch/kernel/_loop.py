"""The event loop: Twisted's reactor on top of asyncio, so that grpclib can share it."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Coroutine
from typing import Any, TypeVar

from twisted.internet import asyncioreactor
from twisted.internet.defer import Deferred

from pondhatch.observing import log_for

log = log_for("process")

Result = TypeVar("Result")


def install_reactor() -> asyncio.AbstractEventLoop:
    """Install the asyncio reactor and return its loop; call before any import of the reactor."""
    if "twisted.internet.reactor" in sys.modules:
        return asyncio.get_event_loop()
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    return loop


def as_future(deferred: Deferred[Result]) -> asyncio.Future[Result]:
    """Return a deferred's result as a future that an asyncio coroutine can await."""
    return deferred.asFuture(asyncio.get_running_loop())


def as_deferred(coroutine: Coroutine[Any, Any, Result]) -> Deferred[Result | None]:
    """Run an asyncio coroutine and return a deferred for its result.

    The result is None if the coroutine is cancelled, as when its caller has disconnected.
    """

    async def none_if_cancelled() -> Result | None:
        try:
            return await coroutine
        except asyncio.CancelledError:
            return None

    return Deferred.fromFuture(asyncio.ensure_future(none_if_cancelled()))


class Tasks:
    """Background tasks of a process, with references that keep them from being collected."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a coroutine as a task and hold a reference to it until it ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        """Drop the reference to a task, and log its error, which possibly no other code awaits."""
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            name = getattr(task.get_coro(), "__qualname__", task.get_name())
            log.opt(exception=error).error("Task {} failed: {!r}.", name, error)

    def cancel_all(self) -> None:
        """Cancel all tasks that are still running."""
        for task in tuple(self._tasks):
            task.cancel()
