"""How each kind of fault is done to the processes of a run."""

from __future__ import annotations

import asyncio
import functools
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

from fakes._local_fleet import Backend
from fakes._machines_fleet import MachinesRouter
from soak._callers import Caller
from soak._fleet import SERVICES, STORE_NAME, SoakFleet, in_thread
from soak._plan import ENGINE, ROUTER, STORE, Fault, target_of
from soak._relay import Relay

#: Seconds in which a router that is asked to stop has to end.
GRACE_SECONDS = 10.0
#: Seconds by which the platform's list is behind an answer that says that its engine leaves.
LIST_LATE = 1.0
#: Seconds for which an engine serves on after it has said so everywhere.
SERVES_ON = 3.0
#: Seconds by which a relay delays every part.
DELAY = 0.2
#: More answers than a fault outlasts.
ALWAYS = 100_000
#: Of so many callers one reads slowly, where some do.
SLOW_ONE_IN = 3
#: Engines of a service, and routers, that are left alone, so that some work is done.
LEAST_LEFT = 1
#: Faults that the stand-in of an engine knows, by their kind here.
ARMED_BY_KIND = {
    "engine-rests": "shed",
    "engine-refuses": "refuse",
    "engine-fails": "fail",
    "engine-cuts": "cut",
    "engine-crosses": "cross",
    "engine-preempts": "pause",
}
#: Faults of the stand-in that last for their whole time, however many requests come.
LASTING_BY_KIND = {"engine-slow": "slow", "engine-garbles-load": "garble-load"}


