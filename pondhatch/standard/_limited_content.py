"""Reads bodies of answers that must not be longer than expected."""

from __future__ import annotations

import treq
from treq.response import _Response as TreqResponse

from pondhatch.kernel import as_future


class ContentTooLong(Exception):
    """A body is longer than its reader accepts, or goes on after its reader has left."""


async def read_content(response: TreqResponse, limit: int) -> bytes:
    """Return the body of an answer. Raises ContentTooLong above a limit in bytes.

    The connection is closed then, and also when bytes arrive after the caller was cancelled.
    """
    collector = _Collector(limit)
    try:
        await as_future(treq.collect(response, collector.add))
    finally:
        collector.is_over = True
    return b"".join(collector.parts)


class _Collector:
    """The parts of a body that were received so far."""

    def __init__(self, limit: int) -> None:
        self.parts: list[bytes] = []
        #: Whether nobody awaits the body any more.
        self.is_over = False
        self._left = limit

    def add(self, part: bytes) -> None:
        """Add a part; what it raises closes the connection."""
        self._left -= len(part)
        if self.is_over or self._left < 0:
            self.parts.clear()
            raise ContentTooLong("the body is longer than expected")
        self.parts.append(part)
