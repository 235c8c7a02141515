"""Another router as this one reaches it, over gRPC."""

from __future__ import annotations

import ssl
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from pondhatch.membership import Address
from pondhatch.requests import Claim, Fresh, KeyRecord, Known
from pondhatch.transport import _wire as wire

#: Seconds to wait for a peer's reply.
CALL_SECONDS = 2.0
#: What a lost connection to a peer looks like.
PEER_LOST = (GRPCError, StreamTerminatedError, ProtocolError, OSError)


class RemotePeer:
    """Another router as a holder of keys and of versions, reached over one connection."""

    def __init__(
        self,
        name: str,
        address: Address,
        token: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self._metadata = {wire.TOKEN_METADATA: token}
        self._channel = Channel(address.host, address.port, codec=wire.MessagePackCodec(), ssl=tls)
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
