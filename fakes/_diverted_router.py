"""Diverts a router's outgoing connections, so that each router has paths of its own to engines.

All routers of a fleet read the same addresses from the platform. A test that cuts the path of one
router only has this router connect to a relay instead.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from twisted.internet.posixbase import PosixReactorBase


class _Diversions:
    """The ports to connect to by "IP:port", read again from their file whenever it changes."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._changed_at = 0
        self._port_by_address: dict[str, int] = {}

    def port(self, host: str, port: int) -> int:
        """Return the port to connect to."""
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._changed_at:
            self._port_by_address = json.loads(self._path.read_text())
            self._changed_at = changed_at
        return self._port_by_address.get(f"{host}:{port}", port)


def divert_connections(path: Path) -> None:
    """Have connections to addresses in a file's mapping made to other ports of the same IP."""
    diversions, connect = _Diversions(path), PosixReactorBase.connectTCP

    def connect_diverted(self: Any, host: str, port: int, *arguments: Any, **options: Any) -> Any:
        return connect(self, host, diversions.port(host, port), *arguments, **options)

    PosixReactorBase.connectTCP = connect_diverted  # type: ignore[method-assign]
