"""Puts routers out of step while a version joins, and has callers take up streams there."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence

from fakes._cuttable_routers import STORE, Direction
from fakes._local_fleet import Backend
from fakes._machines_fleet import HALLS, MachinesRouter
from soak._callers import Caller, StreamPosition, may_be_resumed
from soak._disturbing import freeze
from soak._engine_faults import EngineFaults
from soak._fleet import SoakFleet
from soak._own_services import own_route, own_service
from soak._plan import (
    APART_DEAF,
    APART_HALL,
    APART_OTHERS,
    APART_STORE,
    APART_UNHEARD,
    ENGINE_CRASH,
    STANDSTILL,
    STORE_OUT_OF_REACH,
    Fault,
)
from soak._records import Attempt, Route

#: The version that joins, and its engines.
JOINING_VERSION = "v2"
JOINING_ENGINES = 2
#: Least and most seconds from the begin of the spell to that of the release.
RELEASE_AFTER_SECONDS = (0.05, 0.5)
#: Share of the releases whose engines crash, the seconds from their listing to that, and from that
#: to the end of their entries, and from there to their return under new ids.
CRASHING_SHARE = 0.5
CRASH_AFTER_SECONDS, ENTRY_SECONDS, RETURN_AFTER_SECONDS = 1.5, 0.3, 0.3
#: Streams that begin during the spell or soon after it, and the least time in which they do.
STREAMS = 24
MIN_BEGIN_SECONDS = 0.6
#: Tries until a stream begins.
BEGIN_TRIES = 3
#: Share of these streams that begin at a router that is out of step, and of those that their
#: callers read on until they break off.
BEGUN_THERE_SHARE, READ_ON_SHARE = 0.2, 0.25
#: Most events that the other callers read before they leave.
MAX_EVENTS_BEFORE_LEAVING = 3
#: Share of the streams that are taken up only after the spell, and the most seconds after it.
TAKEN_UP_LATER_SHARE, LATER_SECONDS = 0.4, 0.4
#: Most seconds after which the others are taken up.
TAKE_UP_SECONDS = 0.15
#: Seconds between two tries elsewhere, and the tries of one stream in all.
RETRY_SECONDS, MAX_TRIES = 0.4, 8
#: Seconds after which a caller gives up, however often no router accepted its connection.
GIVE_UP_SECONDS = 12.0
#: Share of the cuts in one direction in which the store is out of reach too.
STORE_TOO_SHARE = 0.5


class OutOfStep:
    """Spells in which routers are out of step, each with a service of its own."""

    def __init__(self, fleet: SoakFleet, engines: EngineFaults) -> None:
        self._fleet = fleet
        self._engines = engines
        #: Spells begun, of which each uses up a service.
        self._spells = 0
        #: Names of the routers that are out of step now.
        self._struck: set[str] = set()

    async def inject(self, fault: Fault) -> None:
        """Play one spell; return when its callers are done."""
        number, self._spells = self._spells, self._spells + 1
        routers = self._targets(fault)
        if not routers:
            return
        names = [each.name for each in routers]
        self._struck |= set(names)
        joining = await self._start_engines(own_service(number))
        rng = random.Random(fault.target_number)
        is_over = asyncio.Event()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._play(fault, routers, rng, is_over))
                await asyncio.sleep(rng.uniform(*RELEASE_AFTER_SECONDS))
                await asyncio.gather(*(self._fleet.list_engine(each) for each in joining))
                if rng.random() < CRASHING_SHARE:
                    group.create_task(self._crash(joining))
                for _ in range(STREAMS):
                    stream = _Stream(self._fleet, own_route(number), names, fault.seconds, is_over)
                    group.create_task(stream.play(random.Random(rng.random())))
        finally:
            self._struck -= set(names)

    def _targets(self, fault: Fault) -> list[MachinesRouter]:
        """Return the routers to strike; none if no other would be left."""
        absent = self._struck | self._fleet.down_routers | self._fleet.stopping_routers
        routers = [each for each in self._fleet.routers if each.name not in absent]
        if len(routers) < 2:
            return []
        if fault.kind != APART_HALL:
            return [routers[fault.target_number % len(routers)]]
        hall = self._fleet.routers[fault.target_number % len(HALLS) :: len(HALLS)]
        struck = [each for each in hall if each in routers]
        return struck if len(struck) < len(routers) else []

    async def _start_engines(self, service: str) -> list[Backend]:
        start = self._fleet.start_engine
        return list(
            await asyncio.gather(*(start(service, JOINING_VERSION) for _ in range(JOINING_ENGINES)))
        )

    async def _play(
        self,
        fault: Fault,
        routers: Sequence[MachinesRouter],
        rng: random.Random,
        is_over: asyncio.Event,
    ) -> None:
        """Put routers out of step for a while."""
        begins = time.monotonic()
        self._record(fault.kind, routers, begins)
        try:
            if fault.kind == STANDSTILL:
                await freeze(routers[0], fault.seconds)
            else:
                await self._cut_off(fault, routers, rng)
        finally:
            self._record(fault.kind, routers, begins)
            is_over.set()

    def _record(self, kind: str, routers: Sequence[MachinesRouter], begins: float) -> None:
        for each in routers:
            self._fleet.record_disturbance(kind, each.name, begins)

    async def _cut_off(
        self, fault: Fault, routers: Sequence[MachinesRouter], rng: random.Random
    ) -> None:
        names = [each.name for each in routers]
        others = [each.name for each in self._fleet.routers if each.name not in names]
        ends, direction = [*others, STORE], Direction.BOTH
        if fault.kind == APART_STORE:
            ends = [STORE]
        elif fault.kind == APART_OTHERS:
            ends = others
        elif fault.kind in (APART_UNHEARD, APART_DEAF):
            is_unheard = fault.kind == APART_UNHEARD
            direction = Direction.OUTGOING if is_unheard else Direction.INCOMING
            ends = ends if rng.random() < STORE_TOO_SHARE else others
        paths, begins = self._fleet.router_paths, time.monotonic()
        if STORE in ends:
            self._record(STORE_OUT_OF_REACH, routers, begins)
        for name in names:
            paths.cut_off(name, ends, direction)
        try:
            await asyncio.sleep(fault.seconds)
        finally:
            for name in names:
                await paths.restore(name, ends, direction)
            if STORE in ends:
                self._record(STORE_OUT_OF_REACH, routers, begins)

    async def _crash(self, engines: Sequence[Backend]) -> None:
        """End engines without a word; others of their version serve soon after."""
        replacing = asyncio.ensure_future(self._start_engines(engines[0].service))
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        for each in engines:
            self._fleet.record_disturbance(ENGINE_CRASH, each.name, time.monotonic())
        await asyncio.gather(*(self._engines.kill(each) for each in engines))
        await asyncio.sleep(ENTRY_SECONDS)
        await asyncio.gather(*(self._engines.remove_entry(each) for each in engines))
        await asyncio.sleep(RETURN_AFTER_SECONDS)
        await asyncio.gather(*(self._fleet.list_engine(each) for each in await replacing))


class _Stream:
    """One stream that breaks off and is taken up at a router that is out of step."""

    def __init__(
        self,
        fleet: SoakFleet,
        route: Route,
        struck: Sequence[str],
        seconds: float,
        is_over: asyncio.Event,
    ) -> None:
        self._fleet = fleet
        self._route = route
        #: Routers that are out of step, and for how long.
        self._struck = struck
        self._seconds = seconds
        self._is_over = is_over
        self._position = StreamPosition()

    async def play(self, rng: random.Random) -> None:
        """Begin the stream, and take it up again until it is whole."""
        caller = Caller(self._fleet, rng, leaving_share=0.0)
        try:
            await asyncio.sleep(rng.uniform(0.0, max(MIN_BEGIN_SECONDS, self._seconds)))
            attempt = await self._begin(caller, rng)
            if attempt is None:
                return
            await self._wait(rng)
            router, gives_up_at = rng.choice(self._struck), time.monotonic() + GIVE_UP_SECONDS
            while time.monotonic() < gives_up_at and may_be_resumed(
                attempt, self._position, MAX_TRIES
            ):
                attempt = await caller.try_at(router, self._route, self._position) or attempt
                await asyncio.sleep(RETRY_SECONDS)
                router = self._other(rng)
        finally:
            caller.close()

    async def _begin(self, caller: Caller, rng: random.Random) -> Attempt | None:
        """Return the attempt that brought the first event; None if none did."""
        begins_there = rng.random() < BEGUN_THERE_SHARE
        reads_on = rng.random() < READ_ON_SHARE
        max_events = None if reads_on else rng.randint(1, MAX_EVENTS_BEFORE_LEAVING)
        for _ in range(BEGIN_TRIES):
            router = rng.choice(self._struck) if begins_there else self._other(rng)
            attempt = await caller.try_at(router, self._route, self._position, max_events)
            if self._position.last_event:
                return attempt
            await asyncio.sleep(RETRY_SECONDS)
        return None

    async def _wait(self, rng: random.Random) -> None:
        if rng.random() < TAKEN_UP_LATER_SHARE:
            await self._is_over.wait()
            await asyncio.sleep(rng.uniform(0.0, LATER_SECONDS))
        else:
            await asyncio.sleep(rng.uniform(0.0, TAKE_UP_SECONDS))

    def _other(self, rng: random.Random) -> str:
        """Return a router that is in step, if one is."""
        names = [each.name for each in self._fleet.routers]
        running = [each for each in names if each not in self._fleet.down_routers]
        others = [each for each in running if each not in self._struck]
        return rng.choice(others or names)
