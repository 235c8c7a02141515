"""Orders to engines over HTTP.

``GET /orders`` answers what an engine holds; ``PUT /orders`` gives it an order:
200 where it is taken, 409 with the highest number it has seen where the fencing
number is old, 503 where it did nothing. An engine may ignore the number.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import treq

from pondhatch.authority import (
    DesiredState,
    EngineState,
    NoReply,
    NotTaken,
    OldNumber,
    OrderOutcome,
    OrderUnknown,
    StateReported,
    Taken,
)
from pondhatch.kernel import as_future
from pondhatch.standard._platform import NOT_SENT

#: Seconds for a question to an engine.
STATE_SECONDS = 1.0
OK = 200
CONFLICT = 409
BUSY = 503


class _Order(msgspec.Struct, frozen=True):
    """The body of an order."""

    wanted: DesiredState
    fencing: int


class _Refused(msgspec.Struct, frozen=True):
    """The body of a refusal because of an old number."""

    highest: int


class HttpEngineOrders:
    """Engines reached by HTTP; see EngineOrders."""

    async def state(self, url: str) -> StateReported | NoReply:
        """Ask an engine what it holds."""
        try:
            async with asyncio.timeout(STATE_SECONDS):
                response = await _request("GET", url)
                content = await as_future(response.content())
            if response.code != OK:
                return NoReply(f"answered {response.code}")
            return StateReported(msgspec.json.decode(content, type=EngineState))
        except Exception as error:
            return NoReply(f"{type(error).__name__}: {error}")

    async def order(
        self, url: str, wanted: DesiredState, fencing: int, seconds: float
    ) -> OrderOutcome:
        """Give one order; given up after so many seconds."""
        body = msgspec.json.encode(_Order(wanted, fencing))
        try:
            async with asyncio.timeout(seconds):
                response = await _request("PUT", url, body)
                content = await as_future(response.content())
            return _outcome(response.code, content)
        except NOT_SENT as error:
            return NotTaken(f"{type(error).__name__}: {error}")
        except Exception as error:
            return OrderUnknown(f"{type(error).__name__}: {error}")


async def _request(method: str, url: str, body: bytes | None = None) -> Any:
    # A connection of its own each time: an order must not wait behind, or be repeated by, a pool.
    return await as_future(
        treq.request(method, f"{url}/orders", data=body, persistent=False, unbuffered=True)
    )


def _outcome(status: int, content: bytes) -> OrderOutcome:
    if status == OK:
        return Taken()
    if status == CONFLICT:
        return OldNumber(msgspec.json.decode(content, type=_Refused).highest)
    if status == BUSY:
        return NotTaken("the engine refused the order")
    return OrderUnknown(f"answered {status}")
