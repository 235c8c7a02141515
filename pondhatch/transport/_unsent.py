"""The number of bytes that a connection has buffered and not yet written to the socket."""

from __future__ import annotations

from typing import Any

from twisted.internet.abstract import FileDescriptor


def unsent_bytes(transport: Any) -> int:
    """Return the bytes in a connection's write buffer; 0 if its type exposes none.

    Bytes buffered by TLS itself, above the plain transport, are not included.
    """
    plain = getattr(transport, "transport", transport)  # TLS wraps a plain transport.
    if not isinstance(plain, FileDescriptor):
        return 0
    return len(plain.dataBuffer) - plain.offset + plain._tempDataLen
