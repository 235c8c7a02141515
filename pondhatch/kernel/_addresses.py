"""Parsing of addresses of the form "IP:port"."""

from __future__ import annotations

import re

#: Ports that can be connected to; 0 cannot.
PORTS = range(1, 65536)
#: ASCII digits only: str.isdigit also accepts characters that int() rejects.
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


def host_and_port(text: str) -> tuple[str, int] | None:
    """Return the host, without brackets, and the port; None if either is missing or invalid."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not PORT_PATTERN.fullmatch(port) or int(port) not in PORTS:
        return None
    return host, int(port)
