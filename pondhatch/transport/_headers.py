"""Headers: their bytes as text, and those that belong to one connection.

Between two connections a header is text with one character for each byte (latin-1), so that
it goes on byte for byte whatever encoding its sender meant.
"""

from __future__ import annotations

from pondhatch.requests import Headers

#: Encoding that has one character for each byte.
BYTE_ENCODING = "latin-1"
#: What HTTP drops around a header's value.
WHITESPACE = " \t"

#: They are never passed on from one connection to another.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def utf8_value(text: str) -> str:
    """Return a text of our own as a header's value: its bytes in UTF-8."""
    return text.encode().decode(BYTE_ENCODING).strip(WHITESPACE)


def as_text(raw: bytes) -> str:
    """Return a header's bytes as they are kept between two connections."""
    return raw.decode(BYTE_ENCODING)


def as_bytes(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as they go over the wire."""
    return [(name.encode(BYTE_ENCODING), value.encode(BYTE_ENCODING)) for name, value in headers]
