"""How many bytes a connection holds that the system has not taken from it."""

from __future__ import annotations

from typing import Any

from twisted.internet.abstract import FileDescriptor


def unsent_bytes(transport: Any) -> int:
    """Return the bytes in a connection's buffer; 0 where its kind keeps none that can be seen.

    What lies in a TLS connection beside its plain one's buffer is not seen.
    """
    plain = getattr(transport, "transport", transport)  # TLS lies on a connection of its own.
    if not isinstance(plain, FileDescriptor):
        return 0
    return len(plain.dataBuffer) - plain.offset + plain._tempDataLen
