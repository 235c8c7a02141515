"""Calls to other routers to relay requests to engines; see Relays."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from typing import Any

import msgspec
from grpclib.client import Channel, Stream, UnaryStreamMethod
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from msgspec.structs import replace

from pondhatch.limits import HeldBytes, HeldCounter
from pondhatch.membership import Address
from pondhatch.requests import (
    RELAY_GONE,
    RELAY_UNSUPPORTED,
    AnswerLost,
    AnswerStarted,
    Broken,
    Headers,
    NotRun,
    PartSink,
    RelayedRequest,
    SendResult,
    Unknown,
)
from pondhatch.transport import _relay_wire as wire
from pondhatch.transport._parts import PartPipe
from pondhatch.transport._remote_peer import PEER_LOST, PeerChannel
from pondhatch.transport._wire import TOKEN_METADATA, MessagePackCodec

#: Seconds within which a router must be connected to and a request written to it. Beyond that
#: another router is asked.
CALL_TIMEOUT_SECONDS = 0.5
#: Unread bytes of one answer, and of all answers together, that a relay may send ahead. The least
#: that HTTP/2 allows for one.
ANSWER_WINDOW_BYTES = 2**16 - 1
CONNECTION_WINDOW_BYTES = 1024 * 1024
#: gRPC statuses with which a router rejects the call itself, before it reads the request.
REJECTED_STATUSES = frozenset({Status.UNIMPLEMENTED, Status.UNAUTHENTICATED})
#: The error that grpclib raises, in place of the status, for the reply of its own server to a call
#: that it does not know: no handler ran, as handlers' replies have a content type.
UNKNOWN_CALL = "Missing content-type header"

_LOST = Unknown("upstream-lost", "the router that relayed the request was lost")


class _Exchange:
    """One relayed request: a task that makes the call, and the answer that it receives."""

    def __init__(
        self, call: Stream[Any, Any], request: RelayedRequest, counter: HeldCounter
    ) -> None:
        loop = asyncio.get_running_loop()
        #: Resolved with the first message of the reply, or with the outcome without one.
        self.first: asyncio.Future[wire.RelayedHead | NotRun | Unknown] = loop.create_future()
        #: How the answer broke off, if the relay said so.
        self.broken: Broken | None = None
        self._flowing = asyncio.Event()
        self._flowing.set()
        self.pipe = PartPipe(self._flowing.clear, self._flowing.set)
        self.pipe.use_counter(counter)
        #: Whether the peer may have received the request.
        self.was_sent = False
        self._call = call
        self._task = asyncio.ensure_future(self._run(request))

    def cancel(self) -> None:
        """Cancel the call unless it has ended, which cancels the request at its engine."""
        self.pipe.stop_counting()
        self._task.cancel()

    async def _run(self, request: RelayedRequest) -> None:
        try:
            async with self._call as call:
                await self._send(call, request)
                await self._receive(call)
        except asyncio.CancelledError:
            self._resolve(_LOST)
            raise
        except GRPCError as error:
            is_rejected = error.status in REJECTED_STATUSES or error.message == UNKNOWN_CALL
            reason = f"{error.status.name}: {error.message}"
            self._lose(NotRun(RELAY_UNSUPPORTED, reason) if is_rejected else None)
        except (*PEER_LOST, TimeoutError, msgspec.DecodeError) as error:
            self._lose(None if self.was_sent else NotRun(RELAY_GONE, f"not reached: {error}"))

    async def _send(self, call: Stream[Any, Any], request: RelayedRequest) -> None:
        """Write the request. Until its last byte, the peer cannot have run it."""
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            await call.send_request()
        self.was_sent = True
        await call.send_message(request, end=True)

    async def _receive(self, call: Stream[Any, Any]) -> None:
        while (message := await call.recv_message()) is not None:
            if isinstance(message, wire.RelayedPart):
                self.pipe.put(message.data)
                await self._flowing.wait()
            elif isinstance(message, wire.RelayedHead):
                self._resolve(message)
            elif isinstance(message, wire.RelayedEnd):
                self.pipe.end()
                return
            elif isinstance(message, wire.RelayedBreak):
                self.broken = message.outcome
                break
            elif isinstance(message, wire.RelayedRefusal):
                self._resolve(message.refusal)
                return
            elif isinstance(message, wire.RelayedLoss):
                self._resolve(message.outcome)
                return
        self._lose(None)

    def _lose(self, refusal: NotRun | None) -> None:
        self._resolve(refusal or _LOST)
        self.pipe.fail(ConnectionError("the router that relayed the answer was lost"))

    def _resolve(self, first: wire.RelayedHead | NotRun | Unknown) -> None:
        if not self.first.done():
            self.first.set_result(first)


class RelayedAnswer:
    """An answer that another router relays; see AnswerStream."""

    def __init__(self, exchange: _Exchange, status: int, headers: Headers, deadline: float) -> None:
        self.status: int = status
        self.headers = headers
        self._exchange = exchange
        self._timer = asyncio.get_running_loop().call_at(deadline, self._expire)

    async def stream_to(self, sink: PartSink) -> None:
        """Write every part to a sink; see AnswerStream."""
        try:
            await self._exchange.pipe.stream_to(sink)
        except ConnectionError as error:
            # The relay looks for a crash of the engine itself, and from here a lost hop is none.
            outcome = self._exchange.broken or Broken("answer-broken", str(error))
            raise AnswerLost(replace(outcome, connection_lost=False)) from error
        self._timer.cancel()

    def cancel(self) -> None:
        """Cancel the call, unless the answer was read to its end."""
        self._timer.cancel()
        self._exchange.cancel()

    def _expire(self) -> None:
        self._exchange.pipe.fail(ConnectionError("the deadline passed"))
        self._exchange.cancel()


class _RelayPeer:
    """The connection to one router for relayed requests, apart from that of other calls."""

    def __init__(self, address: Address, tls: ssl.SSLContext | None) -> None:
        self.address = address
        config = Configuration(
            http2_stream_window_size=ANSWER_WINDOW_BYTES,
            http2_connection_window_size=CONNECTION_WINDOW_BYTES,
        )
        self.channel: Channel = PeerChannel(
            address.host, address.port, codec=MessagePackCodec(), ssl=tls, config=config
        )
        reply_type: Any = wire.RelayReply
        self.relay: UnaryStreamMethod[Any, Any] = UnaryStreamMethod(
            self.channel, wire.RELAY_METHOD, RelayedRequest, reply_type
        )


class RelayCalls:
    """Has other routers relay requests, over one connection to each; see Relays."""

    def __init__(
        self,
        address_of: Callable[[str], Address | None],
        token: str,
        tls: ssl.SSLContext | None,
        held_bytes: HeldBytes,
    ) -> None:
        #: Returns the address of a router by name.
        self._address_of = address_of
        self._metadata = {TOKEN_METADATA: token}
        self._tls = tls
        self._held_bytes = held_bytes
        self._peer_by_name: dict[str, _RelayPeer] = {}

    async def relay(self, router: str, request: RelayedRequest) -> SendResult:
        """Have a router send a request once; see Relays."""
        peer = self._peer(router)
        if peer is None:
            return NotRun(RELAY_GONE, f"router {router} is unknown")
        deadline = asyncio.get_running_loop().time() + request.head.deadline
        call = peer.relay.open(metadata=self._metadata)
        counter = self._held_bytes.counter(request.head.account)
        exchange = _Exchange(call, request, counter)
        try:
            async with asyncio.timeout_at(deadline):
                first = await exchange.first
        except TimeoutError:
            exchange.cancel()
            if not exchange.was_sent:
                return NotRun(RELAY_GONE, f"router {router} was not reached before the deadline")
            return replace(_LOST, reason="no answer before the deadline")
        except BaseException:
            exchange.cancel()
            raise
        if not isinstance(first, wire.RelayedHead):
            exchange.cancel()
            return first if isinstance(first, NotRun) else replace(first, connection_lost=False)
        answer = RelayedAnswer(exchange, first.status, first.headers, deadline)
        return AnswerStarted(answer, relayed_by=router)

    def close_gone(self, is_gone: Callable[[str], bool]) -> None:
        """Close the connections to routers that are gone, so that calls to a frozen one end."""
        for name in [name for name in self._peer_by_name if is_gone(name)]:
            self._peer_by_name.pop(name).channel.close()

    def close_all(self) -> None:
        """Close every connection, when this router stops."""
        for peer in self._peer_by_name.values():
            peer.channel.close()

    def _peer(self, router: str) -> _RelayPeer | None:
        address = self._address_of(router)
        if address is None:
            return None
        known = self._peer_by_name.get(router)
        if known is not None and known.address == address:
            return known
        if known is not None:
            known.channel.close()
        peer = self._peer_by_name[router] = _RelayPeer(address, self._tls)
        return peer
