"""Reads that begin after their caller asked, shared by those who ask at about the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from pondhatch.kernel import Tasks

Result = TypeVar("Result")

#: Reads that are under way at the same time at most; whoever asks meanwhile gets no answer.
MAX_READS = 16


class FreshReads(Generic[Result]):
    """Shares reads whose answers must not be older than the question of whoever waits for them."""

    def __init__(
        self,
        clock: Callable[[], float],
        tasks: Tasks,
        read: Callable[[], Awaitable[Result | None]],
        interval: float,
    ) -> None:
        self._clock = clock
        self._tasks = tasks
        #: Reads once; returns None if that failed.
        self._read = read
        #: Seconds between the begins of two reads.
        self._interval = interval
        self._began_at = float("-inf")
        #: The read that is to begin; None if none is.
        self._next: asyncio.Task[Result | None] | None = None
        self._reads = 0

    async def read(self, max_wait: float | None) -> Result | None:
        """Return the result of a read that begins now or later, None if it fails.

        Also None if it takes longer than ``max_wait`` seconds; without that, this waits for as long
        as the read takes.
        """
        if self._next is None:
            if self._reads >= MAX_READS:
                return None
            self._next = self._tasks.start(self._begin())
        task = self._next
        await asyncio.wait([task], timeout=max_wait)
        has_result = task.done() and not task.cancelled() and task.exception() is None
        return task.result() if has_result else None

    async def _begin(self) -> Result | None:
        pause = self._began_at + self._interval - self._clock()
        if pause > 0:
            await asyncio.sleep(pause)
        self._next = None
        self._began_at = self._clock()
        self._reads += 1
        try:
            return await self._read()
        finally:
            self._reads -= 1
