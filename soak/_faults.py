"""Injects each kind of fault into the processes of a run."""

from __future__ import annotations

import asyncio
import functools
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from pathlib import Path

from fakes._faults import REFUSAL_STATUS_BY_FAULT
from fakes._local_fleet import Backend
from fakes._machines_fleet import MachinesRouter
from fakes._surplus import MOMENTS
from soak._bad_parts import BadPart
from soak._callers import Caller
from soak._fleet import SERVICES, STORE_NAME, SoakFleet, in_thread
from soak._plan import (
    ANSWERS_TWICE,
    BAD_PART,
    CROWDED_ROUTER,
    ENGINE,
    PATH_KINDS,
    RELEASE,
    ROUTER,
    ROUTER_KILL_KINDS,
    STORE,
    STREAM_SERVICE,
    Fault,
    target_kind_of,
)
from soak._relay import Relay
from soak._router_kills import RouterKills

#: Seconds within which a router that is asked to stop must exit.
STOP_GRACE = 10.0
#: Seconds by which the platform's listing lags behind an answer that announces leaving.
LISTING_LAG = 1.0
#: Seconds for which a leaving engine still serves after the platform lists it as leaving.
LEAVING_SECONDS = 3.0
#: Seconds from one engine of a release to the next.
RELEASE_GAP = 0.4
#: Engines that begin to serve before a kill of many routers, at a version of their own, and the
#: seconds in which streams begin there too.
ENGINES_AT_KILL, LISTED_SECONDS = 2, 0.6
#: Seconds by which a relay delays every chunk.
RELAY_DELAY = 0.2
#: More requests than can arrive during a fault.
UNLIMITED_COUNT = 100_000
#: Share of its requests that an engine refuses with each status while it answers twice, so that
#: refusals come a second time too.
REFUSED_SHARE = 0.05
#: During a fault of slow readers, one in this many callers reads slowly.
SLOW_CALLER_STRIDE = 3
#: Engines of each service, and routers, that are always left undisturbed, so that some serve.
MIN_UNDISTURBED = 1
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
}
#: The same for faults that last for their whole time, however many requests arrive.
LASTING_STAND_IN_FAULT_BY_KIND = {
    "engine-slow": "slow",
    "engine-garbles-load": "garble-load",
    "engine-unframed": "unframed",
}


