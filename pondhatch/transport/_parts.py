"""A bounded pipe of bytes between twisted's callbacks and a coroutine that reads.

A pipe that is poured into a sink hands each part on within the callback that
brought it; its coroutine wakes only where the sink is slow, and at the end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.requests import PartSink

#: Bytes that may wait in a pipe before its source is paused.
HIGH_WATER = 64 * 1024


def _do_nothing() -> None:
    return None


class PartPipe:
    """Parts put in by callbacks and read by one coroutine, with back-pressure.

    Holds at most HIGH_WATER bytes plus the one part that crossed the mark. The source of an
    account that is slowed is paused as soon as anything waits.
    """

    def __init__(
        self, pause: Callable[[], None] = _do_nothing, resume: Callable[[], None] = _do_nothing
    ) -> None:
        self.ended = False
        #: Counts what waits here for whoever reads.
        self._counter: HeldCounter = UNCOUNTED
        self._pause = pause
        self._resume = resume
        self._parts: list[bytes] = []
        self._size = 0
        self._paused = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        #: Takes parts as they come, while nothing waits here.
        self._sink: PartSink | None = None

    def use_counter(self, counter: HeldCounter) -> None:
        """Have what waits here counted from now on; it counts until the hold is closed."""
        self._counter = counter
        counter.set(self._size)

    def stop_counting(self) -> None:
        """Note that nobody reads what waits here any more: it counts no longer."""
        self._counter.close()

    def put(self, part: bytes) -> None:
        """Take in a part; pauses the source where too much waits."""
        if self._sink is not None:
            self._forward(self._sink, part)
            return
        self._parts.append(part)
        self._size += len(part)
        self._counter.set(self._size)
        if not self._paused and (self._size > HIGH_WATER or self._counter.is_slowed()):
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
            if self._has_ended():
                return b""
            await self._wait_for_wake()
        return self._take()

    async def stream_to(self, sink: PartSink) -> None:
        """Hand every part to a sink, to the end; raises the source's error, or the sink's."""
        try:
            while self._parts or not self._has_ended():
                if self._parts:
                    is_ready = sink.write(self._take())
                else:
                    self._sink = sink
                    await self._wait_for_wake()
                    is_ready = self._sink is not None
                    self._sink = None
                if not is_ready:
                    await sink.ready()
        finally:
            self._sink = None

    def _forward(self, sink: PartSink, part: bytes) -> None:
        """Give a part to the sink; one that is slow, or fails, gets no more from here."""
        try:
            is_ready = sink.write(part)
        except Exception as error:
            self._sink = None
            waiter, self._waiter = self._waiter, None
            if waiter is not None and not waiter.done():
                waiter.set_exception(error)
            return
        if not is_ready:
            self._sink = None
            self._wake()

    def _has_ended(self) -> bool:
        """Return whether the source has ended; raises its error."""
        if self._error is not None:
            raise self._error
        return self.ended

    def _take(self) -> bytes:
        data = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        self._counter.set(0)
        if self._paused:
            self._paused = False
            self._resume()
        return data

    async def _wait_for_wake(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
