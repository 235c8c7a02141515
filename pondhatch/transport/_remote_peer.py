"""A client for calls to another router over gRPC."""

from __future__ import annotations

import ssl
from typing import Any

from grpclib.client import Channel, Handler, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from pondhatch.membership import Address
from pondhatch.requests import Claim, KeyRecord, NewKey, UsedKey
from pondhatch.transport import _wire as wire
from pondhatch.transport._dead_peers import detect_dead_peer

#: Timeout of a call to a peer, in seconds. A timeout also replaces the connection: nothing else
#: detects a middlebox that acknowledges bytes and discards them.
CALL_SECONDS = 2.0
#: Exceptions that a lost connection to a peer raises.
PEER_LOST = (GRPCError, StreamTerminatedError, ProtocolError, OSError)


class _Protocol(H2Protocol):
    """A connection that detects a dead peer within seconds, also between calls."""

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        detect_dead_peer(transport.get_extra_info("socket"))


class PeerChannel(Channel):
    """A channel to one peer that reconnects when its connection is lost."""

    def _protocol_factory(self) -> H2Protocol:
        return _Protocol(Handler(), self._config, self._h2_config)


class _PeerCalls:
    """A channel to one peer and the calls made over it."""

    def __init__(self, address: Address, tls: ssl.SSLContext | None) -> None:
        self.channel = PeerChannel(
            address.host, address.port, codec=wire.MessagePackCodec(), ssl=tls
        )
        self.pull = UnaryUnaryMethod(
            self.channel, wire.PULL_METHOD, wire.PullRequest, wire.PullReply
        )
        self.claim = UnaryUnaryMethod(
            self.channel, wire.CLAIM_METHOD, wire.KeyedRecord, wire.ClaimReply
        )
        self.settle = UnaryUnaryMethod(
            self.channel, wire.SETTLE_METHOD, wire.KeyedRecord, wire.Empty
        )
        self.release = UnaryUnaryMethod(
            self.channel, wire.RELEASE_METHOD, wire.KeyRelease, wire.Empty
        )


class RemotePeer:
    """Another router as a holder of idempotency keys and a source of updates; one connection."""

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
        self._tls = tls
        self._calls = _PeerCalls(address, tls)

    async def pull(
        self, configuration: int, upstreams: int, takes_difference: bool = True
    ) -> wire.PullReply | None:
        """Return the peer's updates since these versions, or None if it is unreachable."""
        request = wire.PullRequest(configuration, upstreams, takes_difference)
        reply: wire.PullReply | None = await self._call("pull", request)
        return reply

    async def claim(self, key: str, record: KeyRecord) -> Claim | None:
        """Claim a key at the peer, or return None if it is unreachable; see KeyHolder."""
        reply = await self._call("claim", wire.KeyedRecord(key, record))
        if reply is None:
            return None
        return NewKey() if reply.known is None else UsedKey(reply.known)

    async def settle(self, key: str, record: KeyRecord) -> bool:
        """Record a request's outcome at the peer; see KeyHolder."""
        return await self._call("settle", wire.KeyedRecord(key, record)) is not None

    async def release(self, key: str, request_id: str) -> bool:
        """Release a claim at the peer; see KeyHolder."""
        return await self._call("release", wire.KeyRelease(key, request_id)) is not None

    async def _call(self, name: str, message: Any) -> Any:
        """Return the reply of a call, or None if the peer is unreachable."""
        calls = self._calls
        try:
            method = getattr(calls, name)
            return await method(message, timeout=CALL_SECONDS, metadata=self._metadata)
        except TimeoutError:
            self._reconnect(calls)
            return None
        except PEER_LOST:
            return None

    def _reconnect(self, silent: _PeerCalls) -> None:
        """Replace the connection for later calls, unless another call has already done so."""
        if self._calls is not silent:
            return
        self._calls = _PeerCalls(self.address, self._tls)
        silent.channel.close()

    def close(self) -> None:
        """Close the connection."""
        self._calls.channel.close()
