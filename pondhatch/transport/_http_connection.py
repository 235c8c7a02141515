"""An HTTP/1.1 connection to an upstream or the platform, which carries one exchange at a time.

h11 parses and writes the protocol. This module decides what a lost connection means: whether
the answer is complete, and whether bytes arrived that belong to no answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.requests import BodySource, ConnectionUse
from pondhatch.transport._body_parts import send_parts
from pondhatch.transport._carried_exchange import CarriedExchange
from pondhatch.transport._connection_broken import ConnectionBroken
from pondhatch.transport._dead_peers import UNACKNOWLEDGED_MS, detect_dead_peer, limit_silence
from pondhatch.transport._http_codec import HttpCodec
from pondhatch.transport._http_heads import Request, request_head, response_head
from pondhatch.transport._line_limit import LineLimit
from pondhatch.transport._reading_turns import PARTS_PER_SHARE, ReadingShares, ReadingTurns
from pondhatch.transport._unread import unread_bytes
from pondhatch.transport._use_times import UseTimes


class Connection(UseTimes, TwistedProtocol):
    """One connection, which carries one exchange at a time."""

    transport: Any

    def __init__(self, on_closed: Callable[[Connection], None], turns: ReadingTurns) -> None:
        super().__init__()
        #: The requests that it has carried, the current one included.
        self.use = ConnectionUse()
        #: Whether one of them was a HEAD request, whose answer's body cannot be told by its head.
        self.has_carried_head_request = False
        #: Whether the other side is an upstream rather than the platform.
        self.to_upstream = False
        self.is_open = False
        #: Whether it received bytes while no request was under way.
        self.has_unasked_bytes = False
        #: Whether it had received bytes and was lost, neither closed cleanly nor aborted here.
        self.was_lost = False
        #: Whether it was lost that way after its exchange was inactive for UNACKNOWLEDGED_MS.
        self.fell_silent = False
        #: Cleared while the write buffer is full, as the other side reads too slowly.
        self._writable = asyncio.Event()
        self._writable.set()
        #: Milliseconds for which bytes may be unacknowledged before the system closes it.
        self._max_silent_ms = UNACKNOWLEDGED_MS
        self._on_closed = on_closed
        self._http = HttpCodec()
        self._exchange: CarriedExchange | None = None
        #: Whether the answer's reader is too slow for more bytes to be read.
        self._is_paused = False
        #: Received bytes are read in these; no more are received while some wait.
        self._shares = ReadingShares(turns, self._read_share)
        self._is_held_back = False
        self._line_limit = LineLimit()

    def connectionMade(self) -> None:
        """Set the socket options that detect a dead peer within seconds."""
        self.is_open = True
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        detect_dead_peer(handle)

    def begin(self, exchange: CarriedExchange, request: Request, length: int | None) -> None:
        """Write a request's head; its body follows by ``send_body`` or ``send_whole_body``."""
        max_silent_ms = exchange.max_silent_ms
        if self.is_open and max_silent_ms != self._max_silent_ms:
            self._max_silent_ms = max_silent_ms
            limit_silence(self.transport.getHandle(), max_silent_ms)
        self._exchange = exchange
        self.is_unused = False
        self.has_carried_head_request |= request.method == "HEAD"
        self.last_request_at = asyncio.get_running_loop().time()
        exchange.note_begun(self.use, self.last_request_at)
        self._write(request_head(request, length))

    async def send_body(self, body: BodySource, counter: HeldCounter = UNCOUNTED) -> None:
        """Write a body as it is received, no faster than the other side reads it.

        ``counter`` counts the unsent bytes of the connection meanwhile.
        """
        self.transport.registerProducer(self, True)
        try:
            await send_parts(body, self._write, self._writable, self.transport, counter)
        finally:
            counter.close()
            self.transport.unregisterProducer()
        self._end_body()

    def send_whole_body(self, content: bytes) -> None:
        """Write a body that is held in memory."""
        if content:
            self._write(h11.Data(data=content))
        self._end_body()

    def _end_body(self) -> None:
        if self._http.is_sending_body:
            self._write(h11.EndOfMessage())

    def pauseProducing(self) -> None:
        """Called by the transport when its buffer is full."""
        self._writable.clear()

    def resumeProducing(self) -> None:
        """Called by the transport when its buffer has drained."""
        self._writable.set()

    def stopProducing(self) -> None:
        """Called by the transport when it is lost; connectionLost() ends the sending task."""

    def abort(self) -> None:
        """Reset the connection at once, which shows the other side that its caller left."""
        self.is_open = False
        self._shares.leave()
        self._line_limit.stop()
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Process received bytes; bytes outside of an exchange abort the connection."""
        if self._exchange is None:
            self.has_unasked_bytes = True
            self.abort()
            return
        self.last_received_at = asyncio.get_running_loop().time()
        self._http.receive(data)
        self._shares.request()
        if self._shares.is_waiting and not self._is_held_back:
            self._is_held_back = True
            self.transport.pauseProducing()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        """End the exchange; its answer is complete only if a clean close delimits it."""
        was_aborted = not self.is_open
        was_closed = reason.check(ConnectionDone) is not None
        self.is_open = False
        self._writable.set()
        if self._shares.is_waiting:
            self._shares.leave()
            self._read_rest()
        self.was_lost = not was_aborted and not was_closed and self.last_received_at > float("-inf")
        self.fell_silent = self.was_lost and self._is_silent()
        self._on_closed(self)
        if self._exchange is None:
            return
        if reason.check(ConnectionDone) is not None:
            self._http.receive(b"")
            self._read_rest()
        self._fail(ConnectionBroken(reason.getErrorMessage()))

    def has_unread_bytes(self) -> bool:
        """Return whether bytes, or the end of the connection, wait in the socket's buffer."""
        try:
            unread = unread_bytes(self.transport)
        except OSError:
            return True
        self.has_unasked_bytes = bool(unread)
        return unread is not None

    def _read_ahead(self) -> bytes:
        """Return some bytes that wait in the socket's buffer, if there are any."""
        if not self.is_open:
            return b""
        try:
            return unread_bytes(self.transport) or b""
        except OSError:
            return b""

    def _is_silent(self) -> bool:
        """Return whether its exchange was inactive for the time allowed for unacknowledged bytes.

        Twisted does not pass on the system's error for a lost connection, so a reset after
        that time counts as silence too, at the cost of a few new connections.
        """
        if self._exchange is None:
            return False
        waited = asyncio.get_running_loop().time() - self.last_active_at()
        return waited >= UNACKNOWLEDGED_MS / 1000

    def pause(self) -> None:
        """Stop reading until ``resume``."""
        self._is_paused = True
        self._line_limit.stop()
        if self.is_open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        self._is_paused = False
        if self.is_open and not self._is_held_back:
            self.transport.resumeProducing()

    def _write(self, event: Any) -> None:
        if not self.is_open:
            return
        sent = self._http.send(event)
        if sent:
            self.transport.write(sent)

    def _read_share(self) -> bool:
        """Read received parts, but no more than a share; return whether more are left."""
        try:
            is_all_read = self._read_events(PARTS_PER_SHARE)
        except ConnectionBroken as error:
            self._fail(error)
            return False
        if not self.is_open or not is_all_read:
            return self.is_open
        self._limit_lines()
        if self._is_held_back:
            self._is_held_back = False
            if not self._is_paused:
                self.transport.resumeProducing()
        return False

    def _read_rest(self) -> None:
        """Read all received parts of a connection that is lost."""
        # An error shows that the answer is incomplete, as the reason of the loss does.
        with contextlib.suppress(ConnectionBroken):
            self._read_events(sys.maxsize)

    def _limit_lines(self) -> None:
        """Start the timer of lines that have begun and not ended."""
        is_inside_line = self._exchange is not None and self._http.is_inside_line
        if is_inside_line and not self._is_paused:
            self._line_limit.start(self.give_up)

    def _read_events(self, limit: int) -> bool:
        """Read parts of the answer, up to a limit; return whether all that came were read."""
        parts: list[bytes] = []
        left = limit
        while (exchange := self._exchange) is not None and left > 0:
            left -= 1
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            self._line_limit.stop()
            if isinstance(event, h11.InformationalResponse):
                exchange.receive_interim_response()
            elif isinstance(event, h11.Response):
                exchange.receive_head(response_head(event))
            elif isinstance(event, h11.Data):
                if not exchange.is_skipping:
                    parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and exchange.is_skipping:
                exchange.end_skipping()
                self._http.skip_answer()
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                # The last part of the body is not passed on yet.
                self._http.check_stated_end(self._read_ahead)
                self._end(exchange, parts)
                return True
        if parts and exchange is not None:
            exchange.pipe.put(b"".join(parts))
        return left > 0

    def _end(self, exchange: CarriedExchange, parts: list[bytes]) -> None:
        """End an exchange whose answer is complete; keep the connection if it is reusable.

        Only from here does a connection that carried a request become idle. It is being read then,
        even if the answer's reader is slow or has left.
        """
        self._exchange = None
        self._line_limit.stop()
        exchange.complete(b"".join(parts))
        is_reusable = exchange.has_own_answer() and not self.use.is_spent()
        if self.is_open and self._http.is_complete and is_reusable:
            self._http.start_next_exchange()
            answered = exchange.response
            stated_idle_seconds = answered.stated_idle_seconds() if answered is not None else None
            self.become_idle(asyncio.get_running_loop().time(), stated_idle_seconds)
            exchange.keep_connection()
        else:
            self.abort()

    def give_up(self, reason: str) -> None:
        """End the exchange and the connection, as the answer cannot be told any more."""
        self._fail(ConnectionBroken(reason))

    def _fail(self, error: ConnectionError) -> None:
        exchange, self._exchange = self._exchange, None
        self._shares.leave()
        self._line_limit.stop()
        if exchange is not None:
            exchange.fail(error)
        self.abort()
