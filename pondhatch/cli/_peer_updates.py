"""Exchanges updates of the configuration, upstreams and evacuations with other routers."""

from __future__ import annotations

from pondhatch.cli._peer_connections import PeerConnections
from pondhatch.membership import Member
from pondhatch.router import RouterState
from pondhatch.transport import PullReply, PullRequest


class PeerUpdates:
    """Pulls updates from other routers and answers their pulls."""

    def __init__(self, state: RouterState, connections: PeerConnections) -> None:
        self._state = state
        self._connections = connections

    async def pull(self, member: Member, configuration: int, upstreams: int) -> PullReply | None:
        """Ask another router for what this one lacks; None if it did not answer.

        ``configuration`` and ``upstreams`` are the versions that this router holds.
        """
        takes_difference = not self._state.needs_snapshot
        peer = self._connections.connection_to(member)
        reply = await peer.pull(configuration, upstreams, takes_difference)
        if reply is None:
            self._state.note_unreachable(member.name)
        return reply

    def answer(self, request: PullRequest) -> PullReply:
        """Return what another router lacks."""
        return PullReply(
            self._state.update_since(request.configuration, request.takes_difference),
            self._state.upstreams_since(request.upstreams),
            self._state.halls.evacuations.as_update(),
        )
