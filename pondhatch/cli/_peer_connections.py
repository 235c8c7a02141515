"""Connections to the other routers: one to each, closed when that router is gone."""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.membership import Member
from pondhatch.observing import log_for
from pondhatch.transport import PeerTls, RemotePeer

log = log_for("process")


class PeerConnections:
    """Keeps one connection to each router that was called."""

    def __init__(self, token: str, tls: PeerTls | None) -> None:
        self._token = token
        self._tls = tls.client if tls is not None else None
        self._remote_by_name: dict[str, RemotePeer] = {}

    def connection_to(self, member: Member) -> RemotePeer:
        """Return the connection to a router, a new one if its address has changed."""
        known = self._remote_by_name.get(member.name)
        if known is not None and known.address == member.address:
            return known
        if known is not None:
            known.close()
        remote = RemotePeer(member.name, member.address, self._token, self._tls)
        self._remote_by_name[member.name] = remote
        return remote

    def close_gone(self, is_gone: Callable[[str], bool]) -> None:
        """Close the connections to routers that are gone, so that calls to a frozen one end."""
        gone = [name for name in self._remote_by_name if is_gone(name)]
        for name in gone:
            log.info("Closing the connection to router {}, which is gone.", name)
            self._remote_by_name.pop(name).close()

    def close_all(self) -> None:
        """Close every connection, when this router stops."""
        for remote in self._remote_by_name.values():
            remote.close()
