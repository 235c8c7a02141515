"""A TCP relay on the path from one router to one engine, which can be cut and restored."""

from __future__ import annotations

import enum
import socket

from fakes._local_fleet import free_ports
from fakes._silent_relay import HOST, SilentRelay, accept_incoming, drop_incoming


class Cut(enum.Enum):
    """What becomes of a path's connections while it is cut."""

    #: Open connections are reset, and new ones are refused.
    REFUSE = enum.auto()
    #: Open connections fall silent, and new ones hang.
    HANG = enum.auto()
    #: Open connections live on, and new ones are refused.
    REFUSE_NEW = enum.auto()


class CuttableRelay(SilentRelay):
    """Relays connections to one address until its path is cut."""

    def __init__(self, host: str, port: int) -> None:
        # Not an ephemeral port: while the relay does not listen, no connection may take it.
        super().__init__(host, port, free_ports(1)[0])
        self._cut: Cut | None = None

    def cut(self, cut: Cut) -> None:
        """Cut the path."""
        self._cut = cut
        if cut is Cut.HANG:
            drop_incoming(self._listener)
            self.fall_silent()
            return
        self._stop_accepting()
        if cut is Cut.REFUSE:
            for connection in tuple(self._connections):
                connection.reset()

    def restore(self) -> None:
        """Let new connections pass again; those that fell silent stay so."""
        cut, self._cut = self._cut, None
        if cut is Cut.HANG:
            accept_incoming(self._listener)
        elif cut is not None:
            self._listener = socket.create_server((HOST, self.port))
            self._start_accepting()

    def has_forwarded_since(self, time: float) -> bool:
        """Return whether bytes passed since a time of the machine's monotonic clock."""
        return any(each.last_forwarded_at > time for each in tuple(self._connections))
