"""Looks at received bytes that nobody has read yet."""

from __future__ import annotations

import socket
from typing import Any

#: Bytes that are looked at: more than tell whether an answer begins.
_PEEKED_BYTES = 16


def unread_bytes(transport: Any) -> bytes | None:
    """Return some bytes in a socket's buffer, b"" at its end, None without any; they stay there.

    Raises OSError if the connection is lost.
    """
    try:
        found = transport.getHandle().recv(_PEEKED_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    return bytes(found)
