"""Hands packets of other routers to the exchange that each belongs to, by its first byte."""

from __future__ import annotations

from pondhatch.kernel import Tasks
from pondhatch.membership import Address, Datagram
from pondhatch.router import (
    CRASH_PACKET_PREFIX,
    GRANT_PACKET_PREFIX,
    NOTICE_PACKET_PREFIX,
    ORIGIN_PACKET_PREFIX,
    CrashEvidenceExchange,
    GrantExchange,
    NoticeExchange,
    RouterState,
    StreamOriginExchange,
    Sync,
)


class PacketReceiver:
    """Receives the packets of other routers; what has no prefix is gossip."""

    def __init__(
        self,
        state: RouterState,
        grant_exchange: GrantExchange,
        crash_evidence: CrashEvidenceExchange,
        notice_exchange: NoticeExchange,
        stream_origins: StreamOriginExchange,
        sync: Sync,
        tasks: Tasks,
    ) -> None:
        self._state = state
        self._grant_exchange = grant_exchange
        self._crash_evidence = crash_evidence
        self._notice_exchange = notice_exchange
        self._stream_origins = stream_origins
        self._sync = sync
        self._tasks = tasks

    def receive(self, payload: bytes, source: Address) -> list[Datagram]:
        """Handle one packet; return the replies to it."""
        if payload.startswith(GRANT_PACKET_PREFIX):
            self._grant_exchange.receive(payload[len(GRANT_PACKET_PREFIX) :], source)
            return []
        if payload.startswith(CRASH_PACKET_PREFIX):
            self._crash_evidence.receive(payload[len(CRASH_PACKET_PREFIX) :])
            return []
        if payload.startswith(NOTICE_PACKET_PREFIX):
            self._notice_exchange.receive(payload[len(NOTICE_PACKET_PREFIX) :])
            return []
        if payload.startswith(ORIGIN_PACKET_PREFIX):
            self._stream_origins.receive(payload[len(ORIGIN_PACKET_PREFIX) :], source)
            return []
        replies = self._state.gossip.receive(payload, source, self._state.clock())
        self._state.refresh_members()
        self._grant_exchange.follow_members()
        if self._state.gossip.routers_ahead():
            self._tasks.start(self._sync.on_peer_ahead())
        return replies
