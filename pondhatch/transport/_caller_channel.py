"""Callers' HTTP connections: limits on heads and time, writing, and how they end."""

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

#: The connection, and what those who serve its requests import along with it.
__all__ = ["CallerChannel", "CallerRequest", "CallerSite", "drain", "read_whole"]

#: Seconds for which the rest of an unwanted body is read and dropped, so that
#: the caller sees its answer instead of a reset connection.
LINGER_SECONDS = 1.0
#: Seconds between two looks whether a caller that is not read from has left. Half a second
#: after a close nothing of its request may be at work; this leaves most of it to the engine.
CLOSE_CHECK_SECONDS = 0.1
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


#: Bytes that HTTP allows in no header, beside those that twisted turns away itself: vertical
#: tab and form feed, at which some programs end a line.
FORBIDDEN_HEADER_BYTES = b"\x0b\x0c"
#: The last byte that a request's target may hold; twisted lets some beyond it through.
MAX_TARGET_BYTE = 0x7E


class CallerChannel(HTTPChannel):
    """One caller's connection."""

    #: Headers of one request. Bytes are bounded by what is in force, and no header has none.
    maxHeaders = sys.maxsize
    #: Says what callers may send, as of now.
    limits: Callable[[], CallerLimits]
    transport: Any
    #: Seconds of silence after which the connection is closed, as they count now.
    _idle_seconds = 0.0
    _head_timer: Any = None
    #: Runs while the caller is not read from.
    _close_check_timer: Any = None
    _is_closing = False
    #: Set once the connection was given up; it is lost only a turn of the loop later.
    is_aborted = False

    def connectionMade(self) -> None:
        """Start the clock for the first request."""
        super().connectionMade()
        self._restart_idle_timer()

    def dataReceived(self, data: bytes) -> None:
        """Take in bytes, unless the connection is only waiting to be closed."""
        if self._is_closing:
            return
        if self._head_timer is None and not self.requests:
            self._begin_head()
        super().dataReceived(data)
        if self._dataBuffer:
            # Requests sent ahead: where they are large, twisted reads no more for now.
            self._check_for_close()

    def lineReceived(self, line: bytes) -> None:
        """Take in a line of a head, unless the head is too large with it."""
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self._refuse_large_head()
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a head one line of which is too large."""
        self._refuse_large_head()

    def headerReceived(self, line: bytes) -> bool:
        """Take in a header, unless no engine could be sent it."""
        if line.translate(None, FORBIDDEN_HEADER_BYTES) != line:
            self._respondToBadRequestAndDisconnect()
            return False
        return bool(super().headerReceived(line))

    def allHeadersReceived(self) -> None:
        """Stop the clock: the head is there. One that no engine could be sent is refused."""
        self._stop_head_timer()
        target: Any = self._path
        if max(target) > MAX_TARGET_BYTE:
            self._respondToBadRequestAndDisconnect()
            return
        super().allHeadersReceived()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Stop the clock with the connection."""
        self._stop_head_timer()
        self._stop_close_checks()
        super().connectionLost(reason)

    def writeSequence(self, iovec: Iterable[bytes]) -> None:
        """Send at once what the connection takes; the rest goes the reactor's way.

        That way tells the system twice of each write, which for a stream's small
        parts costs more than the sending.
        """
        if self.is_aborted:
            return
        data = b"".join(iovec)
        sent = self.transport.writeSomeData(data) if self._is_buffer_empty() else 0
        # A failure is told as an exception returned, and met again on the usual way.
        sent = sent if isinstance(sent, int) and sent > 0 else 0
        if sent < len(data):
            self.transport.write(data[sent:])

    def writeHeaders(self, *head: Any) -> None:
        """Send an answer's head; after an abort none, as with any other bytes."""
        if not self.is_aborted:
            super().writeHeaders(*head)

    def write(self, data: bytes) -> None:
        """Send bytes; after an abort none: the last chunk would make a cut answer whole."""
        if not self.is_aborted:
            super().write(data)

    def forceAbortClient(self) -> None:
        """Cut the connection: what was sent is not whole."""
        self.is_aborted = True
        super().forceAbortClient()

    def _is_buffer_empty(self) -> bool:
        """Return whether this is a plain connection whose buffer is empty."""
        transport = self.transport
        if not isinstance(transport, Connection) or transport.disconnecting:
            return False
        return not (transport._tempDataBuffer or len(transport.dataBuffer) > transport.offset)

    def requestDone(self, request: Any) -> None:
        """Wait for the next request, for as long as is in force now."""
        self._stop_close_checks()
        self._savedTimeOut = self._idle_seconds = self.limits().idle_seconds
        super().requestDone(request)

    def resetTimeout(self) -> None:
        """Count the idle time anew where it counts at all, by the bound in force."""
        if self.timeOut is not None:
            self._restart_idle_timer()

    def timeoutConnection(self) -> None:
        """Close an idle connection, unless the bound was raised while it stood idle."""
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
        """Read no more from the caller; it is not the one who idles."""
        self.setTimeout(None)
        self.transport.pauseProducing()
        self._check_for_close()

    def resume_reading(self) -> None:
        """Read from the caller again.

        The pause left no idle time to go back to, so it is taken from what is in force. While a
        request that has come in full is served, the caller is not the one who idles.
        """
        self._stop_close_checks()
        if not self._handlingRequest:
            self._restart_idle_timer()
        self.transport.resumeProducing()

    def stop_accepting(self) -> None:
        """Take no more requests; close soon after the answer."""
        self.persistent = False
        self._is_closing = True
        self._stop_close_checks()
        self.transport.resumeProducing()

    def loseConnection(self) -> None:
        """Close, after a while where the caller is still sending."""
        if self._is_closing:
            self.callLater(LINGER_SECONDS, super().loseConnection)
            return
        super().loseConnection()

    def _check_for_close(self) -> None:
        """Give a caller up that closes its connection while it is not read from.

        A close is told to those who read. Without this, a request whose large body waits for
        a grant, or for an engine that takes no more of it, would go on without its caller.
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
        """Hold a request's head to what is in force as its first bytes come.

        A kept connection outlasts many versions of the configuration. One line may be as long
        as the whole head: twisted's own bound on a line is its default, not the operator's.
        """
        limits = self.limits()
        self.totalHeadersSize = self.MAX_LENGTH = limits.header_bytes
        self._head_timer = self.callLater(limits.header_seconds, self._head_too_slow)

    def _refuse_large_head(self) -> None:
        """Say that the head is too large, and drop the rest of it."""
        self._stop_head_timer()
        self.clearLineBuffer()
        self.transport.write(HEAD_TOO_LARGE)
        self.stop_accepting()
        self.loseConnection()

    def _head_too_slow(self) -> None:
        self._head_timer = None
        self.transport.write(HEAD_TOO_SLOW)
        super().loseConnection()

    def _stop_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None and timer.active():
            timer.cancel()


def _is_closed(transport: Any) -> bool:
    """Return whether the other side has closed, also where bytes before that are unread."""
    plain = getattr(transport, "transport", transport)  # TLS lies on a connection of its own.
    if not isinstance(plain, Connection) or not plain.connected:
        return False
    poll = select.poll()
    poll.register(plain.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class CallerSite(Site):
    """Makes callers' connections."""

    def __init__(self, resource: IResource, limits: Callable[[], CallerLimits]) -> None:
        super().__init__(resource, requestFactory=CallerRequest)
        self._limits = limits
        self.protocol = self._channel  # type: ignore[assignment]

    def log(self, request: object) -> None:
        """Keep no access log; metrics and decisions tell more and name no caller."""

    def _channel(self) -> CallerChannel:
        channel = CallerChannel()
        channel.limits = self._limits
        return channel
