"""Routers that share one lease, a platform that fails, engines that obey or refuse.

A router may be paused at every step; while it is, nothing of it moves.
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
    LeaseKeeper,
    NotTaken,
    Orderer,
    OrderOutcome,
    OrderUnknown,
    Reported,
    Silent,
    Terms,
    Wanted,
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
TERMS = Terms()
#: What may befall one call to the platform.
PLATFORM_FAULTS = ("none", "outage", "lost-answer", "lost-write")
#: What may befall one order on its way.
ORDER_FAULTS = ("none", "unreachable", "answer-lost", "late")
#: Seconds by which a late order is behind; within what a holder waits for it.
ORDER_LATENESS = 1.5
#: Seconds between a holder's look at its lease and the sending of an order, up to which
#: it is promised that no older order follows a newer one at an engine that ignores
#: numbers: how long a candidate waits beyond the lease, less how long the order travels.
PROMISED_PAUSE = TERMS.margin + TERMS.settle + TERMS.order_seconds - ORDER_LATENESS - 0.1


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Effect:
    """An order that an engine carried out."""

    engine: str
    router: str
    fencing: int
    at: float
    #: Whether it was sent within the pause that is promised for.
    promised: bool


@dataclass
class World:
    """All that the routers share."""

    platform_faults: list[str] = field(default_factory=list)
    order_faults: list[str] = field(default_factory=list)
    platform: PlatformInMemory = field(default_factory=PlatformInMemory)
    effects: list[Effect] = field(default_factory=list)
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

    def holds(self, engine: str) -> Wanted | None:
        return self.book_by_engine[engine].state.holds


class Pauses:
    """One router's pauses, step by step, as drawn."""

    def __init__(self, drawn: list[float]) -> None:
        self._drawn = list(drawn)
        self._until = 0.0

    def heal(self) -> None:
        """Draw no more pauses; one that has begun goes on."""
        self._drawn.clear()

    async def step(self) -> None:
        """Pause the whole router where one is drawn, and wait while it is paused."""
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

    def __init__(self, world: World, pauses: Pauses) -> None:
        self._world = world
        self._pauses = pauses

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        found: Found | Missing | Unavailable = await self._call(
            lambda: self._world.platform.get(kind, name)
        )
        return found

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        written: Accepted | Conflict | OutcomeUnknown | Unavailable = await self._call(
            lambda: self._world.platform.create(kind, name, value)
        )
        return written

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        written: Accepted | Conflict | OutcomeUnknown | Unavailable = await self._call(
            lambda: self._world.platform.update(kind, name, value, version)
        )
        return written

    async def list(self, kind: str, may_be_old: bool = False) -> Unavailable:
        return Unavailable("not asked for here")

    def watch(self, kind: str, since: int | None) -> Any:
        raise NotImplementedError

    async def _call(self, call: Callable[[], Any]) -> Any:
        await self._pauses.step()
        await asyncio.sleep(0.005)
        faults = self._world.platform_faults
        fault = faults.pop(0) if faults else "none"
        if fault != "none":
            self._world.platform.faults.arm(fault)
        outcome = await call()
        self._world.platform.faults.by_name.clear()
        await asyncio.sleep(0.005)
        await self._pauses.step()
        return outcome


class PausedEngines:
    """Engines as one router reaches them; see EngineOrders."""

    def __init__(self, world: World, router: str, pauses: Pauses) -> None:
        self._world = world
        self._router = router
        self._pauses = pauses

    async def state(self, url: str) -> Reported | Silent:
        await self._pauses.step()
        return Reported(self._world.book_by_engine[url].told(now()))

    async def order(self, url: str, wanted: Wanted, fencing: int, seconds: float) -> OrderOutcome:
        asked = now()
        await self._pauses.step()
        promised = now() - asked <= PROMISED_PAUSE
        faults = self._world.order_faults
        fault = faults.pop(0) if faults else "none"
        if fault == "unreachable":
            return NotTaken("unreachable")
        await asyncio.sleep(ORDER_LATENESS if fault == "late" else 0.005)
        outcome = self._world.book_by_engine[url].take(wanted, fencing, now())
        if len(self._world.book_by_engine[url].orders) > self._effects_at(url):
            effect = Effect(url, self._router, fencing, now(), promised)
            self._world.effects.append(effect)
        await self._pauses.step()
        return OrderUnknown("lost") if fault == "answer-lost" else outcome

    def _effects_at(self, url: str) -> int:
        return sum(effect.engine == url for effect in self._world.effects)


class RouterSide:
    """One router's orderer; a restart makes a new one under the same name."""

    def __init__(self, name: str, world: World, pauses: list[float], seed: int) -> None:
        self.name = name
        #: Whether this router believes that it should be the holder.
        self.wanted = False
        self._world = world
        rng = random.Random(f"{name} {seed}")
        self.pauses = Pauses(pauses)
        self.orderer = Orderer(
            SERVICE,
            self,
            PausedPlatform(world, self.pauses),
            PausedEngines(world, f"{name}/{seed}", self.pauses),
            LeaseKeeper(name, TERMS, lambda: f"{rng.getrandbits(64):016x}"),
            now,
            self.pauses.sleep,
        )
        self.task = asyncio.ensure_future(self.orderer.run())

    def wants_to_order(self, service: str) -> bool:
        return self.wanted

    def orders_of(self, service: str) -> OrdersSpec | None:
        return self._world.spec

    def platform_era(self) -> int:
        return 0  # Nobody hears of it but by calls of its own.

    def engines_of(self, service: str) -> tuple[Upstream, ...]:
        return self._world.engines()

    def kill(self) -> None:
        self.task.cancel()


def violations(world: World) -> list[str]:
    """Return every promise that the order of effects breaks."""
    found = []
    routers_by_number: dict[int, set[str]] = {}
    for effect in world.effects:
        routers_by_number.setdefault(effect.fencing, set()).add(effect.router)
    for number, routers in routers_by_number.items():
        if len(routers) > 1:
            found.append(f"number {number} was used by {sorted(routers)}")
    for engine in world.book_by_engine:
        highest = 0
        for effect in (each for each in world.effects if each.engine == engine):
            if effect.fencing < highest and (effect.promised or engine == "checking"):
                found.append(f"{engine} obeyed {effect.fencing} after {highest} at {effect.at}")
            highest = max(highest, effect.fencing)
    return found
