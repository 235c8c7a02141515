"""Another router as this one reaches it, over gRPC."""

from __future__ import annotations

import asyncio
import ssl
from typing import Any

from grpclib.client import Channel, Stream, StreamStreamMethod, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from pondhatch.kernel import Tasks
from pondhatch.membership import Address
from pondhatch.requests import (
    BodySource,
    Broken,
    Busy,
    CallerGone,
    Claim,
    Elsewhere,
    Fresh,
    Headers,
    KeyRecord,
    Known,
    Lost,
    NotOwner,
    NotRun,
    Opened,
    OwnerReply,
    ReplayableBody,
    Unknown,
)
from pondhatch.requests import RequestHead as Head
from pondhatch.transport import _wire as wire

#: Bodies up to this many bytes travel with the question itself.
INLINE_BODY = 16 * 1024
#: Bytes of a body's part on the wire.
BODY_PART = 64 * 1024
#: Seconds to wait for a peer's first word; its upstream may take the whole deadline.
CALL_SECONDS = 2.0
#: What a lost connection to a peer looks like.
PEER_LOST = (GRPCError, StreamTerminatedError, ProtocolError, OSError)

_DECLINED: dict[str, type[Any]] = {
    kind.__name__: kind for kind in (Busy, Elsewhere, NotOwner, NotRun, Unknown)
}


class _RemoteAnswer:
    """An answer relayed by a peer; see AnswerStream."""

    def __init__(
        self,
        stream: Stream[Any, Any],
        head: wire.AnswerHead,
        pump: asyncio.Task[None] | None,
        tasks: Tasks,
    ) -> None:
        self.status: int = head.status
        self.headers: Headers = head.headers
        self._stream = stream
        self._pump = pump
        self._tasks = tasks
        self._done = False

    async def read(self) -> bytes:
        try:
            message = await self._stream.recv_message()
        except PEER_LOST as error:
            self.cancel()
            raise Lost(Broken("router-lost", f"the owning router was lost: {error}")) from error
        if isinstance(message, wire.AnswerPart):
            return message.content
        self.cancel()
        if isinstance(message, wire.AnswerEnd):
            return b""
        if isinstance(message, wire.AnswerLost):
            raise Lost(Broken(message.code, message.reason))
        raise Lost(Broken("router-lost", "the owning router ended its answer early"))

    def cancel(self) -> None:
        if self._done:
            return
        self._done = True
        if self._pump is not None:
            self._pump.cancel()
        self._tasks.start(_close(self._stream))


async def _close(stream: Stream[Any, Any]) -> None:
    """End a stream, resetting it where the peer has not ended it."""
    try:
        await stream.__aexit__(ConnectionResetError, ConnectionResetError(), None)
    except PEER_LOST:
        return