class FaultInjector:
    """Injects the faults of a plan, several at a time."""

    def __init__(self, fleet: SoakFleet, callers: Sequence[Caller]) -> None:
        self._fleet = fleet
        self._callers = callers
        #: Routers and engines that are under a fault and get no second one meanwhile.
        self._busy: set[str] = set()
        self._releases = 0
        self._kills = RouterKills(fleet)

    async def inject(self, fault: Fault) -> None:
        """Inject one fault; return when it is over."""
        target_kind = target_kind_of(fault.kind)
        if target_kind == ROUTER:
            await self._inject_at_one_of(self._free_routers(), fault, self._inject_router_fault)
        elif target_kind == ENGINE:
            await self._inject_at_one_of(self._free_engines(), fault, self._inject_engine_fault)
        elif target_kind == STORE:
            await self._inject_store_fault(fault)
        else:
            await self._inject_fleet_fault(fault)

    async def _inject_at_one_of(
        self,
        names: Sequence[str],
        fault: Fault,
        inject_at: Callable[[str, Fault], Awaitable[None]],
    ) -> None:
        if not names:
            return
        name = names[fault.target_number % len(names)]
        begins = time.monotonic()
        self._busy.add(name)
        # Recorded at the start too, so that what is checked before the end is excused.
        self._fleet.record_disturbance(fault.kind, name, begins)
        try:
            await inject_at(name, fault)
        finally:
            self._busy.discard(name)
            self._fleet.record_disturbance(fault.kind, name, begins)

    def _free_routers(self) -> list[str]:
        free = [
            each.name
            for each in self._fleet.routers
            if each.name not in self._busy and not self._kills.is_down(each.name)
        ]
        return free if len(free) > MIN_UNDISTURBED else []

    def _free_engines(self) -> list[str]:
        names = []
        for service in SERVICES:
            free = [
                each.name
                for each in self._fleet.engines
                if each.service == service and each.name not in self._busy
            ]
            names += free if len(free) > MIN_UNDISTURBED else []
        return names

    # -- routers ----------------------------------------------------------------

    async def _inject_router_fault(self, name: str, fault: Fault) -> None:
        router = next(each for each in self._fleet.routers if each.name == name)
        if fault.kind == "hangup":
            if handles(router.process.pid, signal.SIGHUP):
                router.process.send_signal(signal.SIGHUP)
        elif fault.kind == "freeze":
            await _freeze(router, fault.seconds)
        elif fault.kind in PATH_KINDS:
            await self._fleet.paths.cut(name, fault.kind.removeprefix("path-"), fault.seconds)
        else:
            await self._stop_and_restart(router, fault)

    async def _stop_and_restart(self, router: MachinesRouter, fault: Fault) -> None:
        signal_number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
        self._fleet.stopping_routers.add(router.name)
        router.process.send_signal(signal_number)
        deadline = time.monotonic() + STOP_GRACE
        while router.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        self._fleet.down_routers.add(router.name)
        if router.process.poll() is None:
            self._fleet.records.unexpected_exits.append(f"{router.name} (not in its grace)")
            router.process.kill()
        code = await in_thread(router.process.wait)
        was_killed = router.name in self._kills.killed_while_stopping
        self._kills.killed_while_stopping.discard(router.name)
        if signal_number == signal.SIGTERM and code != 0 and not was_killed:
            self._fleet.records.unexpected_exits.append(f"{router.name} (exit {code})")
        self._fleet.stopping_routers.discard(router.name)
        await asyncio.sleep(fault.seconds)
        await self._fleet.restart(router)

    async def _kill_routers(self, fault: Fault) -> None:
        """Kill many routers at once, beside engines of one more version that serve throughout."""
        self._releases += 1
        version = f"v{self._releases + 1}"
        engines = []
        for _ in range(ENGINES_AT_KILL):
            engine = await self._fleet.add_engine(STREAM_SERVICE, version)
            self._busy.add(engine.name)
            engines.append(engine)
        await asyncio.sleep(LISTED_SECONDS)
        await self._kills.inject(fault)
        await asyncio.gather(*(self._retire(each) for each in engines))

    # -- engines ----------------------------------------------------------------

    async def _inject_engine_fault(self, name: str, fault: Fault) -> None:
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
            await _freeze(engine, fault.seconds)
        elif fault.kind == "engine-leaves":
            await self._announce_and_replace(engine)
        else:
            await _disturb_relay(relay, fault.kind.removeprefix("engine-"), fault.seconds)

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
        await self._kill(engine)
        await self._fleet.add_engine(engine.service, engine.software_version, in_place_of=engine)
        await self._remove_entry(engine)

    async def _kill(self, engine: Backend) -> None:
        await self._fleet.collect_arrivals(engine)
        self._fleet.ended_engines.add(engine.name)
        self._fleet.record_end(engine)
        engine.process.kill()
        await in_thread(engine.process.wait)

    async def _remove_entry(self, engine: Backend) -> None:
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

    async def _release(self) -> None:
        """Replace the engines with streams, one after the other, by ones of the next version.

        Those that are under another fault stay as they are, so that versions serve side by side.
        """
        self._releases += 1
        version = f"v{self._releases + 1}"
        async with asyncio.TaskGroup() as group:
            for engine in [e for e in self._fleet.engines if e.service == STREAM_SERVICE]:
                if engine.name in self._busy or engine.name in self._fleet.ended_engines:
                    continue
                self._busy.add(engine.name)
                await self._fleet.add_engine(engine.service, version)
                group.create_task(self._retire(engine))
                await asyncio.sleep(RELEASE_GAP)

    async def _retire(self, engine: Backend) -> None:
        begins = time.monotonic()
        self._fleet.record_disturbance(RELEASE, engine.name, begins)
        await self._announce(engine)
        if engine.name not in self._fleet.ended_engines:
            await self._kill(engine)
            await self._remove_entry(engine)
        self._busy.discard(engine.name)
        self._fleet.record_disturbance(RELEASE, engine.name, begins)

    # -- the store and the whole fleet --------------------------------------------

    async def _inject_store_fault(self, fault: Fault) -> None:
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
            await _disturb_relay(relay, "delayed", fault.seconds)
        else:
            await _disturb_relay(relay, effect, fault.seconds)
        self._fleet.record_disturbance(fault.kind, STORE_NAME, begins)

    async def _rewrite_lost_objects(self) -> None:
        """Write the configuration and the engines' entries again after the store lost them."""
        await self._fleet.configure()
        for engine in self._fleet.engines:
            if engine.name not in self._busy:
                await in_thread(
                    functools.partial(self._fleet.machines_fleet.put_engine, engine, "ready")
                )

    async def _inject_fleet_fault(self, fault: Fault) -> None:
        if fault.kind == "configuration":
            await self._fleet.configure()
            return
        if fault.kind == "slow-readers":
            await self._slow_down_readers(fault)
            return
        if fault.kind == RELEASE:
            await self._release()
            return
        if fault.kind in ROUTER_KILL_KINDS:
            await self._kill_routers(fault)
            return
        if fault.kind == BAD_PART:
            await BadPart(self._fleet, fault.target_number).run()
            return
        if fault.kind == CROWDED_ROUTER:
            router = self._fleet.routers[fault.target_number % len(self._fleet.routers)]
            self._fleet.crowded_router = router.name
        for caller in self._callers:
            caller.is_in_burst = True
        await asyncio.sleep(min(fault.seconds, 2.0))
        for caller in self._callers:
            caller.is_in_burst = False
        if fault.kind == CROWDED_ROUTER:
            self._fleet.crowded_router = ""

    async def _slow_down_readers(self, fault: Fault) -> None:
        """Make one in three callers ask for large answers and read them slowly."""
        slow = self._callers[fault.target_number % SLOW_CALLER_STRIDE :: SLOW_CALLER_STRIDE]
        for caller in slow:
            caller.slow_read_faults += 1
        await asyncio.sleep(fault.seconds)
        for caller in slow:
            caller.slow_read_faults -= 1


def handles(process: int, number: signal.Signals) -> bool:
    """Return whether a process, by its id, runs and handles a signal.

    Before its first line runs it cannot, and a hangup would end it; a busy machine makes that long.
    """
    try:
        status = Path(f"/proc/{process}/status").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return False
    (caught,) = [line.split()[1] for line in status.splitlines() if line.startswith("SigCgt:")]
    return bool(int(caught, 16) >> (number - 1) & 1)


async def _freeze(target: MachinesRouter | Backend, seconds: float) -> None:
    target.process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(seconds)
    finally:
        target.process.send_signal(signal.SIGCONT)


async def _disturb_relay(relay: Relay, effect: str, seconds: float) -> None:
    if effect == "reset":
        relay.reset()
        return
    if effect == "silent":
        relay.silence()
        return
    if effect == "delayed":
        relay.delay = RELAY_DELAY
    else:
        relay.block(1)
    try:
        await asyncio.sleep(seconds)
    finally:
        relay.delay = 0.0
        relay.unblock(1)
