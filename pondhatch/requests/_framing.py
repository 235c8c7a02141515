"""How the end of an answer's body is known."""

from __future__ import annotations

import enum


class Framing(enum.StrEnum):
    """How an HTTP/1 answer delimits its body, by RFC 9112, section 6.3."""

    #: By a stated length; also an answer that can have no body.
    LENGTH = "length"
    #: By a last chunk.
    CHUNKED = "chunked"
    #: By the end of its connection, so that a cut body cannot be told from a whole one.
    CLOSE = "close"
