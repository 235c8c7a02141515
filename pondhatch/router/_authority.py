"""Starts and stops the orderers of the services whose engines get their orders from this router."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

import msgspec

from pondhatch.authority import (
    EngineOrders,
    LeaseKeeper,
    LeaseTimings,
    Orderer,
    OrdererStatus,
)
from pondhatch.kernel import Tasks
from pondhatch.router._order_duties import OrderDuties
from pondhatch.router._state import RouterState
from pondhatch.store import Platform

#: Seconds between checks of which services need an orderer at this router.
CHECK_SECONDS = 0.5
#: Bits of the random nonce that identifies one write to a lease.
NONCE_BITS = 64


class _Running(msgspec.Struct):
    """A running orderer and its task."""

    orderer: Orderer
    task: asyncio.Task[None]


class Authority:
    """Runs an orderer for each service whose lease this router should hold, or still holds."""

    def __init__(
        self,
        state: RouterState,
        platform: Platform,
        engines: EngineOrders,
        rng: random.Random,
        timings: LeaseTimings = LeaseTimings(),  # noqa: B008
    ) -> None:
        self._state = state
        self._duties = OrderDuties(state)
        self._platform = platform
        self._engines = engines
        self._rng = rng
        self._timings = timings
        self._tasks = Tasks()
        self._running_by_service: dict[str, _Running] = {}

    async def run(self) -> None:
        """Start and stop orderers until cancelled."""
        try:
            while True:
                self._start_wanted()
                self._end_unwanted()
                await asyncio.sleep(CHECK_SECONDS)
        finally:
            self._tasks.cancel_all()

    def holds_any_lease(self) -> bool:
        """Return whether this router still holds a lease, to be released before it stops."""
        return any(each.orderer.is_holder() for each in self._running_by_service.values())

    def statuses(self) -> Iterable[OrdererStatus]:
        """Return the statuses of the running orderers, for the state dump."""
        return [each.orderer.status() for each in self._running_by_service.values()]

    def _start_wanted(self) -> None:
        for service in self._duties.services():
            if service not in self._running_by_service and self._duties.should_hold_lease(service):
                orderer = self._new_orderer(service)
                task = self._tasks.start(orderer.run())
                self._running_by_service[service] = _Running(orderer, task)

    def _end_unwanted(self) -> None:
        for service, running in tuple(self._running_by_service.items()):
            if self._duties.should_hold_lease(service) or running.orderer.is_holder():
                continue
            running.task.cancel()
            del self._running_by_service[service]

    def _new_orderer(self, service: str) -> Orderer:
        keeper = LeaseKeeper(
            self._state.name, self._timings, lambda: f"{self._rng.getrandbits(NONCE_BITS):016x}"
        )
        return Orderer(
            service,
            self._duties,
            self._platform,
            self._engines,
            keeper,
            self._state.clock,
        )
