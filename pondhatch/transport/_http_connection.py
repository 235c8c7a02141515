"""One HTTP/1.1 connection to an upstream or the platform: one exchange after another.

h11 reads and writes the protocol; what may be concluded from a lost connection is told
apart here: whether an answer is whole, and whether bytes came that belong to none.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.requests import BodySource, ReplayableBody
from pondhatch.transport._headers import as_bytes
from pondhatch.transport._http_heads import Request, ResponseHead, framing, response_head
from pondhatch.transport._parts import PartPipe
from pondhatch.transport._silence import UNACKNOWLEDGED_MS, show_silence
from pondhatch.transport._unsent import unsent_bytes

#: Seconds for which an idle connection is kept where the other side does not say.
IDLE_SECONDS = 30.0
#: Share of the time that the other side states for which an idle connection is used:
#: beyond it, a request could cross the other side's close.
STATED_SHARE = 0.5
#: Bytes of an answer's head that are taken in at most.
HEAD_BYTES = 64 * 1024


class ConnectionBroken(ConnectionError):
    """The connection was lost, or what came on it was no answer."""


class Connection(Protocol):
    """One connection; carries one exchange at a time."""

    transport: Any

    def __init__(self, closed: Callable[[Connection], None]) -> None:
        #: Until when it may be taken again, in the loop's seconds.
        self.usable_until = float("-inf")
        #: Whether the other side stated how long it keeps an idle connection.
        self.states_idle_time = False
        #: Seconds for which it does; 0 where it did not say.
        self.stated_idle = 0.0
        #: When its last exchange ended, in the loop's seconds.
        self.idle_since = float("-inf")
        #: Whether an upstream is on the other side, rather than the platform.
        self.to_upstream = False
        self.is_open = False
        #: When bytes last came on it, and when its last request was written, in the loop's
        #: seconds.
        self.heard_at = float("-inf")
        self.asked_at = float("-inf")
        #: Set where it had worked and was lost, neither closed in order nor given up here.
        self.was_lost = False
        #: Set where it was lost so after a while without a word.
        self.fell_silent = False
        #: Cleared while the other side takes no more of a request's body.
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._closed = closed
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_BYTES)
        self._exchange: Exchange | None = None

    def connectionMade(self) -> None:
        """Make lost peers known in seconds."""
        self.is_open = True
        handle = self.transport.getHandle()
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        show_silence(handle)

    def begin(self, exchange: Exchange, request: Request, length: int | None) -> None:
        """Write a request's head; its body follows by ``send_body`` or ``send_whole_body``."""
        self._exchange = exchange
        self.asked_at = asyncio.get_running_loop().time()
        framed = framing(request.method, length)
        headers = request.headers if framed is None else (*request.headers, framed)
        # As bytes: from text h11 takes ASCII alone, while values may hold any other byte.
        head = h11.Request(method=request.method, target=request.target, headers=as_bytes(headers))
        self._write(head)

    async def send_body(self, body: BodySource, hold: HeldCounter = UNCOUNTED) -> None:
        """Write a body as it comes, no faster than the other side takes it.

        ``hold`` counts what the connection holds meanwhile.
        """
        left = body.length
        self.transport.registerProducer(self, True)
        try:
            while left != 0 and (part := await body.read()):
                self._write(h11.Data(data=part))
                left = left - len(part) if left is not None else None
                if not self._flowing.is_set():
                    hold.set(unsent_bytes(self.transport))
                    await self._flowing.wait()
                    hold.set(0)
        finally:
            hold.close()
            self.transport.unregisterProducer()
        self._end_body()

    def send_whole_body(self, content: bytes) -> None:
        """Write a body that is held in memory."""
        if content:
            self._write(h11.Data(data=content))
        self._end_body()

    def _end_body(self) -> None:
        if self._http.our_state is h11.SEND_BODY:
            self._write(h11.EndOfMessage())

    def pauseProducing(self) -> None:
        """Called by the connection when its buffer is full."""
        self._flowing.clear()

    def resumeProducing(self) -> None:
        """Called by the connection when its buffer has drained."""
        self._flowing.set()

    def stopProducing(self) -> None:
        """Called by the connection when it is lost; whoever sends is cancelled elsewhere."""

    def abort(self) -> None:
        """Close at once; the other side sees that its caller is gone."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Take in bytes of an answer; bytes that nobody asked for end the connection."""
        if self._exchange is None:
            self.abort()
            return
        self.heard_at = asyncio.get_running_loop().time()
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._fail(ConnectionBroken(f"no answer in the protocol: {error}"))

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        """End the exchange: whole only where an orderly close is its end."""
        given_up = not self.is_open
        closed = reason.check(ConnectionDone) is not None
        self.is_open = False
        self._flowing.set()
        self.was_lost = not given_up and not closed and self.heard_at > float("-inf")
        self.fell_silent = self.was_lost and self._is_silent()
        self._closed(self)
        if self._exchange is None:
            return
        if reason.check(ConnectionDone) is not None:
            try:
                self._http.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError:
                pass  # The answer is not whole; told below with the connection's own reason.
        self._fail(ConnectionBroken(reason.getErrorMessage()))

    def quiet_since(self) -> float:
        """Return when it was last used, by either side, in the loop's seconds."""
        return max(self.heard_at, self.asked_at)

    def _is_silent(self) -> bool:
        """Return whether its exchange stood for as long as bytes may go unacknowledged.

        What the system says of a lost connection does not come through twisted, so a reset
        after such a while counts too; that costs a few new connections.
        """
        if self._exchange is None:
            return False
        waited = asyncio.get_running_loop().time() - self.quiet_since()
        return waited >= UNACKNOWLEDGED_MS / 1000

    def pause(self) -> None:
        """Read no more until ``resume``."""
        if self.is_open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read again."""
        if self.is_open:
            self.transport.resumeProducing()

    def _write(self, event: Any) -> None:
        if not self.is_open:
            return
        sent = self._http.send(event)
        if sent:
            self.transport.write(sent)

    def _read_events(self) -> None:
        parts: list[bytes] = []
        while (exchange := self._exchange) is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Response):
                exchange.opened(response_head(event))
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                self._end(exchange, parts)
                return
        if parts and exchange is not None:
            exchange.pipe.put(b"".join(parts))

    def _end(self, exchange: Exchange, parts: list[bytes]) -> None:
        """End an exchange whose answer is whole; keep the connection if it is clean."""
        self._exchange = None
        if parts:
            exchange.pipe.put(b"".join(parts))
        clean = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        surplus = bool(self._http.trailing_data[0])
        if clean and not surplus and self.is_open:
            self._http.start_next_cycle()
            idle = exchange.answered.stated_idle() if exchange.answered is not None else None
            self.states_idle_time = idle is not None
            self.stated_idle = idle or 0.0
            self.idle_since = asyncio.get_running_loop().time()
            kept = IDLE_SECONDS if idle is None else idle * STATED_SHARE
            self.usable_until = self.idle_since + kept
            exchange.ended(self)
        else:
            exchange.ended(None)
            self.abort()

    def _fail(self, error: ConnectionError) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.failed(error)
        self.abort()


def _ignore(_: ResponseHead) -> None:
    return None


def uncounted() -> HeldCounter:
    """Return what counts nothing, for exchanges on behalf of no account."""
    return UNCOUNTED


class Exchange:
    """One request and its answer."""

    def __init__(
        self,
        connection: Connection,
        keep: Callable[[Connection], None],
        trusts: Callable[[ResponseHead], bool],
        heard: Callable[[ResponseHead], None] = _ignore,
        new_counter: Callable[[], HeldCounter] = uncounted,
    ) -> None:
        #: For whoever waits, and who may cancel it in the same turn of the loop in which the
        #: answer comes; what came is asked of ``answered``.
        self.head: asyncio.Future[ResponseHead] = asyncio.get_running_loop().create_future()
        self.answered: ResponseHead | None = None
        self.pipe = PartPipe(connection.pause, connection.resume)
        self.pipe.count_by(new_counter())
        self.connection = connection
        self._keep = keep
        #: Whether an answer with this head leaves its connection fit for another exchange.
        self._trusts = trusts
        #: Takes in the head as it comes, whether or not anybody still waits for it.
        self._heard = heard
        #: Returns what counts bytes that wait for the other side, or for whoever reads its answer.
        self._new_hold = new_counter
        self._is_over = False
        self._sending: asyncio.Task[None] | None = None

    def send(self, request: Request, body: BodySource) -> None:
        """Write the request; a body that is still to come is sent as it comes."""
        self.connection.begin(self, request, body.length)
        if isinstance(body, ReplayableBody):
            self.connection.send_whole_body(body.content)
            return
        self._sending = asyncio.ensure_future(self._send(body))

    async def _send(self, body: BodySource) -> None:
        try:
            await self.connection.send_body(body, self._new_hold())
        except Exception as error:
            # Whoever waits for the answer learns why there will be none.
            if not self.head.done():
                self.head.set_exception(error)
                self.head.exception()
            self.cancel()

    def opened(self, head: ResponseHead) -> None:
        """Take in the answer's head."""
        self.answered = head
        self._heard(head)
        if not self.head.done():
            self.head.set_result(head)

    def ended(self, reusable: Connection | None) -> None:
        """Note that the answer is whole; the connection may carry another exchange."""
        self._over()
        self.pipe.end()
        if reusable is None:
            return
        if self.answered is not None and self._trusts(self.answered):
            self._keep(reusable)
        else:
            reusable.abort()

    def failed(self, error: ConnectionError) -> None:
        """Note that no more will come."""
        self._over()
        if not self.head.done():
            self.head.set_exception(error)
            self.head.exception()  # Whoever waits gets it; nobody may be waiting any more.
        self.pipe.fail(error)

    def cancel(self) -> None:
        """Give the answer up, unless it is whole; what nobody read of it counts no more.

        Safe to call twice.
        """
        self.pipe.give_up()
        if not self._is_over:
            self._over()
            self.connection.abort()

    def _over(self) -> None:
        self._is_over = True
        if self._sending is not None and self._sending is not asyncio.current_task():
            self._sending.cancel()
