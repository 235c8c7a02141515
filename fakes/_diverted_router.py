"""Diverts a router's outgoing connections, so that each router has paths of its own to engines.

All routers of a fleet read the same addresses from the platform. A test that cuts the path of one
router only has this router connect to a relay instead.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from twisted.internet.posixbase import PosixReactorBase


def divert_connections(port_by_address: Mapping[str, int]) -> None:
    """Have connections to an "IP:port" of the mapping made to another port of the same IP."""
    connect: Any = PosixReactorBase.connectTCP

    def connect_diverted(self: Any, host: str, port: int, *arguments: Any, **options: Any) -> Any:
        diverted = port_by_address.get(f"{host}:{port}", port)
        return connect(self, host, diverted, *arguments, **options)

    PosixReactorBase.connectTCP = connect_diverted  # type: ignore[method-assign]
