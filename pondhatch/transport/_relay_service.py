"""The gRPC handler by which this router relays requests of its peers to engines."""

from __future__ import annotations

from typing import Any

from grpclib.const import Cardinality, Handler
from grpclib.server import Stream as ServerStream

from pondhatch.requests import AnswerStarted, NotRun, RelayedRequest, RelayedRun, RelaySide
from pondhatch.transport._relay_wire import (
    RELAY_METHOD,
    RelayedBreak,
    RelayedEnd,
    RelayedHead,
    RelayedLoss,
    RelayedPart,
    RelayedRefusal,
    RelayReply,
)

_ReplyStream = ServerStream[RelayedRequest, RelayReply]


class _MessageSink:
    """Sends parts of an answer as messages, no faster than the peer reads them; see PartSink."""

    def __init__(self, stream: _ReplyStream) -> None:
        self._stream = stream
        self._unsent: list[bytes] = []

    def write(self, part: bytes) -> bool:
        self._unsent.append(part)
        return False

    async def ready(self) -> None:
        parts, self._unsent = self._unsent, []
        await self._stream.send_message(RelayedPart(b"".join(parts)))


class RelayService:
    """Handles the calls of peers to relay requests; only holders of the fleet key may call."""

    def __init__(self, side: RelaySide) -> None:
        self._side = side

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method; called by grpclib."""
        kind: Any = Cardinality.UNARY_STREAM
        reply_type: Any = RelayReply
        return {RELAY_METHOD: Handler(self._relay, kind, RelayedRequest, reply_type)}

    async def _relay(self, stream: _ReplyStream) -> None:
        """Relay one request; a peer that cancels its call cancels this, and so the request."""
        request = await stream.recv_message()
        if request is None:
            return
        run = self._side.start(request)
        if isinstance(run, NotRun):
            await stream.send_message(RelayedRefusal(run))
            return
        try:
            await self._run(stream, run)
        finally:
            run.close()

    async def _run(self, stream: _ReplyStream, run: RelayedRun) -> None:
        reply = await run.send()
        if isinstance(reply, NotRun):
            await stream.send_message(RelayedRefusal(reply))
            return
        if not isinstance(reply, AnswerStarted):
            await stream.send_message(RelayedLoss(reply))
            return
        try:
            await stream.send_message(RelayedHead(reply.answer.status, reply.answer.headers))
            broken = await run.stream(reply, _MessageSink(stream))
        finally:
            reply.answer.cancel()
        await stream.send_message(RelayedEnd() if broken is None else RelayedBreak(broken))
