"""Opens the callers' port before the rest of a router is loaded.

A router takes half a second from the start of its process to its first answer, most of it for
importing libraries. Where all routers of a data hall were down, the balancer has no other router
and sends callers to those that are starting. Callers whose connection is refused spend their only
retry at once. With a port that listens from the start, they wait in the kernel's accept queue.

This module imports nothing but ``socket`` and light standard modules, since any import delays the
port.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Sequence

#: The command that starts a router, the only one that serves callers.
RUN_COMMAND = "run"
#: Option with the port: the settings file is parsed by libraries that are not loaded yet.
LISTEN_OPTION = "--listen"
#: Length of the accept queue of the callers' port: the default limit of Linux, and the number of
#: connections that a router at the users' sites can open at all. After a power cut all callers
#: reconnect within a second, while a starting router is busy. Beyond the queue their SYN packets
#: are dropped and retransmitted seconds later.
CALLER_BACKLOG = 4096

_opened_by_address: dict[str, socket.socket] = {}


def open_early(arguments: Sequence[str]) -> None:
    """Open the port that the command line names, if any.

    A port that cannot be opened is left closed: the router tries again when it opens its
    other ports, and reports the error.
    """
    if arguments[:1] != [RUN_COMMAND] or LISTEN_OPTION not in arguments[:-1]:
        return
    address = arguments[arguments.index(LISTEN_OPTION) + 1]
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if _key(host, port) in _opened_by_address:
        return
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with contextlib.suppress(OSError, ValueError, OverflowError):
        _opened_by_address[_key(host, port)] = socket.create_server(
            (host, int(port)), family=family, backlog=CALLER_BACKLOG
        )


def take_early(host: str, port: int) -> socket.socket | None:
    """Return the socket of a port that was opened early, or None; the caller becomes its owner."""
    return _opened_by_address.pop(_key(host, str(port)), None)


def _key(host: str, port: str) -> str:
    return f"{host} {port}"
