"""Runs one plan, from the start of the processes to the checks."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path

from soak._callers import Caller
from soak._checks import violations
from soak._faults import FaultInjector
from soak._fleet import SoakFleet
from soak._plan import RECOVERY_SECONDS, TAIL_SECONDS, Plan
from soak._records import Records

#: Seconds between two observations of the routers.
OBSERVATION_INTERVAL = 0.5


async def run_plan(plan: Plan, log_file: Path | None = None) -> tuple[Records, list[str]]:
    """Run a plan; return its records and the violations of promises.

    ``log_file`` gets what all processes write.
    """
    fleet = SoakFleet(log_file=log_file)
    _cancel_on_sigterm()
    try:
        await fleet.start(
            plan.routers, plan.engines, plan.manages_load, plan.own_services, plan.dropped_keys
        )
        await _run_under_faults(fleet, plan)
        for engine in fleet.engines:
            await fleet.collect_arrivals(engine)
    finally:
        await fleet.stop()
    return fleet.records, violations(fleet.records)


def _cancel_on_sigterm() -> None:
    """Cancel the run on SIGTERM, so that it ends the processes that it started."""
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


async def _run_under_faults(fleet: SoakFleet, plan: Plan) -> None:
    callers = [
        Caller(fleet, random.Random(plan.seed * 1000 + number)) for number in range(plan.callers)
    ]
    async with asyncio.TaskGroup() as group:
        work = [group.create_task(each.run()) for each in callers]
        work.append(group.create_task(_observe_routers(fleet)))
        await _inject_all(plan, FaultInjector(fleet, callers))
        fleet.records.recovery_deadline = time.monotonic() + RECOVERY_SECONDS
        await asyncio.sleep(RECOVERY_SECONDS + TAIL_SECONDS)
        for task in work:
            task.cancel()


async def _inject_all(plan: Plan, injector: FaultInjector) -> None:
    began = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in plan.faults:
            await asyncio.sleep(max(0.0, began + fault.starts_at - time.monotonic()))
            group.create_task(injector.inject(fault))


async def _observe_routers(fleet: SoakFleet) -> None:
    while True:
        await fleet.observe_routers()
        await asyncio.sleep(OBSERVATION_INTERVAL)
