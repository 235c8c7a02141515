"""Callers' HTTP connections: head and time limits, writing, and closing."""

from __future__ import annotations

import select
import sys
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.tcp import Connection
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.resource import IResource
from twisted.web.server import Site

from pondhatch.configuration import CallerLimits
from pondhatch.transport._caller_body import drain, read_whole
from pondhatch.transport._caller_request import CallerRequest

#: The channel and its site, and the names that request handlers import along with them.
__all__ = ["CallerChannel", "CallerRequest", "CallerSite", "drain", "read_whole"]

#: Seconds for which the rest of a refused body is read and discarded, so that the caller
#: receives its answer instead of a connection reset.
LINGER_SECONDS = 1.0
#: Seconds between two checks for the close of a connection whose reading is paused. All work
#: on a request must stop within 0.5 s of the close; this leaves most of that to the engine.
CLOSE_CHECK_SECONDS = 0.1
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


#: Bytes that HTTP forbids in headers and twisted does not reject itself: vertical tab and form
#: feed, which some programs treat as line ends.
FORBIDDEN_HEADER_BYTES = b"\x0b\x0c"
#: The highest byte value allowed in a request target; twisted accepts some above it.
MAX_TARGET_BYTE = 0x7E


class CallerChannel(HTTPChannel):
    """One caller's connection."""

    #: Unlimited number of headers: the limit in force on their total bytes bounds it already.
    maxHeaders = sys.maxsize
    #: Returns the callers' limits in force.
    limits: Callable[[], CallerLimits]
    transport: Any
    #: The idle timeout of the running timer, in seconds.
    _idle_seconds = 0.0
    _head_timer: Any = None
    #: Runs while reading from the caller is paused.
    _close_check_timer: Any = None
    #: Set once received bytes are ignored and the connection closes after its answer.
    _is_closing = False
    #: Set when the connection is aborted; its loss is reported one turn of the loop later.
    is_aborted = False

    def connectionMade(self) -> None:
        """Start the idle timer for the first request."""
        super().connectionMade()
        self._restart_idle_timer()

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes, unless the connection is about to be closed."""
        if self._is_closing:
            return
        if self._head_timer is None and not self.requests:
            self._begin_head()
        super().dataReceived(data)
        if self._dataBuffer:
            # Pipelined requests: if they are large, twisted pauses reading.
            self._check_for_close()

    def lineReceived(self, line: bytes) -> None:
        """Process a line of a head, or refuse the head if it exceeds the size limit."""
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self._refuse_large_head()
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a head with a line that exceeds the size limit."""
        self._refuse_large_head()

    def headerReceived(self, line: bytes) -> bool:
        """Process a header, or refuse the request if the header could not be forwarded."""
        if line.translate(None, FORBIDDEN_HEADER_BYTES) != line:
            self._respondToBadRequestAndDisconnect()
            return False
        return bool(super().headerReceived(line))

    def allHeadersReceived(self) -> None:
        """Stop the head timer; refuse a request whose target could not be forwarded."""
        self._stop_head_timer()
        target: Any = self._path
        if max(target) > MAX_TARGET_BYTE:
            self._respondToBadRequestAndDisconnect()
            return
        super().allHeadersReceived()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Stop the timers of the connection."""
        self._stop_head_timer()
        self._stop_close_checks()
        super().connectionLost(reason)

    def writeSequence(self, iovec: Iterable[bytes]) -> None:
        """Write to the socket at once what it accepts, and leave the rest to the reactor.

        The reactor makes two system calls to register each write, which for a stream's small
        parts costs more than the write itself.
        """
        if self.is_aborted:
            return
        data = b"".join(iovec)
        sent = self.transport.writeSomeData(data) if self._is_buffer_empty() else 0
        # A failure is returned as an exception; the reactor's write reports it again.
        sent = sent if isinstance(sent, int) and sent > 0 else 0
        if sent < len(data):
            self.transport.write(data[sent:])

    def writeHeaders(self, *head: Any) -> None:
        """Write an answer's head, unless the connection was aborted."""
        if not self.is_aborted:
            super().writeHeaders(*head)

    def write(self, data: bytes) -> None:
        """Write bytes, unless aborted: the last chunk would make a cut answer look complete."""
        if not self.is_aborted:
            super().write(data)

    def forceAbortClient(self) -> None:
        """Abort the connection, as the answer sent so far is incomplete."""
        self.is_aborted = True
        super().forceAbortClient()

    def _is_buffer_empty(self) -> bool:
        """Return whether this is a plain TCP connection with an empty write buffer."""
        transport = self.transport
        if not isinstance(transport, Connection) or transport.disconnecting:
            return False
        return not (transport._tempDataBuffer or len(transport.dataBuffer) > transport.offset)

    def requestDone(self, request: Any) -> None:
        """Wait for the next request, with the idle timeout in force."""
        self._stop_close_checks()
        self._savedTimeOut = self._idle_seconds = self.limits().idle_seconds
        super().requestDone(request)

    def resetTimeout(self) -> None:
        """Restart a running idle timer with the timeout in force."""
        if self.timeOut is not None:
            self._restart_idle_timer()

    def timeoutConnection(self) -> None:
        """Close an idle connection, unless the timeout was raised while it was idle."""
        extra_seconds = self.limits().idle_seconds - self._idle_seconds
        if extra_seconds > 0:
            self._idle_seconds += extra_seconds
            self.setTimeout(extra_seconds)
            return
        super().timeoutConnection()

    def _restart_idle_timer(self) -> None:
        self._idle_seconds = self.limits().idle_seconds
        self.setTimeout(self._idle_seconds)

    def pause_reading(self) -> None:
        """Pause reading and the idle timer: the caller is not idle, but waits for this router."""
        self.setTimeout(None)
        self.transport.pauseProducing()
        self._check_for_close()

    def resume_reading(self) -> None:
        """Resume reading from the caller.

        The pause cleared the idle timer, so it restarts with the timeout in force. It stays off
        while a completely received request is served, as the caller then waits for this router.
        """
        self._stop_close_checks()
        if not self._handlingRequest:
            self._restart_idle_timer()
        self.transport.resumeProducing()

    def stop_accepting(self) -> None:
        """Ignore further requests, and close shortly after the answer."""
        self.persistent = False
        self._is_closing = True
        self._stop_close_checks()
        self.transport.resumeProducing()

    def loseConnection(self) -> None:
        """Close, after LINGER_SECONDS if the caller may still be sending."""
        if self._is_closing:
            self.callLater(LINGER_SECONDS, super().loseConnection)
            return
        super().loseConnection()

    def _check_for_close(self) -> None:
        """Abort the connection if the caller closed it while reading is paused.

        A close is reported only while reading. Without this check, a request whose large body
        waits for a grant, or for an engine that reads no more of it, would continue without
        its caller.
        """
        self._stop_close_checks()
        if _is_closed(self.transport):
            self.forceAbortClient()
            return
        self._close_check_timer = self.callLater(CLOSE_CHECK_SECONDS, self._check_for_close)

    def _stop_close_checks(self) -> None:
        timer, self._close_check_timer = self._close_check_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _begin_head(self) -> None:
        """Apply the limits in force to a head as its first bytes are received.

        A persistent connection outlives many configurations. Operators limit the whole head
        only, so the same limit replaces twisted's separate one for the length of a line.
        """
        limits = self.limits()
        self.totalHeadersSize = self.MAX_LENGTH = limits.header_bytes
        self._head_timer = self.callLater(limits.header_seconds, self._refuse_slow_head)

    def _refuse_large_head(self) -> None:
        """Answer that the head is too large, and discard the rest of it."""
        self._stop_head_timer()
        self.clearLineBuffer()
        self.transport.write(HEAD_TOO_LARGE)
        self.stop_accepting()
        self.loseConnection()

    def _refuse_slow_head(self) -> None:
        """Answer that the head took too long, and close."""
        self._head_timer = None
        self.transport.write(HEAD_TOO_SLOW)
        super().loseConnection()

    def _stop_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None and timer.active():
            timer.cancel()


def _is_closed(transport: Any) -> bool:
    """Return whether the other side has closed, even if bytes before the close are unread."""
    plain = getattr(transport, "transport", transport)  # TLS wraps a plain transport.
    if not isinstance(plain, Connection) or not plain.connected:
        return False
    poll = select.poll()
    poll.register(plain.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class CallerSite(Site):
    """Creates the channels of callers' connections."""

    def __init__(self, resource: IResource, limits: Callable[[], CallerLimits]) -> None:
        super().__init__(resource, requestFactory=CallerRequest)
        self._limits = limits
        self.protocol = self._new_channel  # type: ignore[assignment]

    def log(self, request: object) -> None:
        """Write no access log: metrics and records hold more and name no caller."""

    def _new_channel(self) -> CallerChannel:
        channel = CallerChannel()
        channel.limits = self._limits
        return channel
