"""The gRPC service that this router offers its peers."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

from grpclib.const import Cardinality, Handler, Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from grpclib.server import Stream as ServerStream

from pondhatch.requests import KeyHolder, UsedKey
from pondhatch.transport import _wire as wire


def fleet_token(fleet_key: bytes) -> str:
    """Return the token that authenticates peers; the fleet key itself is never sent."""
    return hashlib.blake2b(b"peer calls", key=hashlib.sha256(fleet_key).digest()).hexdigest()


class PeerService:
    """Handles the calls of peers for idempotency keys and updates."""

    def __init__(
        self, keys: KeyHolder, pull: Callable[[wire.PullRequest], wire.PullReply], token: str
    ) -> None:
        self._keys = keys
        self._pull = pull
        self._token = token

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method; called by grpclib."""
        unary = Cardinality.UNARY_UNARY
        return {
            wire.CLAIM_METHOD: Handler(self._claim, unary, wire.KeyedRecord, wire.ClaimReply),
            wire.SETTLE_METHOD: Handler(self._settle, unary, wire.KeyedRecord, wire.Empty),
            wire.RELEASE_METHOD: Handler(self._release, unary, wire.KeyRelease, wire.Empty),
            wire.PULL_METHOD: Handler(self._answer_pull, unary, wire.PullRequest, wire.PullReply),
        }

    def server(self, *others: Any) -> Server:
        """Return a server of this and other services, for holders of the fleet key only."""
        server = Server([self, *others], codec=wire.MessagePackCodec())
        listen(server, RecvRequest, self._check_token)
        return server

    async def _check_token(self, event: RecvRequest) -> None:
        token = event.metadata.get(wire.TOKEN_METADATA, "")
        if not isinstance(token, str) or not hmac.compare_digest(token, self._token):
            raise GRPCError(Status.UNAUTHENTICATED, "the fleet key does not fit")

    async def _claim(self, stream: ServerStream[wire.KeyedRecord, wire.ClaimReply]) -> None:
        message = await stream.recv_message()
        claim = await self._keys.claim(message.key, message.record) if message is not None else None
        if claim is not None:
            known = claim.record if isinstance(claim, UsedKey) else None
            await stream.send_message(wire.ClaimReply(known))

    async def _settle(self, stream: ServerStream[wire.KeyedRecord, wire.Empty]) -> None:
        message = await stream.recv_message()
        if message is not None:
            await self._keys.settle(message.key, message.record)
        await stream.send_message(wire.Empty())

    async def _release(self, stream: ServerStream[wire.KeyRelease, wire.Empty]) -> None:
        message = await stream.recv_message()
        if message is not None:
            await self._keys.release(message.key, message.request_id)
        await stream.send_message(wire.Empty())

    async def _answer_pull(self, stream: ServerStream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._pull(request))
