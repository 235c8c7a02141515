"""Header encoding, and the headers that apply to a single connection.

Inside the router a header is text with one character for each byte (latin-1), so that it is
forwarded byte for byte whatever its sender's encoding is.
"""

from __future__ import annotations

from pondhatch.requests import Headers

#: Encoding with one character for each byte.
BYTE_ENCODING = "latin-1"
#: Characters that HTTP strips around a header's value.
WHITESPACE = " \t"

#: Headers that are never forwarded from one connection to another.
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
    """Return a header value that is sent as the UTF-8 encoding of a text."""
    return text.encode().decode(BYTE_ENCODING).strip(WHITESPACE)


def as_text(raw: bytes) -> str:
    """Return a header's bytes as text with one character for each byte."""
    return raw.decode(BYTE_ENCODING)


def as_bytes(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes, as they are sent."""
    return [(name.encode(BYTE_ENCODING), value.encode(BYTE_ENCODING)) for name, value in headers]
