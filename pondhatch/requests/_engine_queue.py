"""The queue of one engine: its order and the requests that wait in it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from pondhatch.placement import FairQueue, Full, GateDecision, Ticket


class Waiter(msgspec.Struct, frozen=True):
    """A request that waits in a queue."""

    ticket: Ticket
    #: Asks the gate again on its behalf.
    ask: Callable[[], GateDecision]
    #: Set when the request is granted, or evicted from the queue.
    decision: asyncio.Future[GateDecision]


class EngineQueue(msgspec.Struct, frozen=True):
    """The order of one engine's queue and the requests that wait in it.

    Kept until its last waiter has left, which can be some event loop steps after its grant: two
    queues for one engine at the same time would grant the same slots twice.
    """

    fair_queue: FairQueue
    waiter_by_number: dict[int, Waiter] = msgspec.field(default_factory=dict)


def evict_last(queue: EngineQueue, full: Full) -> None:
    """Remove the last request if the queue exceeds its limit."""
    last = queue.fair_queue.ticket_to_evict()
    if last is None:
        return
    queue.fair_queue.leave(last)
    waiter = queue.waiter_by_number[last.number]
    if not waiter.decision.done():
        # The memory shortage of the request that displaced it does not apply to this one.
        waiter.decision.set_result(replace(full, short_tokens=0))
