"""Simulated routers that share one lease, with a failing platform and two kinds of engines.

A router may be paused at every step; a paused router does nothing at all.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fakes._orders import OrderBook
from fakes._platform_in_memory import PlatformInMemory
from pondhatch.authority import (
    DesiredState,
    LeaseKeeper,
    LeaseTimings,
    NoReply,
    NotTaken,
    Orderer,
    OrderOutcome,
    OrderUnknown,
    StateReported,
)
from pondhatch.configuration import OrdersSpec
from pondhatch.store import (
    Accepted,
    Conflict,
    Found,
    Missing,
    OutcomeUnknown,
    Unavailable,
    Upstream,
)

SERVICE = "lang"
TIMINGS = LeaseTimings()
#: Faults of one call to the platform.
PLATFORM_FAULTS = ("none", "outage", "lost-answer", "lost-write")
#: Faults of one order on its way to an engine.
ORDER_FAULTS = ("none", "unreachable", "answer-lost", "late")
#: Delay of a late order, in seconds; shorter than the holder's timeout of an order.
ORDER_LATENESS = 1.5
#: Longest pause, in seconds, that a holder may make between checking its lease and sending an
#: order, so that an engine that ignores fencing numbers never gets this order after one of the next
#: holder. It is the time from the last check that allows an order to the first order of the next
#: holder to such an engine, less the travel time of a late order and a margin.
MAX_SAFE_PAUSE = (
    TIMINGS.clock_margin + TIMINGS.unfenced_delay + TIMINGS.order_timeout - ORDER_LATENESS - 0.1
)


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class ExecutedOrder:
    """An order that an engine carried out."""

    engine: str
    router: str
    fencing: int
    at: float
    #: Whether it was sent after a pause of at most MAX_SAFE_PAUSE.
    within_safe_pause: bool


@dataclass
class Simulation:
    """The state that all simulated routers share."""

    platform_faults: list[str] = field(default_factory=list)
    order_faults: list[str] = field(default_factory=list)
    platform: PlatformInMemory = field(default_factory=PlatformInMemory)
    executed_orders: list[ExecutedOrder] = field(default_factory=list)
    spec: OrdersSpec = field(default_factory=lambda: OrdersSpec("m", 1, at_once=2))
    book_by_engine: dict[str, OrderBook] = field(
        default_factory=lambda: {
            "checking": OrderBook(checks_fencing=True),
            "ignoring": OrderBook(checks_fencing=False),
        }
    )

    def engines(self) -> tuple[Upstream, ...]:
        return tuple(
            Upstream(name, SERVICE, name, "h", checks_fencing=book.checks_fencing)
            for name, book in self.book_by_engine.items()
        )

    def holds(self, engine: str) -> DesiredState | None:
        return self.book_by_engine[engine].state.holds


class Pauses:
    """One router's pauses: one drawn duration per step, in seconds."""

    def __init__(self, drawn: list[float]) -> None:
        self._drawn = list(drawn)
        self._until = 0.0

    def stop(self) -> None:
        """Draw no more pauses; a pause that has begun continues."""
        self._drawn.clear()

    async def step(self) -> None:
        """Pause the whole router if a pause is drawn, and wait while it is paused."""
        drawn = self._drawn.pop(0) if self._drawn else 0.0
        self._until = max(self._until, now() + drawn)
        while now() < self._until:
            await asyncio.sleep(self._until - now())

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        while now() < self._until:
            await asyncio.sleep(self._until - now())


class PausedPlatform:
    """The platform as one router reaches it; see Platform."""

    def __init__(self, simulation: Simulation, pauses: Pauses) -> None:
        self._simulation = simulation
        self._pauses = pauses

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        found: Found | Missing | Unavailable = await self._call(
            lambda: self._simulation.platform.get(kind, name)
        )
        return found

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        written: Accepted | Conflict | OutcomeUnknown | Unavailable = await self._call(
            lambda: self._simulation.platform.create(kind, name, value)
        )
        return written

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        written: Accepted | Conflict | OutcomeUnknown | Unavailable = await self._call(
            lambda: self._simulation.platform.update(kind, name, value, version)
        )
        return written

    async def list(self, kind: str, may_be_old: bool = False) -> Unavailable:
        return Unavailable("not simulated")

    async def changes(self, kind: str, since: int) -> Unavailable:
        return Unavailable("not simulated")

    def watch(self, kind: str, since: int | None) -> Any:
        raise NotImplementedError

    async def _call(self, call: Callable[[], Any]) -> Any:
        await self._pauses.step()
        await asyncio.sleep(0.005)
        faults = self._simulation.platform_faults
        fault = faults.pop(0) if faults else "none"
        if fault != "none":
            self._simulation.platform.faults.arm(fault)
        outcome = await call()
        self._simulation.platform.faults.by_name.clear()
        await asyncio.sleep(0.005)
        await self._pauses.step()
        return outcome


