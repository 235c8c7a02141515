"""Injects faults into engines, and replaces them by others."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

from fakes._faults import REFUSAL_STATUS_BY_FAULT
from fakes._local_fleet import Backend
from fakes._surplus import MOMENTS
from soak._disturbing import disturb_relay, freeze
from soak._fleet import SoakFleet, in_thread
from soak._plan import ANSWERS_TWICE, RELEASE, STREAM_SERVICE, Fault

#: Seconds by which the platform's listing lags behind an answer that announces leaving.
LISTING_LAG = 1.0
#: Seconds for which a leaving engine still serves after the platform lists it as leaving.
LEAVING_SECONDS = 3.0
#: Seconds from one engine of a release to the next.
RELEASE_GAP = 0.4
#: More requests than can arrive during a fault.
UNLIMITED_COUNT = 100_000
#: Share of its requests that an engine refuses with each status while it answers twice, so that
#: refusals come a second time too.
REFUSED_SHARE = 0.05
#: Name of the fault at the stand-in engine, by kind of fault.
STAND_IN_FAULT_BY_KIND = {
    "engine-rests": "shed",
    "engine-refuses": "refuse",
    "engine-fails": "fail",
    "engine-cuts": "cut",
    "engine-crosses": "cross",
    "engine-preempts": "pause",
    "engine-stops-early": "stop-early",
    "engine-endless": "endless",
    "engine-spoils": "spoil",
}
#: The same for faults that last for their whole time, however many requests arrive.
LASTING_STAND_IN_FAULT_BY_KIND = {
    "engine-slow": "slow",
    "engine-garbles-load": "garble-load",
    "engine-unframed": "unframed",
}


class EngineFaults:
    """Faults of engines, and releases."""

    def __init__(self, fleet: SoakFleet, busy: set[str]) -> None:
        self._fleet = fleet
        #: Routers and engines that are under a fault and get no second one meanwhile.
        self._busy = busy
        self._releases = 0

    def next_version(self) -> str:
        """Return a software version that no engine has yet."""
        self._releases += 1
        return f"v{self._releases + 1}"

    async def inject(self, name: str, fault: Fault) -> None:
        """Inject a fault at an engine, by its name; return when it is over."""
        engine = next(each for each in self._fleet.engines if each.name == name)
        relay = self._fleet.relay_by_name[name]
        if fault.kind in STAND_IN_FAULT_BY_KIND:
            await self._arm_stand_in(engine, STAND_IN_FAULT_BY_KIND[fault.kind], fault)
        elif fault.kind in LASTING_STAND_IN_FAULT_BY_KIND:
            await self._arm_stand_in(
                engine,
                LASTING_STAND_IN_FAULT_BY_KIND[fault.kind],
                replace(fault, count=UNLIMITED_COUNT),
            )
        elif fault.kind == ANSWERS_TWICE:
            await self._answer_twice(engine, fault)
        elif fault.kind == "engine-crash":
            await self._kill_and_replace(engine)
        elif fault.kind == "engine-freeze":
            await freeze(engine, fault.seconds)
        elif fault.kind == "engine-leaves":
            await self._announce_and_replace(engine)
        else:
            await disturb_relay(relay, fault.kind.removeprefix("engine-"), fault.seconds)

    async def release(self) -> None:
        """Replace the engines with streams, one after the other, by ones of the next version.

        Those that are under another fault stay as they are, so that versions serve side by side.
        """
        version = self.next_version()
        async with asyncio.TaskGroup() as group:
            for engine in [e for e in self._fleet.engines if e.service == STREAM_SERVICE]:
                if engine.name in self._busy or engine.name in self._fleet.ended_engines:
                    continue
                self._busy.add(engine.name)
                await self._fleet.add_engine(engine.service, version)
                group.create_task(self.retire(engine))
                await asyncio.sleep(RELEASE_GAP)

    async def retire(self, engine: Backend) -> None:
        """Have an engine leave, and end it."""
        begins = time.monotonic()
        self._fleet.record_disturbance(RELEASE, engine.name, begins)
        await self._announce(engine)
        if engine.name not in self._fleet.ended_engines:
            await self.kill(engine)
            await self.remove_entry(engine)
        self._busy.discard(engine.name)
        self._fleet.record_disturbance(RELEASE, engine.name, begins)

    async def _arm_stand_in(self, engine: Backend, stand_in_fault: str, fault: Fault) -> None:
        await self._arm(engine, stand_in_fault, fault.count, fault.seconds)
        await asyncio.sleep(fault.seconds)
        await self._arm(engine, stand_in_fault, 0)

    async def _answer_twice(self, engine: Backend, fault: Fault) -> None:
        """Have an engine refuse some requests, and send all answers again at one moment."""
        # Not the remainder that selects the engine.
        moment = MOMENTS[fault.target_number // 10 % len(MOMENTS)]
        for refusal in REFUSAL_STATUS_BY_FAULT:
            await self._arm(engine, refusal, UNLIMITED_COUNT, share=REFUSED_SHARE)
        await self._arm(engine, moment, UNLIMITED_COUNT)
        await asyncio.sleep(fault.seconds)
        for each in (moment, *REFUSAL_STATUS_BY_FAULT):
            await self._arm(engine, each, 0)

    async def _arm(
        self,
        engine: Backend,
        stand_in_fault: str,
        count: int,
        seconds: float = 0.0,
        share: float = 1.0,
    ) -> None:
        """Arm a fault at an engine, unless a bad part of prompts ended it meanwhile."""
        try:
            await in_thread(lambda: engine.arm(stand_in_fault, count, seconds, share))
        except OSError:
            if engine.process.poll() is None:
                raise

    async def _kill_and_replace(self, engine: Backend) -> None:
        """Kill an engine without notice and start another in its place, at its address.

        The entry of the one that ended goes only after the other one serves.
        """
        if engine.name in self._fleet.ended_engines:
            return  # A bad part of prompts ended it meanwhile, and it is being replaced.
        await self.kill(engine)
        await self._fleet.add_engine(engine.service, engine.software_version, in_place_of=engine)
        await self.remove_entry(engine)

    async def kill(self, engine: Backend) -> None:
        """Kill an engine; its entry stays."""
        await self._fleet.collect_arrivals(engine)
        self._fleet.ended_engines.add(engine.name)
        self._fleet.record_end(engine)
        engine.process.kill()
        await in_thread(engine.process.wait)

    async def remove_entry(self, engine: Backend) -> None:
        """Remove an engine's entry."""
        await in_thread(lambda: self._fleet.machines_fleet.remove_object("servers", engine.name))

    async def _announce_and_replace(self, engine: Backend) -> None:
        """Let an engine announce that it leaves, first in its answers, and replace it."""
        await self._announce(engine)
        await self._kill_and_replace(engine)

    async def _announce(self, engine: Backend) -> None:
        """Let an engine announce that it leaves, first in its answers; return when it may end."""
        self._fleet.record_end(engine)
        await self._arm(engine, "leaving", UNLIMITED_COUNT)
        await asyncio.sleep(LISTING_LAG)
        await in_thread(
            lambda: self._fleet.machines_fleet.put_engine(engine, "draining", Sequence=2)
        )
        await asyncio.sleep(LEAVING_SECONDS)
