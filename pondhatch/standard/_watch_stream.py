"""The stream of a watch, and its lines."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from pondhatch.store import PlatformLost
from pondhatch.transport import PartPipe

#: Seconds without a line, bookmarks included, after which a watch is given up.
WATCH_SILENCE_SECONDS = 15.0
#: Maximum bytes of a line of a watch, which holds one object: several times the largest one.
MAX_LINE_BYTES = 8 * 1024 * 1024
#: Seconds within which a line that has begun must end.
LINE_SECONDS = 2.0


class WatchProtocol(Protocol):
    """Writes the body of a watch into a pipe."""

    transport: Any

    def __init__(self) -> None:
        #: The body as it is received.
        self.pipe = PartPipe(self._pause, self._resume)
        self._stopped = False

    def dataReceived(self, data: bytes) -> None:
        self.pipe.put(data)

    def connectionLost(self, reason: Failure = Failure(ConnectError())) -> None:  # noqa: B008
        if reason.check(ResponseDone):
            self.pipe.end()
            return
        self.pipe.fail(ConnectionError(reason.getErrorMessage() or "cut"))

    def stop(self) -> None:
        """Close the connection, which ends the watch at the platform."""
        if self._stopped or self.pipe.ended or self.transport is None:
            return
        self._stopped = True
        self.transport.loseConnection()

    def _pause(self) -> None:
        if self.transport is not None:
            self.transport.pauseProducing()

    def _resume(self) -> None:
        if self.transport is not None:
            self.transport.resumeProducing()


async def watch_lines(pipe: PartPipe) -> AsyncIterator[bytes]:
    """Yield the lines of a watch as they are received. Raises PlatformLost at its end."""
    #: Parts of the line that has begun, and their bytes together.
    begun: list[bytes] = []
    size = 0
    clock = asyncio.get_running_loop().time
    #: When the line that has begun must have ended.
    line_until = float("inf")
    while True:
        try:
            async with asyncio.timeout_at(min(clock() + WATCH_SILENCE_SECONDS, line_until)):
                part = await pipe.read()
        except (TimeoutError, ConnectionError) as error:
            raise PlatformLost(str(error) or "the watch went silent") from error
        if not part:
            raise PlatformLost("the watch ended")
        first, *rest = part.split(b"\n")
        begun.append(first)
        size += len(first)
        if size > MAX_LINE_BYTES:
            raise PlatformLost(f"the watch sent a line of more than {MAX_LINE_BYTES} bytes")
        if not rest:
            line_until = min(line_until, clock() + LINE_SECONDS)
            continue
        lines, last = (b"".join(begun), *rest[:-1]), rest[-1]
        begun, size = [last], len(last)
        for line in lines:
            if line:
                yield line
        line_until = clock() + LINE_SECONDS if last else float("inf")