class RemoteOwner:
    """Another router's engines, reached over one connection; see Owner."""

    def __init__(
        self,
        name: str,
        address: Address,
        token: str,
        tasks: Tasks,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self._metadata = {wire.TOKEN_METADATA: token}
        self._tasks = tasks
        self._channel = Channel(address.host, address.port, codec=wire.MessagePackCodec(), ssl=tls)
        to_owner: Any = wire.ToOwner
        from_owner: Any = wire.FromOwner
        self._run: StreamStreamMethod[Any, Any] = StreamStreamMethod(
            self._channel, wire.RUN_METHOD, to_owner, from_owner
        )
        self._remember = UnaryUnaryMethod(
            self._channel, wire.REMEMBER_METHOD, wire.Remember, wire.Empty
        )
        self._pull = UnaryUnaryMethod(
            self._channel, wire.PULL_METHOD, wire.PullRequest, wire.PullReply
        )
        self._claim = UnaryUnaryMethod(
            self._channel, wire.CLAIM_METHOD, wire.KeyNote, wire.ClaimReply
        )
        self._settle = UnaryUnaryMethod(self._channel, wire.SETTLE_METHOD, wire.KeyNote, wire.Empty)
        self._release = UnaryUnaryMethod(
            self._channel, wire.RELEASE_METHOD, wire.KeyRelease, wire.Empty
        )

    async def open(self, head: Head, body: BodySource) -> OwnerReply:
        """Ask the peer for a grant and run the request there; see Owner."""
        stream = self._run.open(metadata=self._metadata)
        inline = await _inline(body)
        sent = False
        try:
            async with asyncio.timeout(CALL_SECONDS):
                await stream.__aenter__()
                await stream.send_request()
            sent = True
            async with asyncio.timeout(CALL_SECONDS):
                await stream.send_message(wire.Open(head, body.length, inline))
                await stream.recv_message()
            async with asyncio.timeout(head.deadline):
                return await self._first_reply(stream, body)
        except (*PEER_LOST, TimeoutError) as error:
            await _close(stream)
            reason = f"router {self.name}: {type(error).__name__} {error}"
            if _certainly_not_run(error, sent):
                return NotRun("router-unreachable", reason)
            return Unknown("router-lost", reason)
        except BaseException:
            await _close(stream)
            raise

    async def remember(self, chat: int, engine: str) -> None:
        """Tell the peer where a chat was served, without waiting for it."""
        self._tasks.start(self._call(self._remember, wire.Remember(chat, engine)))

    async def pull(self, configuration: int, upstreams: int) -> wire.PullReply | None:
        """Return what the peer has beyond these versions, or None where it is lost."""
        reply: wire.PullReply | None = await self._call(
            self._pull, wire.PullRequest(configuration, upstreams)
        )
        return reply

    async def claim(self, key: str, record: KeyRecord) -> Claim | None:
        """Claim a key at the peer; see KeyHolder."""
        reply = await self._call(self._claim, wire.KeyNote(key, record))
        if reply is None:
            return None
        return Fresh() if reply.known is None else Known(reply.known)

    async def settle(self, key: str, record: KeyRecord) -> None:
        """Record at the peer what became of a request; see KeyHolder."""
        await self._call(self._settle, wire.KeyNote(key, record))

    async def release(self, key: str, request_id: str) -> None:
        """Forget a claim at the peer; see KeyHolder."""
        await self._call(self._release, wire.KeyRelease(key, request_id))

    async def _call(self, method: Any, message: Any) -> Any:
        """Return a small call's reply, or None where the peer is lost."""
        try:
            return await method(message, timeout=CALL_SECONDS, metadata=self._metadata)
        except (*PEER_LOST, TimeoutError):
            return None

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def _first_reply(self, stream: Stream[Any, Any], body: BodySource) -> OwnerReply:
        pump: asyncio.Task[None] | None = None
        while True:
            message = await stream.recv_message()
            if isinstance(message, wire.SendBody):
                pump = asyncio.ensure_future(_pump(stream, body))
                continue
            if isinstance(message, wire.AnswerHead):
                return Opened(_RemoteAnswer(stream, message, pump, self._tasks))
            if pump is not None:
                pump.cancel()
            await _close(stream)
            if isinstance(message, wire.Declined):
                declined: OwnerReply = _DECLINED[message.kind](**message.fields)
                return declined
            return Unknown("router-lost", f"router {self.name} ended without an answer")


async def _inline(body: BodySource) -> bytes | None:
    if isinstance(body, ReplayableBody) and len(body.content) <= INLINE_BODY:
        return await body.read()
    return b"" if body.length == 0 else None


async def _pump(stream: Stream[Any, Any], body: BodySource) -> None:
    try:
        while part := await body.read():
            for start in range(0, len(part), BODY_PART):
                await stream.send_message(wire.BodyPart(part[start : start + BODY_PART]))
        await stream.send_message(wire.BodyPart(b""))
    except CallerGone:
        await stream.cancel()
    except PEER_LOST:
        return


def _certainly_not_run(error: BaseException, sent: bool) -> bool:
    """A peer that never got the question, or refused to hear it, ran nothing."""
    refused_unheard = isinstance(error, GRPCError) and error.status == Status.UNAUTHENTICATED
    return refused_unheard or not sent
