"""Injects each kind of fault into the processes of a run."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from fakes._machines_fleet import MachinesRouter
from soak._bad_parts import BadPart
from soak._callers import Caller
from soak._disturbing import freeze
from soak._engine_faults import EngineFaults
from soak._fleet import SERVICES, SoakFleet, in_thread
from soak._lost_readers import LostReaders
from soak._out_of_step import OutOfStep
from soak._plan import (
    BAD_PART,
    CROWDED_ROUTER,
    ENGINE,
    LOST_READERS,
    OUT_OF_STEP_KINDS,
    PATH_KINDS,
    RELEASE,
    ROUTER,
    ROUTER_KILL_KINDS,
    STORE,
    STREAM_SERVICE,
    Fault,
    target_kind_of,
)
from soak._router_kills import RouterKills
from soak._store_faults import StoreFaults

#: Seconds within which a router that is asked to stop must exit.
STOP_GRACE = 10.0
#: Engines that begin to serve before a kill of many routers, at a version of their own, and the
#: seconds in which streams begin there too.
ENGINES_AT_KILL, LISTED_SECONDS = 2, 0.6
#: During a fault of slow readers, one in this many callers reads slowly.
SLOW_CALLER_STRIDE = 3
#: Engines of each service, and routers, that are always left undisturbed, so that some serve.
MIN_UNDISTURBED = 1


class FaultInjector:
    """Injects the faults of a plan, several at a time."""

    def __init__(self, fleet: SoakFleet, callers: Sequence[Caller]) -> None:
        self._fleet = fleet
        self._callers = callers
        #: Routers and engines that are under a fault and get no second one meanwhile.
        self._busy: set[str] = set()
        self._engine_faults = EngineFaults(fleet, self._busy)
        self._store_faults = StoreFaults(fleet, self._busy)
        self._kills = RouterKills(fleet)
        self._lost_readers = LostReaders(fleet, self._busy)
        self._out_of_step = OutOfStep(fleet, self._engine_faults)
        self._fleet_fault_by_kind: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "configuration": self._configure,
            "slow-readers": self._slow_down_readers,
            RELEASE: self._release,
            LOST_READERS: self._lost_readers.inject,
            BAD_PART: self._run_bad_part,
            CROWDED_ROUTER: self._crowd,
            **dict.fromkeys(ROUTER_KILL_KINDS, self._kill_routers),
            **dict.fromkeys(OUT_OF_STEP_KINDS, self._out_of_step.inject),
        }

    async def inject(self, fault: Fault) -> None:
        """Inject one fault; return when it is over."""
        target_kind = target_kind_of(fault.kind)
        if target_kind == ROUTER:
            await self._inject_at_one_of(self._free_routers(), fault, self._inject_router_fault)
        elif target_kind == ENGINE:
            await self._inject_at_one_of(self._free_engines(), fault, self._engine_faults.inject)
        elif target_kind == STORE:
            await self._store_faults.inject(fault)
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

    async def _inject_router_fault(self, name: str, fault: Fault) -> None:
        router = next(each for each in self._fleet.routers if each.name == name)
        if fault.kind == "hangup":
            if handles(router.process.pid, signal.SIGHUP):
                router.process.send_signal(signal.SIGHUP)
        elif fault.kind == "freeze":
            await freeze(router, fault.seconds)
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
        version = self._engine_faults.next_version()
        engines = []
        for _ in range(ENGINES_AT_KILL):
            engine = await self._fleet.add_engine(STREAM_SERVICE, version)
            self._busy.add(engine.name)
            engines.append(engine)
        await asyncio.sleep(LISTED_SECONDS)
        await self._kills.inject(fault)
        await asyncio.gather(*(self._engine_faults.retire(each) for each in engines))

    async def _inject_fleet_fault(self, fault: Fault) -> None:
        await self._fleet_fault_by_kind.get(fault.kind, self._burst)(fault)

    async def _configure(self, fault: Fault) -> None:
        await self._fleet.configure()

    async def _release(self, fault: Fault) -> None:
        await self._engine_faults.release()

    async def _run_bad_part(self, fault: Fault) -> None:
        await BadPart(self._fleet, fault.target_number).run()

    async def _crowd(self, fault: Fault) -> None:
        """Have most new connections go to one router during a burst."""
        router = self._fleet.routers[fault.target_number % len(self._fleet.routers)]
        self._fleet.crowded_router = router.name
        await self._burst(fault)
        self._fleet.crowded_router = ""

    async def _burst(self, fault: Fault) -> None:
        for caller in self._callers:
            caller.is_in_burst = True
        await asyncio.sleep(min(fault.seconds, 2.0))
        for caller in self._callers:
            caller.is_in_burst = False

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
