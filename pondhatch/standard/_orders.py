"""Orders to engines over HTTP.

``GET /orders`` returns an engine's state, ``PUT /orders`` sends it an order. The
engine answers 200 if it took the order, 409 with the highest fencing number it
has seen if the order's number is older, and 503 if it did nothing. An engine may
ignore the fencing number.
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
from pondhatch.standard._limited_agent import limited_agent
from pondhatch.standard._limited_content import read_content
from pondhatch.standard._platform import NOT_SENT

#: Timeout of a state query, in seconds.
STATE_SECONDS = 1.0
#: Maximum bytes of an engine's reply.
MAX_REPLY_BYTES = 64 * 1024
OK = 200
CONFLICT = 409
BUSY = 503


class _Order(msgspec.Struct, frozen=True):
    """The body of an order."""

    wanted: DesiredState
    fencing: int


class _Refused(msgspec.Struct, frozen=True):
    """The body of a refusal because of an old fencing number."""

    highest: int


class HttpEngineOrders:
    """Sends orders to engines over HTTP; see EngineOrders."""

    async def state(self, url: str) -> StateReported | NoReply:
        """Query an engine's state."""
        try:
            async with asyncio.timeout(STATE_SECONDS):
                response = await _request("GET", url)
                content = await read_content(response, MAX_REPLY_BYTES)
            if response.code != OK:
                return NoReply(f"answered {response.code}")
            return StateReported(msgspec.json.decode(content, type=EngineState))
        except Exception as error:
            return NoReply(f"{type(error).__name__}: {error}")

    async def order(
        self, url: str, desired: DesiredState, fencing: int, seconds: float
    ) -> OrderOutcome:
        """Send one order, with a timeout in seconds."""
        body = msgspec.json.encode(_Order(desired, fencing))
        try:
            async with asyncio.timeout(seconds):
                response = await _request("PUT", url, body)
                content = await read_content(response, MAX_REPLY_BYTES)
            return _outcome(response.code, content)
        except NOT_SENT as error:
            return NotTaken(f"{type(error).__name__}: {error}")
        except Exception as error:
            return OrderUnknown(f"{type(error).__name__}: {error}")


async def _request(method: str, url: str, body: bytes | None = None) -> Any:
    # A new connection each time: a pool may queue an order behind others, or send it twice.
    return await as_future(
        treq.request(method, f"{url}/orders", data=body, agent=limited_agent(), unbuffered=True)
    )


def _outcome(status: int, content: bytes) -> OrderOutcome:
    if status == OK:
        return Taken()
    if status == CONFLICT:
        return OldNumber(msgspec.json.decode(content, type=_Refused).highest)
    if status == BUSY:
        return NotTaken("the engine refused the order")
    return OrderUnknown(f"answered {status}")
