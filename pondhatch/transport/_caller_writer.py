"""Writes answers no faster than callers read them."""

from __future__ import annotations

import asyncio

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.requests import CallerGone
from pondhatch.transport._caller_request import CallerRequest
from pondhatch.transport._unsent import unsent_bytes


class CallerWriter:
    """Writes an answer no faster than the caller reads it; see PartSink.

    Buffers at most one part beyond the transport's own buffer of 64 KB.
    """

    def __init__(self, request: CallerRequest, counter: HeldCounter = UNCOUNTED) -> None:
        self._request = request
        #: Counts the unsent bytes of the connection while the caller is slow.
        self._counter = counter
        self._writable = asyncio.Event()
        self._writable.set()
        self._gone = False
        if not self.is_gone:
            request.registerProducer(self, True)

    @property
    def is_gone(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._gone or self._request._disconnected

    def write(self, part: bytes) -> bool:
        """Write a part; return False if ``ready`` must be awaited next. Raises CallerGone."""
        if self.is_gone:
            raise CallerGone("the caller closed its connection")
        self._request.write(part)
        if self._writable.is_set():
            return True
        self._counter.set(unsent_bytes(self._request.transport))
        return False

    async def ready(self) -> None:
        """Wait until the write buffer has drained, or the caller has left."""
        await self._writable.wait()

    def close(self) -> None:
        """Unregister from the connection and stop counting its unsent bytes."""
        self._counter.close()
        if not self._request._disconnected and not self._request.finished:
            self._request.unregisterProducer()

    def pauseProducing(self) -> None:
        """Called by the transport when its buffer is full."""
        self._writable.clear()

    def resumeProducing(self) -> None:
        """Called by the transport when its buffer has drained."""
        self._counter.set(0)
        self._writable.set()

    def stopProducing(self) -> None:
        """Called by the transport when the caller has left."""
        self._gone = True
        self._counter.close()
        self._writable.set()
