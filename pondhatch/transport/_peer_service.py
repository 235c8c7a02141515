"""The calls that this router answers to its peers, over gRPC."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
from collections.abc import Callable
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from grpclib.server import Stream as ServerStream

from pondhatch.requests import (
    AnswerStream,
    BodySource,
    CallerGone,
    Known,
    Lost,
    Opened,
    ReplayableBody,
)
from pondhatch.router import Peer
from pondhatch.transport import _wire as wire


def fleet_token(fleet_key: bytes) -> str:
    """Return the token that peers show each other; the key itself never travels."""
    return hashlib.blake2b(b"peer calls", key=hashlib.sha256(fleet_key).digest()).hexdigest()


class _PeerBody:
    """A request's body read from the peer that forwards it; asks for it when first read."""

    def __init__(self, stream: ServerStream[Any, Any], length: int | None) -> None:
        self.length = length
        self._stream = stream
        self._asked = False

    async def read(self) -> bytes:
        if not self._asked:
            self._asked = True
            await self._stream.send_message(wire.SendBody())
        message = await self._stream.recv_message()
        if not isinstance(message, wire.BodyPart):
            raise CallerGone("the peer ended the body early")
        return message.content


class PeerService:
    """The calls that this router answers to its peers."""

    def __init__(
        self, owner: Peer, pull: Callable[[wire.PullRequest], wire.PullReply], token: str
    ) -> None:
        self._owner = owner
        self._pull = pull
        self._token = token

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method, as grpclib asks for them."""
        unary, both = Cardinality.UNARY_UNARY, Cardinality.STREAM_STREAM
        return {
            wire.RUN_METHOD: Handler(self._run, both, wire.ToOwner, wire.FromOwner),
            wire.CLAIM_METHOD: Handler(self._claim, unary, wire.KeyNote, wire.ClaimReply),
            wire.SETTLE_METHOD: Handler(self._settle, unary, wire.KeyNote, wire.Empty),
            wire.RELEASE_METHOD: Handler(self._release, unary, wire.KeyRelease, wire.Empty),
            wire.REMEMBER_METHOD: Handler(self._remember, unary, wire.Remember, wire.Empty),
            wire.PULL_METHOD: Handler(self._answer_pull, unary, wire.PullRequest, wire.PullReply),
        }

    def server(self) -> Server:
        """Return a server that hears only peers who hold the fleet key."""
        server = Server([self], codec=wire.MessagePackCodec())
        listen(server, RecvRequest, self._check_token)
        return server

    async def _check_token(self, event: RecvRequest) -> None:
        shown = event.metadata.get(wire.TOKEN_METADATA, "")
        if not isinstance(shown, str) or not hmac.compare_digest(shown, self._token):
            raise GRPCError(Status.UNAUTHENTICATED, "the fleet key does not fit")

    async def _run(self, stream: ServerStream[Any, Any]) -> None:
        opened = await stream.recv_message()
        if not isinstance(opened, wire.Open):
            raise GRPCError(Status.INVALID_ARGUMENT, "expected the request first")
        await stream.send_message(wire.Heard())
        body: BodySource = _PeerBody(stream, opened.body_length)
        if opened.body is not None:
            body = ReplayableBody(opened.body)
        reply = await self._owner.open(opened.head, body)
        if not isinstance(reply, Opened):
            fields = dataclasses.asdict(reply)
            await stream.send_message(wire.Declined(type(reply).__name__, fields))
            return
        await self._relay(stream, reply.answer)

    async def _relay(self, stream: ServerStream[Any, Any], answer: AnswerStream) -> None:
        try:
            await stream.send_message(wire.AnswerHead(answer.status, answer.headers))
            while part := await answer.read():
                await stream.send_message(wire.AnswerPart(part))
            await stream.send_message(wire.AnswerEnd())
        except Lost as lost:
            outcome = lost.outcome
            await stream.send_message(wire.AnswerLost(outcome.code, outcome.reason))
        finally:
            answer.cancel()

    async def _remember(self, stream: ServerStream[Any, Any]) -> None:
        note = await stream.recv_message()
        if note is not None:
            await self._owner.remember(note.chat, note.engine)
        await stream.send_message(wire.Empty())

    async def _claim(self, stream: ServerStream[wire.KeyNote, wire.ClaimReply]) -> None:
        note = await stream.recv_message()
        claim = await self._owner.claim(note.key, note.record) if note is not None else None
        if claim is not None:
            known = claim.record if isinstance(claim, Known) else None
            await stream.send_message(wire.ClaimReply(known))

    async def _settle(self, stream: ServerStream[wire.KeyNote, wire.Empty]) -> None:
        note = await stream.recv_message()
        if note is not None:
            await self._owner.settle(note.key, note.record)
        await stream.send_message(wire.Empty())

    async def _release(self, stream: ServerStream[wire.KeyRelease, wire.Empty]) -> None:
        note = await stream.recv_message()
        if note is not None:
            await self._owner.release(note.key, note.request_id)
        await stream.send_message(wire.Empty())

    async def _answer_pull(self, stream: ServerStream[Any, Any]) -> None:
        asked = await stream.recv_message()
        if asked is not None:
            await stream.send_message(self._pull(asked))
