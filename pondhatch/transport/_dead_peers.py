"""How a connection that fell silent shows: by the system's own time-outs and probes.

A path that was lost without a reset tells nothing by itself; without these the system gives
such a connection up after a quarter of an hour. They see silence of the path, not of the
program behind it: the other side's system acknowledges for an engine that thinks long, so
no slow answer is cut by them.
"""

from __future__ import annotations

import socket
from typing import Any

#: Milliseconds after which a connection whose bytes nobody acknowledges is given up. By then
#: the system has sent them three times (at 0, 0.2 and 0.6 s), so that a path which loses some
#: packets costs nothing; and of the shortest time-out of routes at the users' sites, 1.5 s, a
#: third is left for another engine.
UNACKNOWLEDGED_MS = 1000
#: Seconds of silence before the first probe, and between two: the least that the system takes.
PROBE_SECONDS = 1
#: Probes that may fail.
PROBES = 2

OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
)


def detect_dead_peer(connection: Any) -> None:
    """Have a socket lost within seconds of its falling silent, idle or not.

    A listening socket hands the options on to the connections that it accepts.
    """
    for level, option, value in OPTIONS:
        connection.setsockopt(level, option, value)
