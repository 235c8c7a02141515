"""The state that an engine can be ordered to hold, its reports, and outcomes of orders."""

from __future__ import annotations

from typing import Protocol

import msgspec


class DesiredState(msgspec.Struct, frozen=True):
    """The model state that an engine is ordered to hold.

    Orders are idempotent, since each names the whole state.
    """

    model: str
    #: Version of the weights.
    version: int
    adapters: tuple[str, ...] = ()
    #: "combined", "prefill" or "decode".
    role: str = "combined"


class EngineState(msgspec.Struct, frozen=True):
    """The state that an engine reports."""

    #: The model state that it holds; None before its first order.
    holds: DesiredState | None
    #: Whether it is still carrying out an order.
    busy: bool = False
    #: Highest fencing number that it has seen, if it checks them.
    fencing: int = 0


class StateReported(msgspec.Struct, frozen=True):
    """The engine reported its state."""

    state: EngineState


class NoReply(msgspec.Struct, frozen=True):
    """The engine did not report its state in time."""

    reason: str


class Taken(msgspec.Struct, frozen=True):
    """The engine accepted the order and carries it out."""


class OldNumber(msgspec.Struct, frozen=True):
    """The engine refused the order, because it has seen a higher fencing number."""

    highest: int


class NotTaken(msgspec.Struct, frozen=True):
    """The engine did not carry the order out, for another reason."""

    reason: str


class OrderUnknown(msgspec.Struct, frozen=True):
    """The reply was lost, so the engine may carry the order out. Repeating it is safe."""

    reason: str


OrderOutcome = Taken | OldNumber | NotTaken | OrderUnknown


class EngineOrders(Protocol):
    """Client for giving orders to engines."""

    async def state(self, url: str) -> StateReported | NoReply:
        """Query the state of an engine."""

    async def order(
        self, url: str, desired: DesiredState, fencing: int, seconds: float
    ) -> OrderOutcome:
        """Give one order, with a timeout of ``seconds``."""
