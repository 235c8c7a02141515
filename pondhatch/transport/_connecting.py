"""Opens connections to upstreams and the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from pondhatch.transport._http_connection import Connection
from pondhatch.transport._reading_turns import ReadingTurns

#: Timeout of opening a connection, in seconds.
CONNECT_SECONDS = 1.0
#: Valid TCP ports.
PORTS = range(1, 2**16)


class NotSent(Exception):
    """The request failed before any byte of it left this process."""


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port to connect to."""

    host: str
    port: int

    @classmethod
    def of_url(cls, url: str) -> Address:
        """Return the address in "http://IP:port". Raises ValueError if the URL is invalid."""
        host, _, port = url.removeprefix("http://").rstrip("/").rpartition(":")
        number = int(port)
        if not host or number not in PORTS:
            raise ValueError(f"expected http://IP:port, got {url!r}")
        return cls(host.strip("[]"), number)


class ConnectFactory(ClientFactory):
    """Opens one connection, or reports why that failed."""

    noisy = False

    def __init__(
        self, on_closed: Callable[[Connection], None], turns: ReadingTurns, to_upstream: bool
    ) -> None:
        self.connected: asyncio.Future[Connection] = asyncio.get_running_loop().create_future()
        self._on_closed = on_closed
        self._turns = turns
        self._to_upstream = to_upstream

    def buildProtocol(self, addr: Any) -> Connection:
        connection = _AnnouncingConnection(self._on_closed, self._turns)
        connection.on_connected = self._set_connection
        connection.to_upstream = self._to_upstream
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._fail(reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Fail the attempt if the connection is lost before its set-up is complete."""
        self._fail(reason)

    def _fail(self, reason: Failure) -> None:
        if not self.connected.done():
            self.connected.set_exception(NotSent(reason.getErrorMessage()))
            self.connected.exception()  # Marks it as retrieved: its waiter may be gone.

    def _set_connection(self, connection: Connection) -> None:
        if self.connected.done():
            connection.abort()
            return
        self.connected.set_result(connection)


class _AnnouncingConnection(Connection):
    """A connection that reports when it is established."""

    on_connected: Callable[[Connection], None]

    def connectionMade(self) -> None:
        super().connectionMade()
        self.on_connected(self)
