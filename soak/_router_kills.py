"""Kills many routers at the same moment, and has callers take up streams of before the kill."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from fakes._machines_fleet import HALLS, MachinesRouter
from soak._callers import Caller
from soak._fleet import SoakFleet, in_thread
from soak._plan import KILL_ALL_BUT_ONE, KILL_ALL_TWICE, KILL_HALL, Fault

#: Streams that are begun, and left midway, before each kill.
STREAMS = 24
#: Seconds in which they begin, and from the last one to the kill: what a router knows of a stream
#: that began right before may be lost with it.
BEGIN_SECONDS, WRITE_SECONDS = 0.6, 0.8
#: Seconds from the restart to the second kill.
SECOND_KILL_SECONDS = 2.0
#: Most seconds by which the routers that were killed together start apart.
MAX_START_SPREAD = 0.5


class RouterKills:
    """Kills of many routers at once, whatever else is being done to them."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        #: Routers that are down here, each as often as a kill struck it. No other fault begins at
        #: one.
        self._down: Counter[str] = Counter()
        #: Routers that were killed while another fault had them stop, which starts them again.
        self.killed_while_stopping: set[str] = set()

    def is_down(self, name: str) -> bool:
        """Return whether a router was killed here, and was not started again yet."""
        return self._down[name] > 0

    async def inject(self, fault: Fault) -> None:
        """Kill the routers of a fault once or twice; return when callers have their streams."""
        rng = random.Random(fault.target_number)
        is_killed, is_over = asyncio.Event(), asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for number in range(STREAMS):
                caller = Caller(self._fleet, random.Random(rng.random()), leaving_share=1.0)
                begins_after = rng.uniform(0.0, BEGIN_SECONDS)
                taken_up_after = is_killed if number % 2 else is_over
                group.create_task(caller.read_stream(begins_after, taken_up_after))
            await asyncio.sleep(BEGIN_SECONDS + WRITE_SECONDS)
            await self._kill(fault, rng, is_killed)
            if fault.kind == KILL_ALL_TWICE:
                await asyncio.sleep(SECOND_KILL_SECONDS)
                await self._kill(fault, rng, is_over)
            is_over.set()

    async def _kill(self, fault: Fault, rng: random.Random, is_killed: asyncio.Event) -> None:
        """Kill routers at once, and start them again some time later."""
        struck = [
            each for each in self._targets(fault) if each.name not in self._fleet.down_routers
        ]
        begins = time.monotonic()
        stopping = {each.name for each in struck} & self._fleet.stopping_routers
        self.killed_while_stopping |= stopping
        for each in struck:
            self._down[each.name] += 1
            self._fleet.stopping_routers.add(each.name)
            # Recorded at the start too, so that what is checked before the end is excused.
            self._fleet.record_disturbance(fault.kind, each.name, begins)
            each.process.kill()
        is_killed.set()
        try:
            own = [each for each in struck if each.name not in stopping]
            await asyncio.gather(
                *(
                    self._await_end_and_restart(
                        each, fault.seconds + rng.uniform(0.0, MAX_START_SPREAD)
                    )
                    for each in own
                )
            )
        finally:
            for each in struck:
                self._down[each.name] -= 1
                self._fleet.record_disturbance(fault.kind, each.name, begins)

    def _targets(self, fault: Fault) -> list[MachinesRouter]:
        routers = self._fleet.routers
        if fault.kind == KILL_ALL_BUT_ONE:
            spared = routers[fault.target_number % len(routers)]
            return [each for each in routers if each is not spared]
        if fault.kind == KILL_HALL:
            return routers[fault.target_number % len(HALLS) :: len(HALLS)]
        return list(routers)

    async def _await_end_and_restart(self, router: MachinesRouter, seconds: float) -> None:
        await in_thread(router.process.wait)
        self._fleet.down_routers.add(router.name)
        self._fleet.stopping_routers.discard(router.name)
        await asyncio.sleep(seconds)
        await self._fleet.restart(router)
