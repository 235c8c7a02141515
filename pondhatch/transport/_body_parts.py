"""Writes a request's body in parts, as they are received from its caller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from pondhatch.limits import HeldCounter
from pondhatch.requests import BodySource
from pondhatch.transport._unsent import unsent_bytes


async def send_parts(
    body: BodySource,
    write: Callable[[Any], None],
    writable: asyncio.Event,
    transport: Any,
    counter: HeldCounter,
) -> None:
    """Write the parts of a body no faster than the other side reads them.

    ``writable`` is cleared while the transport's buffer is full; ``counter`` counts its unsent
    bytes meanwhile.
    """
    remaining = body.length
    while remaining != 0 and (part := await body.read()):
        write(h11.Data(data=part))
        remaining = remaining - len(part) if remaining is not None else None
        if not writable.is_set():
            counter.set(unsent_bytes(transport))
            await writable.wait()
            counter.set(0)
