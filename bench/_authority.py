"""Time without orders when a lease's holder changes, as planned and in an emergency."""

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
#: Seconds until the first holder has settled, and range of the further delay until the change,
#: drawn uniformly.
SETTLE_SECONDS = 8.0
CHANGE_WINDOW = 4.0
#: Seconds within which the next order must be given.
ORDER_TIMEOUT = 100.0


async def _change_holder(planned: bool, engine: str, delay: float) -> float:
    """Return the seconds from the change of holder to the next order at an engine."""
    simulation = Simulation()
    first, second = (
        SimulatedRouter("r0", simulation, [], 0),
        SimulatedRouter("r1", simulation, [], 0),
    )
    first.should_hold = True
    await asyncio.sleep(SETTLE_SECONDS + delay)
    began = now()
    if planned:
        first.should_hold = False
    else:
        first.kill()
    second.should_hold = True
    await asyncio.sleep(0.5)
    simulation.spec = replace(simulation.spec, version=2)
    while not any(e.engine == engine and e.router == "r1/0" for e in simulation.executed_orders):
        await asyncio.sleep(0.05)
        if now() - began > ORDER_TIMEOUT:
            raise RuntimeError(f"no order in {ORDER_TIMEOUT} s")
    return now() - began


def measure_authority() -> Iterator[Measure]:
    """Measure both kinds of change with the production code, in virtual time."""
    logger.disable("pondhatch.authority")
    rng = random.Random(1)
    delays = [rng.uniform(0, CHANGE_WINDOW) for _ in range(CHANGES)]
    for engine in ("checking", "ignoring"):
        durations = {
            planned: sorted(run_virtually(_change_holder(planned, engine, each)) for each in delays)
            for planned in (True, False)
        }
        planned, emergency = durations[True], durations[False]
        middle = CHANGES // 2
        name = f"holder_change.{engine}"
        against = "planned change, same engine"
        yield Measure(f"{name}_planned", planned[middle], "s, median")
        yield Measure(f"{name}_planned_most", planned[-1], "s, longest")
        yield Measure(f"{name}_emergency", emergency[middle], "s, median", planned[middle], against)
        yield Measure(f"{name}_emergency_most", emergency[-1], "s, longest", planned[-1], against)
    logger.enable("pondhatch.authority")
