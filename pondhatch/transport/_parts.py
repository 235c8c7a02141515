"""A bounded pipe of bytes from twisted's callbacks to a reading coroutine.

A pipe that streams to a sink writes each part within the callback that delivers it; the
coroutine wakes up only when the sink is slow, and at the end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.requests import PartSink

#: Buffered bytes above which the source of a pipe is paused.
HIGH_WATER = 64 * 1024


def _do_nothing() -> None:
    return None


class PartPipe:
    """Parts put in by callbacks and read by one coroutine, with back-pressure.

    Buffers at most HIGH_WATER bytes plus the part that exceeded them. For an account that is
    being slowed down, the source is paused as soon as anything is buffered.
    """

    def __init__(
        self, pause: Callable[[], None] = _do_nothing, resume: Callable[[], None] = _do_nothing
    ) -> None:
        self.ended = False
        #: Counts the buffered bytes.
        self._counter: HeldCounter = UNCOUNTED
        self._pause = pause
        self._resume = resume
        self._parts: list[bytes] = []
        self._size = 0
        self._paused = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        #: Receives parts directly while nothing is buffered.
        self._sink: PartSink | None = None

    def use_counter(self, counter: HeldCounter) -> None:
        """Count buffered bytes with a counter from now on, until the counter is closed."""
        self._counter = counter
        counter.set(self._size)

    def stop_counting(self) -> None:
        """Stop counting buffered bytes, as they will not be read."""
        self._counter.close()

    def put(self, part: bytes) -> None:
        """Add a part; pause the source if too much is buffered."""
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
        """Mark the end of the parts."""
        self.ended = True
        self._wake()

    def release_source(self) -> None:
        """Resume the source if it is paused, and never pause or resume it again.

        For a source that goes on with other work, as no more parts are to come from it.
        """
        is_paused, resume = self._paused, self._resume
        self._paused, self._pause, self._resume = False, _do_nothing, _do_nothing
        if is_paused:
            resume()

    def fail(self, error: Exception) -> None:
        """Mark the source as lost; the reader gets the error after the parts received so far."""
        if not self.ended and self._error is None:
            self._error = error
        self._wake()

    async def read(self) -> bytes:
        """Return all buffered bytes, or b"" at the end. Raises the source's error."""
        while not self._parts:
            if self._has_ended():
                return b""
            await self._wait_for_wake()
        return self._take()

    async def stream_to(self, sink: PartSink) -> None:
        """Write every part to a sink until the end. Raises the error of the source or sink."""
        try:
            while self._parts or not self._has_ended():
                if self._parts:
                    is_ready = sink.write(self._take())
                else:
                    self._sink = sink
                    await self._wait_for_wake()
                    # _forward() has detached a sink that became slow.
                    is_ready = self._sink is not None
                    self._sink = None
                if not is_ready:
                    await sink.ready()
        finally:
            self._sink = None

    def _forward(self, sink: PartSink, part: bytes) -> None:
        """Write a part to the sink; a sink that is slow or fails is detached."""
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
        """Return whether the source has ended. Raises its error."""
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
