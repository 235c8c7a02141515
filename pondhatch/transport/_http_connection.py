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
from pondhatch.requests import (
    BodySource,
    ConnectionUse,
)
from pondhatch.transport._carried_exchange import CarriedExchange
from pondhatch.transport._connection_broken import ConnectionBroken
from pondhatch.transport._dead_peers import UNACKNOWLEDGED_MS, detect_dead_peer, limit_silence
from pondhatch.transport._headers import as_bytes
from pondhatch.transport._http_codec import HttpCodec
from pondhatch.transport._http_heads import Request, ResponseHead, framing_header, response_head
from pondhatch.transport._unsent import unsent_bytes

#: Seconds for which an idle connection is kept if the other side states no time.
IDLE_SECONDS = 30.0
#: Seconds for which a connection is kept that has carried no request yet: the other side has not
#: stated how long it waits for the first.
UNUSED_SECONDS = 2.0
#: Fraction of the other side's stated idle time during which a connection is reused: later,
#: a request could cross the other side's close.
STATED_IDLE_SHARE = 0.5


#: Seconds within which a head must end once it has begun; so must trailers and a chunk's frame.
#: They come in one piece or nearly; what precedes a head's first byte is work.
LINES_SECONDS = 0.8
#: Parts of an answer that are read in one turn of the loop: a socket's buffer may hold ten thousand
#: small ones, which take as long as hundreds of other requests.
PARTS_PER_TURN = 200


