"""One run of a seed, from the first process to the last check."""

from __future__ import annotations

import asyncio
import random
import signal
import time

from soak._callers import Caller
from soak._checks import violations
from soak._faults import Faults
from soak._fleet import SoakFleet
from soak._plan import RECOVERY_SECONDS, TAIL_SECONDS, Plan
from soak._records import Records

#: Seconds between two looks at the routers.
LOOK_SECONDS = 0.5


async def run_plan(plan: Plan) -> tuple[Records, list[str]]:
    """Run a plan; return what was seen, and what broke a promise."""
    fleet = SoakFleet()
    _end_when_told()
    try:
        await fleet.start(plan.routers, plan.engines, plan.manages_load)
        await _under_faults(fleet, plan)
        for engine in fleet.engines:
            await fleet.collect(engine)
    finally:
        await fleet.stop()
    return fleet.records, violations(fleet.records)


def _end_when_told() -> None:
    """Have a signal to end end what was started, too."""
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


async def _under_faults(fleet: SoakFleet, plan: Plan) -> None:
    callers = [Caller(fleet, random.Random(plan.seed * 1000 + at)) for at in range(plan.callers)]
    async with asyncio.TaskGroup() as group:
        work = [group.create_task(each.run()) for each in callers]
        work.append(group.create_task(_look(fleet)))
        await _all_faults(plan, Faults(fleet, callers))
        fleet.records.recovered_at = time.monotonic() + RECOVERY_SECONDS
        await asyncio.sleep(RECOVERY_SECONDS + TAIL_SECONDS)
        for task in work:
            task.cancel()


async def _all_faults(plan: Plan, faults: Faults) -> None:
    began = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in plan.faults:
            await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
            group.create_task(faults.run(fault))


async def _look(fleet: SoakFleet) -> None:
    while True:
        await fleet.look()
        await asyncio.sleep(LOOK_SECONDS)
