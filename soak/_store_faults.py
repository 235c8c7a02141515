"""Injects faults into the store."""

from __future__ import annotations

import asyncio
import functools
import time

from soak._disturbing import disturb_relay
from soak._fleet import STORE_NAME, SoakFleet, in_thread
from soak._plan import Fault


class StoreFaults:
    """Faults of the store."""

    def __init__(self, fleet: SoakFleet, busy: set[str]) -> None:
        self._fleet = fleet
        #: Routers and engines that are under a fault.
        self._busy = busy

    async def inject(self, fault: Fault) -> None:
        """Inject a fault; return when it is over."""
        begins, store = time.monotonic(), self._fleet.machines_fleet.object_store
        relay, effect = self._fleet.relay_by_name[STORE_NAME], fault.kind.removeprefix("store-")
        if effect == "out":
            await in_thread(lambda: store.arm("outage", 1, fault.seconds))
            await asyncio.sleep(fault.seconds)
        elif effect == "lost-answers":
            await in_thread(lambda: store.arm("lost-answer", fault.count))
        elif effect == "forgets":
            await in_thread(lambda: store.arm("compact"))
        elif effect == "restored":
            await in_thread(lambda: store.arm("copy"))
            await asyncio.sleep(fault.seconds)
            await in_thread(lambda: store.arm("restore", 1, fault.seconds))
            await asyncio.sleep(2 * fault.seconds)
            await self._rewrite_lost_objects()
        elif effect == "slow":
            await disturb_relay(relay, "delayed", fault.seconds)
        else:
            await disturb_relay(relay, effect, fault.seconds)
        self._fleet.record_disturbance(fault.kind, STORE_NAME, begins)

    async def _rewrite_lost_objects(self) -> None:
        """Write the configuration and the engines' entries again after the store lost them."""
        await self._fleet.configure()
        for engine in self._fleet.engines:
            if engine.name not in self._busy:
                await in_thread(
                    functools.partial(self._fleet.machines_fleet.put_engine, engine, "ready")
                )
