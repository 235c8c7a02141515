"""How long orders stand still at a planned and at an emergency change of holder."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from loguru import logger
from msgspec.structs import replace

from bench._measures import Measure
from fakes._virtual_loop import run_virtually
from pondhatch.authority.tests._simulation import SimulatedRouter, Simulation, now

CHANGES = 40
#: Seconds until the first holder has settled down, and over which the change is drawn.
STARTED = 8.0
SPREAD = 4.0
#: Seconds within which an order must have come.
PATIENCE = 100.0


async def _change(planned: bool, engine: str, after: float) -> float:
    """Return the seconds from the change of holder to the next order at an engine."""
    world = Simulation()
    first, second = SimulatedRouter("r0", world, [], 0), SimulatedRouter("r1", world, [], 0)
    first.should_hold = True
    await asyncio.sleep(STARTED + after)
    began = now()
    if planned:
        first.should_hold = False
    else:
        first.kill()
    second.should_hold = True
    await asyncio.sleep(0.5)
    world.spec = replace(world.spec, version=2)
    while not any(e.engine == engine and e.router == "r1/0" for e in world.executed_orders):
        await asyncio.sleep(0.05)
        if now() - began > PATIENCE:
            raise RuntimeError(f"no order in {PATIENCE} s")
    return now() - began


def measure_authority() -> Iterator[Measure]:
    """Measure both kinds of change by the code that serves, in stepped time."""
    logger.disable("pondhatch.authority")
    rng = random.Random(1)
    draws = [rng.uniform(0, SPREAD) for _ in range(CHANGES)]
    for engine in ("checking", "ignoring"):
        spans = {
            planned: sorted(run_virtually(_change(planned, engine, each)) for each in draws)
            for planned in (True, False)
        }
        planned, emergency = spans[True], spans[False]
        middle = CHANGES // 2
        name = f"holder_change.{engine}"
        against = "planned change, same engine"
        yield Measure(f"{name}_planned", planned[middle], "s, median")
        yield Measure(f"{name}_planned_most", planned[-1], "s, longest")
        yield Measure(f"{name}_emergency", emergency[middle], "s, median", planned[middle], against)
        yield Measure(f"{name}_emergency_most", emergency[-1], "s, longest", planned[-1], against)
    logger.enable("pondhatch.authority")
