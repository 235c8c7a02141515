"""Callers' HTTP connections: bodies read as they come, limits on heads and time.

twisted.web reads a whole body, into a file where it is large, before it looks
for a resource. Here the request is handled once its head is there, and the body
is a pipe: a slow upstream slows the caller down, and nothing is written to disk.
"""

from __future__ import annotations

import asyncio
import io
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.tcp import Connection
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.resource import IResource
from twisted.web.server import Request, Site

from pondhatch.configuration import CallerLimits
from pondhatch.requests import CallerGone
from pondhatch.transport._parts import PartPipe

#: Seconds for which the rest of an unwanted body is read and dropped, so that
#: the caller sees its answer instead of a reset connection.
LINGER_SECONDS = 1.0
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class CallerBody:
    """A caller's body read from its connection; see BodySource."""

    def __init__(self, length: int | None, pipe: PartPipe) -> None:
        self.length = length
        self._pipe = pipe

    async def read(self) -> bytes:
        """Return the next part, or b"" at the end. Raises CallerGone."""
        return await self._pipe.read()


async def read_whole(body: CallerBody, limit: int) -> bytes | None:
    """Return a body, or None where it is larger than the limit."""
    if body.length is not None and body.length > limit:
        return None
    parts: list[bytes] = []
    size = 0
    while part := await body.read():
        parts.append(part)
        size += len(part)
        if size > limit:
            return None
    return b"".join(parts)


async def drain(body: CallerBody, limit: int) -> None:
    """Read and drop a body, up to a limit."""
    size = 0
    while size <= limit and (part := await body.read()):
        size += len(part)