class Faults:
    """Does drawn faults, side by side."""

    def __init__(self, fleet: SoakFleet, callers: Sequence[Caller]) -> None:
        self._fleet = fleet
        self._callers = callers
        #: Routers and engines that something is done to that leaves no room for another.
        self._busy: set[str] = set()

    async def run(self, fault: Fault) -> None:
        """Do one fault, from its begin to its end."""
        kind = target_of(fault.kind)
        if kind == ROUTER:
            await self._strike(self._routers(), fault, self._router_fault)
        elif kind == ENGINE:
            await self._strike(self._engines(), fault, self._engine_fault)
        elif kind == STORE:
            await self._store_fault(fault)
        else:
            await self._fleet_fault(fault)

    async def _strike(
        self,
        names: Sequence[str],
        fault: Fault,
        do: Callable[[str, Fault], Awaitable[None]],
    ) -> None:
        if not names:
            return
        name = names[fault.target % len(names)]
        begins = time.monotonic()
        self._busy.add(name)
        # At once as well, so that what is checked meanwhile is excused.
        self._fleet.note(fault.kind, name, begins)
        try:
            await do(name, fault)
        finally:
            self._busy.discard(name)
            self._fleet.note(fault.kind, name, begins)

    def _routers(self) -> list[str]:
        free = [each.name for each in self._fleet.routers if each.name not in self._busy]
        return free if len(free) > LEAST_LEFT else []

    def _engines(self) -> list[str]:
        names = []
        for service in SERVICES:
            free = [
                each.name
                for each in self._fleet.engines
                if each.service == service and each.name not in self._busy
            ]
            names += free if len(free) > LEAST_LEFT else []
        return names

    # -- routers ----------------------------------------------------------------

    async def _router_fault(self, name: str, fault: Fault) -> None:
        router = next(each for each in self._fleet.routers if each.name == name)
        if fault.kind == "hangup":
            router.process.send_signal(signal.SIGHUP)
        elif fault.kind == "freeze":
            await _frozen(router, fault.seconds)
        else:
            await self._end(router, fault)

    async def _end(self, router: MachinesRouter, fault: Fault) -> None:
        number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
        self._fleet.ending.add(router.name)
        router.process.send_signal(number)
        deadline = time.monotonic() + GRACE_SECONDS
        while router.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        self._fleet.down.add(router.name)
        if router.process.poll() is None:
            self._fleet.records.ended_by_themselves.append(f"{router.name} (not in its grace)")
            router.process.kill()
        code = await in_thread(router.process.wait)
        if number == signal.SIGTERM and code != 0:
            self._fleet.records.ended_by_themselves.append(f"{router.name} (exit {code})")
        self._fleet.ending.discard(router.name)
        await asyncio.sleep(fault.seconds)
        await self._fleet.restart(router)

    # -- engines ----------------------------------------------------------------

    async def _engine_fault(self, name: str, fault: Fault) -> None:
        engine = next(each for each in self._fleet.engines if each.name == name)
        relay = self._fleet.relay_by_name[name]
        if fault.kind in ARMED_BY_KIND:
            await self._armed(engine, ARMED_BY_KIND[fault.kind], fault)
        elif fault.kind in LASTING_BY_KIND:
            await self._armed(engine, LASTING_BY_KIND[fault.kind], replace(fault, count=ALWAYS))
        elif fault.kind == "engine-crash":
            await self._crash(engine)
        elif fault.kind == "engine-freeze":
            await _frozen(engine, fault.seconds)
        elif fault.kind == "engine-leaves":
            await self._leave(engine)
        else:
            await _relayed(relay, fault.kind.removeprefix("engine-"), fault.seconds)

    async def _armed(self, engine: Backend, what: str, fault: Fault) -> None:
        await in_thread(lambda: engine.arm(what, fault.count, fault.seconds))
        await asyncio.sleep(fault.seconds)
        await in_thread(lambda: engine.arm(what, 0))

    async def _crash(self, engine: Backend) -> None:
        """End an engine without a word; another takes its place."""
        await self._fleet.collect(engine)
        self._fleet.ended.add(engine.name)
        engine.process.kill()
        await in_thread(engine.process.wait)
        await in_thread(lambda: self._fleet.fleet.remove("servers", engine.name))
        await self._fleet.add_engine(engine.service)

    async def _leave(self, engine: Backend) -> None:
        """Have an engine say that it leaves, in its answers first; another takes its place."""
        await in_thread(lambda: engine.arm("leaving", ALWAYS))
        await asyncio.sleep(LIST_LATE)
        await in_thread(lambda: self._fleet.fleet.put_engine(engine, "draining", Sequence=2))
        await asyncio.sleep(SERVES_ON)
        await self._crash(engine)

    # -- the store, and all of the fleet ------------------------------------------

    async def _store_fault(self, fault: Fault) -> None:
        begins, store = time.monotonic(), self._fleet.fleet.object_store
        relay, what = self._fleet.relay_by_name[STORE_NAME], fault.kind.removeprefix("store-")
        if what == "out":
            await in_thread(lambda: store.arm("outage", 1, fault.seconds))
            await asyncio.sleep(fault.seconds)
        elif what == "lost-answers":
            await in_thread(lambda: store.arm("lost-answer", fault.count))
        elif what == "forgets":
            await in_thread(lambda: store.arm("compact"))
        elif what == "restored":
            await in_thread(lambda: store.arm("copy"))
            await asyncio.sleep(fault.seconds)
            await in_thread(lambda: store.arm("restore", 1, fault.seconds))
            await asyncio.sleep(2 * fault.seconds)
            await self._write_again()
        elif what == "slow":
            await _relayed(relay, "delayed", fault.seconds)
        else:
            await _relayed(relay, what, fault.seconds)
        self._fleet.note(fault.kind, STORE_NAME, begins)

    async def _write_again(self) -> None:
        """Have the operator and the engines write again what the store lost."""
        await self._fleet.configure()
        for engine in self._fleet.engines:
            if engine.name not in self._busy:
                await in_thread(functools.partial(self._fleet.fleet.put_engine, engine, "ready"))

    async def _fleet_fault(self, fault: Fault) -> None:
        if fault.kind == "configuration":
            await self._fleet.configure()
            return
        if fault.kind == "slow-readers":
            await self._read_slowly(fault)
            return
        for caller in self._callers:
            caller.is_in_burst = True
        await asyncio.sleep(min(fault.seconds, 2.0))
        for caller in self._callers:
            caller.is_in_burst = False

    async def _read_slowly(self, fault: Fault) -> None:
        """Have a third of the callers ask for much and take it slowly."""
        slow = self._callers[fault.target % SLOW_ONE_IN :: SLOW_ONE_IN]
        for caller in slow:
            caller.slow_faults += 1
        await asyncio.sleep(fault.seconds)
        for caller in slow:
            caller.slow_faults -= 1


async def _frozen(struck: MachinesRouter | Backend, seconds: float) -> None:
    struck.process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(seconds)
    finally:
        struck.process.send_signal(signal.SIGCONT)


async def _relayed(relay: Relay, what: str, seconds: float) -> None:
    if what == "reset":
        relay.reset()
        return
    if what == "silent":
        relay.silence()
        return
    if what == "delayed":
        relay.delay = DELAY
    else:
        relay.hold(1)
    try:
        await asyncio.sleep(seconds)
    finally:
        relay.delay = 0.0
        relay.release(1)
