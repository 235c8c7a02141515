"""Diverts a router's outgoing connections, so that each router has paths of its own.

All routers of a fleet read the same addresses from the platform. A test that cuts the path of one
router only has this router connect to a relay instead, and drop datagrams.
"""

from __future__ import annotations

import json
from asyncio.base_events import BaseEventLoop
from pathlib import Path
from typing import Any

from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.udp import Port

from pondhatch.transport import GossipPort

#: Begin the names of addresses whose datagrams are dropped, sent or received.
DATAGRAMS_TO = "to "
DATAGRAMS_FROM = "from "


class _Diversions:
    """The ports to connect to by "IP:port", read again from their file whenever it changes."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._changed_at = 0
        self._port_by_address: dict[str, int] = {}

    def port(self, host: str, port: int) -> int:
        """Return the port to connect to."""
        return self._current().get(f"{host}:{port}", port)

    def drops(self, direction: str, address: tuple[str, int]) -> bool:
        """Return whether datagrams to or from an address are dropped."""
        return f"{direction}{address[0]}:{address[1]}" in self._current()

    def _current(self) -> dict[str, int]:
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._changed_at:
            self._port_by_address = json.loads(self._path.read_text())
            self._changed_at = changed_at
        return self._port_by_address


def divert_connections(path: Path) -> None:
    """Have connections to addresses in a file's mapping made to other ports of the same IP.

    Datagrams to and from addresses that the mapping names as such are dropped.
    """
    diversions = _Diversions(path)
    _divert_reactor(diversions)
    _divert_loop(diversions)
    _drop_datagrams(diversions)


def _divert_reactor(diversions: _Diversions) -> None:
    connect = PosixReactorBase.connectTCP

    def connect_diverted(self: Any, host: str, port: int, *arguments: Any, **options: Any) -> Any:
        return connect(self, host, diversions.port(host, port), *arguments, **options)

    PosixReactorBase.connectTCP = connect_diverted  # type: ignore[method-assign]


def _divert_loop(diversions: _Diversions) -> None:
    """Divert the connections between routers, which the event loop opens."""
    connect: Any = BaseEventLoop.create_connection

    def connect_diverted(
        self: Any, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        if host is not None and port is not None:
            port = diversions.port(host, port)
        return connect(self, factory, host, port, **options)

    BaseEventLoop.create_connection = connect_diverted  # type: ignore[assignment,method-assign]


def _drop_datagrams(diversions: _Diversions) -> None:
    write: Any = Port.write
    receive = GossipPort.datagramReceived

    def write_undropped(self: Any, datagram: bytes, addr: Any = None) -> Any:
        if addr is not None and diversions.drops(DATAGRAMS_TO, addr):
            return len(datagram)
        return write(self, datagram, addr)

    def receive_undropped(self: GossipPort, datagram: bytes, addr: tuple[str, int]) -> None:
        if not diversions.drops(DATAGRAMS_FROM, addr):
            receive(self, datagram, addr)

    Port.write = write_undropped  # type: ignore[method-assign]
    GossipPort.datagramReceived = receive_undropped  # type: ignore[method-assign]
