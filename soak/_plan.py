"""What a seed draws: the fleet's size, its work, and a series of faults that overlap."""

from __future__ import annotations

import random
from dataclasses import dataclass

#: Seconds from the first request to the first fault.
WARM_UP_SECONDS = 2.0
#: Seconds after the last fault in which the fleet must have recovered.
RECOVERY_SECONDS = 12.0
#: Seconds at the end in which nearly all must be served.
TAIL_SECONDS = 4.0
#: Faults for each second, where several last for seconds.
FAULTS_PER_SECOND = 0.9

#: What a fault strikes, by its kind.
ROUTER, ENGINE, STORE, FLEET = "router", "engine", "store", "fleet"
TARGET_BY_KIND = {
    "kill": ROUTER,
    "stop": ROUTER,
    "freeze": ROUTER,
    "hangup": ROUTER,
    "engine-crash": ENGINE,
    "engine-freeze": ENGINE,
    "engine-leaves": ENGINE,
    "engine-rests": ENGINE,
    "engine-refuses": ENGINE,
    "engine-fails": ENGINE,
    "engine-cuts": ENGINE,
    "engine-crosses": ENGINE,
    "engine-delayed": ENGINE,
    "engine-reset": ENGINE,
    "engine-silent": ENGINE,
    "engine-one-way": ENGINE,
    "store-out": STORE,
    "store-lost-answers": STORE,
    "store-forgets": STORE,
    "store-restored": STORE,
    "store-reset": STORE,
    "store-silent": STORE,
    "store-slow": STORE,
    "configuration": FLEET,
    "burst": FLEET,
}
#: Faults that are drawn beside the others, where the fleet manages load.
TARGET_BY_LOAD_KIND = {
    "engine-slow": ENGINE,
    "engine-garbles-load": ENGINE,
    "engine-preempts": ENGINE,
    "slow-readers": FLEET,
    "burst": FLEET,
}
#: Number of faults of load for each of the others.
LOAD_FAULT_RATIO = 0.5


@dataclass(frozen=True)
class Fault:
    """One fault of a run."""

    #: Seconds from the first request.
    starts_at: float
    kind: str
    #: Which of the things of its kind it strikes, beyond their number counted from the start.
    target_number: int
    #: For how long it lasts, where it lasts.
    seconds: float
    #: How often it strikes, where it strikes so often.
    count: int


@dataclass(frozen=True)
class Plan:
    """One run of the soak."""

    seed: int
    routers: int
    #: Engines of each service.
    engines: int
    callers: int
    #: Seconds in which faults begin.
    fault_seconds: float
    faults: tuple[Fault, ...]
    #: Whether the routers manage load.
    manages_load: bool = False


def target_kind_of(kind: str) -> str:
    """Return what a kind of fault strikes."""
    return TARGET_BY_KIND.get(kind) or TARGET_BY_LOAD_KIND[kind]


def draw_plan(
    seed: int, fault_seconds: float, max_routers: int, manages_load: bool = False
) -> Plan:
    """Return what a seed draws; the same for the same arguments.

    The faults of load are drawn apart, so that a seed draws the same others with and without.
    """
    rng = random.Random(seed)
    routers = rng.randint(2, max(2, max_routers))
    engines = rng.randint(2, max(3, max_routers // 4))
    fault_count = max(3, round(fault_seconds * FAULTS_PER_SECOND))
    faults = [_draw_fault(rng, fault_seconds, tuple(TARGET_BY_KIND)) for _ in range(fault_count)]
    if manages_load:
        load_rng = random.Random(f"{seed} load")
        kinds = tuple(TARGET_BY_LOAD_KIND)
        faults += [
            _draw_fault(load_rng, fault_seconds, kinds)
            for _ in range(round(fault_count * LOAD_FAULT_RATIO))
        ]
    faults.sort(key=lambda each: each.starts_at)
    callers = 6 * min(routers, 12)
    return Plan(seed, routers, engines, callers, fault_seconds, tuple(faults), manages_load)


def _draw_fault(rng: random.Random, fault_seconds: float, kinds: tuple[str, ...]) -> Fault:
    return Fault(
        starts_at=round(WARM_UP_SECONDS + rng.uniform(0, fault_seconds), 3),
        kind=rng.choice(kinds),
        target_number=rng.randrange(1000),
        seconds=round(rng.choice((0.3, 1.0, 3.0, 5.0)) * rng.uniform(0.7, 1.3), 3),
        count=rng.choice((1, 3, 10, 40)),
    )
