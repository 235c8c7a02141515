"""What an engine can be ordered to hold, what it reports, and how an order may end."""

from __future__ import annotations

from typing import Protocol

import msgspec


class DesiredState(msgspec.Struct, frozen=True):
    """What an engine is to hold. Absolute: ordering it twice is the same as once."""

    model: str
    #: Version of the weights.
    version: int
    adapters: tuple[str, ...] = ()
    #: "combined", "prefill" or "decode".
    role: str = "combined"


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself."""

    #: What it holds; None before its first order.
    holds: DesiredState | None
    #: Whether it is still carrying out an order.
    busy: bool = False
    #: Highest fencing number that it has seen, where it looks at them.
    fencing: int = 0


class StateReported(msgspec.Struct, frozen=True):
    """The engine answered."""

    state: EngineState


class NoReply(msgspec.Struct, frozen=True):
    """The engine did not answer in time."""

    reason: str


class Taken(msgspec.Struct, frozen=True):
    """The engine carries the order out."""


class OldNumber(msgspec.Struct, frozen=True):
    """The engine has seen a higher fencing number; it did nothing."""

    highest: int


class NotTaken(msgspec.Struct, frozen=True):
    """The engine did nothing, for another reason."""

    reason: str


class OrderUnknown(msgspec.Struct, frozen=True):
    """The answer was lost; the engine may carry the order out. Ordering again is safe."""

    reason: str


OrderOutcome = Taken | OldNumber | NotTaken | OrderUnknown


class EngineOrders(Protocol):
    """The way to engines."""

    async def state(self, url: str) -> StateReported | NoReply:
        """Ask an engine what it holds."""

    async def order(
        self, url: str, wanted: DesiredState, fencing: int, seconds: float
    ) -> OrderOutcome:
        """Give one order; given up after so many seconds."""