class Connection(TwistedProtocol):
    """One connection, which carries one exchange at a time."""

    transport: Any

    def __init__(self, on_closed: Callable[[Connection], None]) -> None:
        #: Time until which it may be reused, in the loop's seconds.
        self.usable_until = float("-inf")
        #: Whether the other side stated how long it keeps an idle connection.
        self.has_stated_idle = False
        #: Seconds for which the other side states to keep an idle connection; 0 if not stated.
        self.stated_idle_seconds = 0.0
        #: When its last exchange ended, in the loop's seconds.
        self.idle_since = float("-inf")
        #: Whether it was opened without a request and has carried none yet.
        self.is_unused = False
        #: The requests that it has carried, the current one included.
        self.use = ConnectionUse()
        #: Whether one of them was a HEAD request, whose answer's body cannot be told by its head.
        self.has_carried_head_request = False
        #: Whether the other side is an upstream rather than the platform.
        self.to_upstream = False
        self.is_open = False
        #: When bytes were last received, and when the last request was written, in the loop's
        #: seconds.
        self.last_received_at = float("-inf")
        self.last_request_at = float("-inf")
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
        #: Reads received parts on in the next turn of the loop; None if all are read.
        self._next_turn: asyncio.Handle | None = None
        #: Ends the exchange unless lines that have begun end; None if none have begun.
        self._lines_timer: asyncio.TimerHandle | None = None

    def connectionMade(self) -> None:
        """Set the socket options that detect a dead peer within seconds."""
        self.is_open = True
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        detect_dead_peer(handle)

    def mark_unused(self) -> None:
        """Mark a connection that has just opened as idle, without a first request."""
        now = asyncio.get_running_loop().time()
        self.is_unused = True
        self.last_received_at = self.idle_since = now
        self.usable_until = now + UNUSED_SECONDS

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
        framed = framing_header(request.method, length)
        headers = request.headers if framed is None else (*request.headers, framed)
        # As bytes: h11 accepts only ASCII as text, while header values may hold any other byte.
        head = h11.Request(method=request.method, target=request.target, headers=as_bytes(headers))
        self._write(head)

    async def send_body(self, body: BodySource, counter: HeldCounter = UNCOUNTED) -> None:
        """Write a body as it is received, no faster than the other side reads it.

        ``counter`` counts the unsent bytes of the connection meanwhile.
        """
        remaining = body.length
        self.transport.registerProducer(self, True)
        try:
            while remaining != 0 and (part := await body.read()):
                self._write(h11.Data(data=part))
                remaining = remaining - len(part) if remaining is not None else None
                if not self._writable.is_set():
                    counter.set(unsent_bytes(self.transport))
                    await self._writable.wait()
                    counter.set(0)
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
        self._stop_turns()
        self._stop_lines_timer()
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
        if self._next_turn is None:
            self._read_turn()

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        """End the exchange; its answer is complete only if a clean close delimits it."""
        was_aborted = not self.is_open
        was_closed = reason.check(ConnectionDone) is not None
        self.is_open = False
        self._writable.set()
        if self._next_turn is not None:
            self._stop_turns()
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
            waiting = self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        self.has_unasked_bytes = bool(waiting)
        return True

    def last_active_at(self) -> float:
        """Return when either side last used the connection, in the loop's seconds."""
        return max(self.last_received_at, self.last_request_at)

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
        self._stop_lines_timer()
        if self.is_open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        self._is_paused = False
        if self.is_open and self._next_turn is None:
            self.transport.resumeProducing()

    def _write(self, event: Any) -> None:
        if not self.is_open:
            return
        sent = self._http.send(event)
        if sent:
            self.transport.write(sent)

    def _read_turn(self) -> None:
        """Read received parts, but no more than one turn of the loop bears."""
        was_waiting, self._next_turn = self._next_turn is not None, None
        try:
            is_all_read = self._read_events(PARTS_PER_TURN)
        except (h11.RemoteProtocolError, ConnectionBroken) as error:
            self._fail(ConnectionBroken(f"no answer in the protocol: {error}"))
            return
        if not self.is_open:
            return
        if is_all_read:
            self._limit_lines()
        if not is_all_read:
            self._next_turn = asyncio.get_running_loop().call_soon(self._read_turn)
            self.transport.pauseProducing()
        elif was_waiting and not self._is_paused:
            self.transport.resumeProducing()

    def _read_rest(self) -> None:
        """Read all received parts of a connection that is lost."""
        # An error shows that the answer is incomplete, as the reason of the loss does.
        with contextlib.suppress(h11.RemoteProtocolError, ConnectionBroken):
            self._read_events(sys.maxsize)

    def _stop_turns(self) -> None:
        if self._next_turn is not None:
            self._next_turn.cancel()
            self._next_turn = None

    def _limit_lines(self) -> None:
        """Start the timer of lines that have begun and not ended."""
        is_inside_line = self._exchange is not None and self._http.is_inside_line
        if self._lines_timer is None and is_inside_line and not self._is_paused:
            self._lines_timer = asyncio.get_running_loop().call_later(
                LINES_SECONDS, self.give_up, f"a head or a frame did not end in {LINES_SECONDS} s"
            )

    def _stop_lines_timer(self) -> None:
        if self._lines_timer is not None:
            self._lines_timer.cancel()
            self._lines_timer = None

    def _read_events(self, limit: int) -> bool:
        """Read parts of the answer, up to a limit; return whether all that came were read."""
        parts: list[bytes] = []
        left = limit
        while (exchange := self._exchange) is not None and left > 0:
            left -= 1
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            self._stop_lines_timer()
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
        self._stop_lines_timer()
        exchange.complete(b"".join(parts))
        is_reusable = exchange.has_own_answer() and not self.use.is_spent()
        if self.is_open and self._http.is_complete and is_reusable:
            self._become_idle(exchange.response)
            exchange.keep_connection()
        else:
            self.abort()

    def _become_idle(self, answered: ResponseHead | None) -> None:
        """Prepare for another request, within the idle time that the other side states."""
        self._http.start_next_exchange()
        stated_idle_seconds = answered.stated_idle_seconds() if answered is not None else None
        self.has_stated_idle = stated_idle_seconds is not None
        self.stated_idle_seconds = stated_idle_seconds or 0.0
        self.idle_since = asyncio.get_running_loop().time()
        kept_seconds = (
            IDLE_SECONDS if stated_idle_seconds is None else stated_idle_seconds * STATED_IDLE_SHARE
        )
        self.usable_until = self.idle_since + kept_seconds

    def give_up(self, reason: str) -> None:
        """End the exchange and the connection, as the answer cannot be told any more."""
        self._fail(ConnectionBroken(reason))

    def _fail(self, error: ConnectionError) -> None:
        exchange, self._exchange = self._exchange, None
        self._stop_turns()
        self._stop_lines_timer()
        if exchange is not None:
            exchange.fail(error)
        self.abort()
