"""Detects dead connections by the operating system's TCP timeouts and keep-alive probes.

A path that is lost without a reset is not reported; by default the system gives up such a
connection only after a quarter of an hour. The options detect a silent path, not a slow program:
the other side's system acknowledges bytes for a busy engine, so slow answers are not cut.
"""

from __future__ import annotations

import socket
from typing import Any

#: Milliseconds after which a connection with unacknowledged bytes is closed. The system counts from
#: its first retransmission and closes the connection some 0.43 s later than this. By then it has
#: sent the bytes four times (at 0, 0.2, 0.4 and 0.8 s), so a path that loses some packets does not
#: count as dead. The shortest route timeout that operators configure is 1.5 s, of which this leaves
#: a third for another engine.
UNACKNOWLEDGED_MS = 600
#: The same for a connection with a request that may not be repeated: if it is closed the request is
#: lost for good, while a sound engine may be silent for a second or so. The system also ends its
#: keep-alive probes by this time, whatever their number.
UNREPEATABLE_UNACKNOWLEDGED_MS = 3000
#: Seconds of silence before the first probe and between probes; the system's minimum.
PROBE_SECONDS = 1
#: Failed probes after which the connection is closed.
PROBES = 2

OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
)


def limit_silence(connection: Any, milliseconds: int) -> None:
    """Set after how many milliseconds with unacknowledged bytes a connection is closed."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def detect_dead_peer(connection: Any) -> None:
    """Set options that close a connection within seconds of its falling silent, idle or not.

    The connections that a listening socket accepts inherit its options.
    """
    for level, option, value in OPTIONS:
        connection.setsockopt(level, option, value)
