"""Callers' request bodies, read in parts as they are received."""

from __future__ import annotations

from pondhatch.limits import UNCOUNTED, HeldCounter, Limited
from pondhatch.transport._parts import PartPipe


class CallerBody:
    """A request body read from a caller's connection; see BodySource."""

    def __init__(self, length: int | None, pipe: PartPipe) -> None:
        self.length = length
        self._pipe = pipe

    async def read(self) -> bytes:
        """Return the next part, or b"" at the end. Raises CallerGone."""
        return await self._pipe.read()


async def read_whole(
    body: CallerBody, limit: int, counter: HeldCounter = UNCOUNTED
) -> bytes | Limited | None:
    """Return a body, None if it exceeds ``limit`` bytes, or Limited if memory does not allow it.

    A stated length is counted in full before the first byte is read, so that a body once started
    can be read to its end. A body of unknown length is counted as it is received.
    """
    if body.length is not None and body.length > limit:
        return None
    limited = counter.try_set(body.length or 0)
    if limited is not None:
        return limited
    parts: list[bytes] = []
    size = 0
    while part := await body.read():
        parts.append(part)
        size += len(part)
        if size > limit:
            return None
        limited = counter.try_set(size) if body.length is None else None
        if limited is not None:
            return limited
    return b"".join(parts)


async def drain(body: CallerBody, limit: int) -> None:
    """Read and discard a body, up to ``limit`` bytes."""
    size = 0
    while size <= limit and (part := await body.read()):
        size += len(part)
