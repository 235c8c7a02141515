"""A bounded pipe of bytes between twisted's callbacks and a coroutine that reads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

#: Bytes that may wait in a pipe before its source is paused.
HIGH_WATER = 64 * 1024


def _nothing() -> None:
    return None


class PartPipe:
    """Parts put in by callbacks and read by one coroutine, with back-pressure.

    Holds at most HIGH_WATER bytes plus the one part that crossed the mark.
    """

    def __init__(
        self, pause: Callable[[], None] = _nothing, resume: Callable[[], None] = _nothing
    ) -> None:
        self.ended = False
        self._pause = pause
        self._resume = resume
        self._parts: list[bytes] = []
        self._size = 0
        self._paused = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None

    def put(self, part: bytes) -> None:
        """Take in a part; pauses the source where too much waits."""
        self._parts.append(part)
        self._size += len(part)
        if self._size > HIGH_WATER and not self._paused:
            self._paused = True
            self._pause()
        self._wake()

    def end(self) -> None:
        """Note that no more parts come."""
        self.ended = True
        self._wake()

    def fail(self, error: Exception) -> None:
        """Note that the source is lost; the reader gets the error after what came."""
        if not self.ended and self._error is None:
            self._error = error
        self._wake()

    async def read(self) -> bytes:
        """Return everything that waits, or b"" at the end; raises the source's error."""
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self.ended:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        whole = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        if self._paused:
            self._paused = False
            self._resume()
        return whole

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