class CallerRequest(Request):
    """A request that is handled as soon as its head has come."""

    channel: Any

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.pipe = PartPipe(self._pause_body, self._resume_body)
        self._length: int | None = None

    def gotLength(self, length: int | None) -> None:
        """Begin to handle the request; its body follows through the pipe."""
        self.content = io.BytesIO()
        begin = (self.channel._command, self.channel._path, self.channel._version)
        self.channel.callLater(0, self._begin, length, *begin)

    def body(self) -> CallerBody:
        """Return the body to be read."""
        return CallerBody(self._length, self.pipe)

    def handleContentChunk(self, data: bytes) -> None:
        """Take in a part of the body."""
        self.pipe.put(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Note the end of the body; the request has long begun."""
        self.pipe.end()

    def connectionLost(self, reason: Failure) -> None:
        """Tell whoever reads the body that the caller is gone."""
        self.pipe.fail(CallerGone("the caller closed its connection"))
        super().connectionLost(reason)

    def finish(self) -> None:
        """Finish the answer; a connection with unread body left is not used again."""
        if not self.pipe.ended and self.channel is not None:
            if not self.startedWriting:
                self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
            self.channel.cut()
        super().finish()

    def is_open(self) -> bool:
        """Return whether its answer may still be written or ended."""
        there = self.channel is not None and not self._disconnected
        return there and not self.finished and not self.channel.is_aborted

    def cut(self) -> None:
        """Cut the connection: the answer will not be whole."""
        if self.is_open():
            self.channel.forceAbortClient()

    def _begin(self, length: int | None, command: bytes, path: bytes, version: bytes) -> None:
        if self.channel is None or self._disconnected:
            return
        self._length = length
        self.args = {}
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.split(b"?", 1)[0]
        self.process()

    def _pause_body(self) -> None:
        if self.channel is not None:
            self.channel.pause_caller()

    def _resume_body(self) -> None:
        if self.channel is not None:
            self.channel.resume_caller()


class CallerChannel(HTTPChannel):
    """One caller's connection."""

    #: Says what callers may send, as of now.
    limits: Callable[[], CallerLimits]
    transport: Any
    _head_timer: Any = None
    _is_cut = False
    #: Set once the connection was given up; it is lost only a turn of the loop later.
    is_aborted = False

    def connectionMade(self) -> None:
        """Start the clock for the first request's head."""
        self.totalHeadersSize = self.limits().header_bytes
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        """Take in bytes, unless the connection is only waiting to be closed."""
        if self._is_cut:
            return
        if self._head_timer is None and not self.requests:
            self._head_timer = self.callLater(self.limits().header_seconds, self._head_too_slow)
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Stop the clock: the head is there."""
        self._stop_head_timer()
        super().allHeadersReceived()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Stop the clock with the connection."""
        self._stop_head_timer()
        super().connectionLost(reason)

    def writeSequence(self, iovec: Iterable[bytes]) -> None:
        """Send at once what the connection takes; the rest goes the reactor's way.

        That way tells the system twice of each write, which for a stream's small
        parts costs more than the sending.
        """
        if self.is_aborted:
            return
        data = b"".join(iovec)
        sent = self.transport.writeSomeData(data) if self._nothing_waits() else 0
        # A failure is told as an exception returned, and met again on the usual way.
        sent = sent if isinstance(sent, int) and sent > 0 else 0
        if sent < len(data):
            self.transport.write(data[sent:])

    def write(self, data: bytes) -> None:
        """Send bytes; after an abort none: the last chunk would make a cut answer whole."""
        if not self.is_aborted:
            super().write(data)

    def forceAbortClient(self) -> None:
        """Cut the connection: what was sent is not whole."""
        self.is_aborted = True
        super().forceAbortClient()

    def _nothing_waits(self) -> bool:
        """Return whether this is a plain connection whose buffer is empty."""
        transport = self.transport
        if not isinstance(transport, Connection) or transport.disconnecting:
            return False
        return not (transport._tempDataBuffer or len(transport.dataBuffer) > transport.offset)

    def pause_caller(self) -> None:
        """Read no more from the caller; it is not the one who idles."""
        self.setTimeout(None)
        self.transport.pauseProducing()

    def resume_caller(self) -> None:
        """Read from the caller again."""
        self.setTimeout(self.timeOut)
        self.transport.resumeProducing()

    def cut(self) -> None:
        """Take no more requests; close soon after the answer."""
        self.persistent = False
        self._is_cut = True
        self.transport.resumeProducing()

    def loseConnection(self) -> None:
        """Close, after a while where the caller is still sending."""
        if self._is_cut:
            self.callLater(LINGER_SECONDS, super().loseConnection)
            return
        super().loseConnection()

    def _head_too_slow(self) -> None:
        self._head_timer = None
        self.transport.write(HEAD_TOO_SLOW)
        super().loseConnection()

    def _stop_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None and timer.active():
            timer.cancel()


class CallerSite(Site):
    """Makes callers' connections."""

    def __init__(self, resource: IResource, limits: Callable[[], CallerLimits]) -> None:
        super().__init__(resource, requestFactory=CallerRequest, timeout=limits().idle_seconds)
        self._limits = limits
        self.protocol = self._channel  # type: ignore[assignment]

    def log(self, request: object) -> None:
        """Keep no access log; metrics and decisions tell more and name no caller."""

    def _channel(self) -> CallerChannel:
        channel = CallerChannel()
        channel.limits = self._limits
        channel.timeOut = round(self._limits().idle_seconds)
        return channel


class CallerWriter:
    """Writes an answer no faster than the caller takes it; see PartSink.

    At most one part waits here, beyond the transport's own buffer of 64 KB.
    """

    def __init__(self, request: CallerRequest) -> None:
        self._request = request
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._gone = False
        request.registerProducer(self, True)

    def write(self, part: bytes) -> bool:
        """Write a part; False where the caller is to be waited for. Raises CallerGone."""
        if self._gone or self._request._disconnected:
            raise CallerGone("the caller closed its connection")
        self._request.write(part)
        return self._flowing.is_set()

    async def ready(self) -> None:
        """Wait until the caller has taken what came before."""
        await self._flowing.wait()

    def close(self) -> None:
        """Stop being told of the caller's pace."""
        if not self._request._disconnected and not self._request.finished:
            self._request.unregisterProducer()

    def pauseProducing(self) -> None:
        """Called by the connection when its buffer is full."""
        self._flowing.clear()

    def resumeProducing(self) -> None:
        """Called by the connection when its buffer has drained."""
        self._flowing.set()

    def stopProducing(self) -> None:
        """Called by the connection when the caller is gone."""
        self._gone = True
        self._flowing.set()
