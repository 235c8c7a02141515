"""The callers' port, opened before anything else of a router is loaded.

A router takes half a second from its process's start to its first answer, most of it for
loading its libraries. Where all routers of a data hall were down, the balancer has nobody
else, and sends callers to those that start; refused, they spend their one retry at once.
A port that listens from the start has them wait in the system's queue instead.

Nothing here imports more than the system's sockets, or it would not be early.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Sequence

#: The one command that has callers.
RUN_COMMAND = "run"
#: Names the port on the command line: the settings are read by libraries not yet loaded.
LISTEN_OPTION = "--listen"
#: Connections of callers that may wait to be accepted: as many as Linux lets any port hold by
#: default, and as a router of the users' sites can open at all. All callers of a power cut
#: come back within a second, while a starting router is busy; beyond the queue their opening
#: packets are dropped, and sent again seconds later.
CALLER_BACKLOG = 4096

_opened_by_address: dict[str, socket.socket] = {}


def open_early(arguments: Sequence[str]) -> None:
    """Open the port that the command line names, if it does.

    One that cannot be opened is left to whoever opens the router's other ports, which tells why.
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
    """Return the port's socket where it was opened early; it is the taker's from now on."""
    return _opened_by_address.pop(_key(host, str(port)), None)


def _key(host: str, port: str) -> str:
    return f"{host} {port}"
