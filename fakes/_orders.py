"""Orders to a stand-in engine: its state, and a log of orders with their fencing numbers.

Faults: ``order-lost`` (the order takes effect, but its answer is lost), ``order-refused``
(503, no effect).
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred

from fakes._faults import Faults
from pondhatch.authority import DesiredState, EngineState, NotTaken, OldNumber, Taken
from pondhatch.kernel import as_deferred


class Order(msgspec.Struct, frozen=True):
    """One order that took effect."""

    fencing: int
    wanted: DesiredState
    #: When it took effect, in seconds of the monotonic clock.
    at: float


@dataclass
class OrderBook:
    """An engine's handling of orders, without I/O."""

    #: Whether the engine refuses old fencing numbers; otherwise it ignores them.
    checks_fencing: bool
    #: Seconds for which an order keeps the engine busy.
    order_seconds: float = 0.1
    state: EngineState = field(default_factory=lambda: EngineState(None))
    orders: list[Order] = field(default_factory=list)
    _busy_until: float = 0.0

    def state_at(self, now: float) -> EngineState:
        """Return the state that the engine reports at a time."""
        return msgspec.structs.replace(self.state, busy=now < self._busy_until)

    def execute(
        self, desired: DesiredState, fencing: int, now: float
    ) -> Taken | OldNumber | NotTaken:
        """Execute an order, or refuse it for its old fencing number."""
        if self.checks_fencing and fencing < self.state.fencing:
            return OldNumber(self.state.fencing)
        highest_fencing = max(fencing, self.state.fencing) if self.checks_fencing else 0
        self.state = EngineState(desired, fencing=highest_fencing)
        self._busy_until = now + self.order_seconds
        self.orders.append(Order(fencing, desired, now))
        return Taken()


def serve_orders(app: Klein, book: OrderBook, faults: Faults) -> None:
    """Serve ``/orders``, and ``/orders/log`` for tests."""

    @app.route("/orders", methods=["GET"])
    def state(request: Any) -> bytes:
        return msgspec.json.encode(book.state_at(time.monotonic()))

    @app.route("/orders/log")
    def log(request: Any) -> bytes:
        return msgspec.json.encode(book.orders)

    @app.route("/orders", methods=["PUT"])
    def order(request: Any) -> Deferred[bytes | None]:
        return as_deferred(_handle_order(request, book, faults))


async def _handle_order(request: Any, book: OrderBook, faults: Faults) -> bytes:
    body = msgspec.json.decode(request.content.read())
    if faults.consume("order-refused"):
        request.setResponseCode(503)
        return b""
    desired = msgspec.convert(body["wanted"], DesiredState)
    outcome = book.execute(desired, body["fencing"], time.monotonic())
    if faults.consume("order-lost"):
        request.channel.forceAbortClient()
        await asyncio.sleep(0)
        return b""
    if isinstance(outcome, OldNumber):
        request.setResponseCode(409)
        return msgspec.json.encode({"highest": outcome.highest})
    return b"{}"