class PausedEngines:
    """Engines as one router reaches them; see EngineOrders."""

    def __init__(self, simulation: Simulation, router: str, pauses: Pauses) -> None:
        self._simulation = simulation
        self._router = router
        self._pauses = pauses

    async def state(self, url: str) -> StateReported | NoReply:
        await self._pauses.step()
        return StateReported(self._simulation.book_by_engine[url].state_at(now()))

    async def order(
        self, url: str, desired: DesiredState, fencing: int, seconds: float
    ) -> OrderOutcome:
        called_at = now()
        await self._pauses.step()
        within_safe_pause = now() - called_at <= MAX_SAFE_PAUSE
        faults = self._simulation.order_faults
        fault = faults.pop(0) if faults else "none"
        if fault == "unreachable":
            return NotTaken("unreachable")
        await asyncio.sleep(ORDER_LATENESS if fault == "late" else 0.005)
        outcome = self._simulation.book_by_engine[url].execute(desired, fencing, now())
        if len(self._simulation.book_by_engine[url].orders) > self._executed_count(url):
            executed = ExecutedOrder(url, self._router, fencing, now(), within_safe_pause)
            self._simulation.executed_orders.append(executed)
        await self._pauses.step()
        return OrderUnknown("lost") if fault == "answer-lost" else outcome

    def _executed_count(self, url: str) -> int:
        return sum(executed.engine == url for executed in self._simulation.executed_orders)


class SimulatedRouter:
    """One router with its orderer; a restart makes another with the same name and a new seed."""

    def __init__(self, name: str, simulation: Simulation, pauses: list[float], seed: int) -> None:
        self.name = name
        #: Whether this router takes itself to be the one that should hold the lease.
        self.should_hold = False
        self._simulation = simulation
        rng = random.Random(f"{name} {seed}")
        self.pauses = Pauses(pauses)
        self.orderer = Orderer(
            SERVICE,
            self,
            PausedPlatform(simulation, self.pauses),
            PausedEngines(simulation, f"{name}/{seed}", self.pauses),
            LeaseKeeper(name, TIMINGS, lambda: f"{rng.getrandbits(64):016x}"),
            now,
            self.pauses.sleep,
        )
        self.task = asyncio.ensure_future(self.orderer.run())

    def should_hold_lease(self, service: str) -> bool:
        return self.should_hold

    def orders_of(self, service: str) -> OrdersSpec | None:
        return self._simulation.spec

    def platform_era(self) -> int:
        return 0  # A router learns the era from its own calls only.

    def engines_of(self, service: str) -> tuple[Upstream, ...]:
        return self._simulation.engines()

    def kill(self) -> None:
        self.task.cancel()


def violations(simulation: Simulation) -> list[str]:
    """Return every violation of fencing.

    Either routers shared a fencing number, or an engine executed an order with a lower number
    after one with a higher. At an engine that ignores fencing numbers, the latter only counts if
    the order was sent within MAX_SAFE_PAUSE.
    """
    found_violations = []
    routers_by_fencing: dict[int, set[str]] = {}
    for executed in simulation.executed_orders:
        routers_by_fencing.setdefault(executed.fencing, set()).add(executed.router)
    for fencing, routers in routers_by_fencing.items():
        if len(routers) > 1:
            found_violations.append(f"fencing number {fencing} was used by {sorted(routers)}")
    for engine in simulation.book_by_engine:
        highest = 0
        for executed in (each for each in simulation.executed_orders if each.engine == engine):
            if executed.fencing < highest and (executed.within_safe_pause or engine == "checking"):
                found_violations.append(
                    f"{engine} executed {executed.fencing} after {highest} at {executed.at}"
                )
            highest = max(highest, executed.fencing)
    return found_violations
