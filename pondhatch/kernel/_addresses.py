"""Addresses as texts: "IP:port"."""

from __future__ import annotations

import re

#: Ports that something can be reached at; 0 stands for none.
PORTS = range(1, 65536)
#: Digits of ASCII alone: other signs count as digits too, but make no number.
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


def host_and_port(text: str) -> tuple[str, int] | None:
    """Return the host, its brackets left out, and the port; None where there are not both."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not PORT_PATTERN.fullmatch(port) or int(port) not in PORTS:
        return None
    return host, int(port)
