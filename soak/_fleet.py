"""The processes of one run, with a relay in front of each engine and of the store."""

from __future__ import annotations

import asyncio
import functools
import http.client
import time
from collections.abc import Callable
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any, TypeVar

from fakes._local_fleet import Backend, fetch, free_ports
from fakes._machines_engine import EVENT_INTERVAL, STREAM_EVENTS
from fakes._machines_fleet import HALLS, RULES, MachinesRouter, RouterPorts, StreamShape
from pondhatch.platform._names import CONTENTION_RULE
from pondhatch.platform.tests._wire import CONFIGURATION
from soak._own_services import configuration, own_service
from soak._paths import Diversions, Paths
from soak._plan import STREAM_SERVICE
from soak._records import Arrival, Disturbance, EngineLife, ObservedVersion, Records
from soak._relay import Relay
from soak._relayed_fleet import RelayedFleet
from soak._router_paths import RouterPaths

#: Seconds for all routers to start and become ready.
START_TIMEOUT = 60.0
SERVICES = (STREAM_SERVICE, "portal")
STREAM = StreamShape(STREAM_EVENTS, EVENT_INTERVAL)
#: Streams of services of their own last long enough for callers to leave them midway.
OWN_STREAM = StreamShape(STREAM_EVENTS, 0.15)
#: Engines of each such service at the start.
OWN_ENGINES = 2
FIRST_SOFTWARE_VERSION = "v1"
#: Name of the store in ``relay_by_name`` and in disturbances.
STORE_NAME = "store"
T = TypeVar("T")


@dataclass
class SoakFleet:
    """Starts all processes, records what was done to them, and ends those that it started."""

    records: Records = field(default_factory=Records)
    #: Gets what all processes write, if given.
    log_file: Path | None = None
    relay_by_name: dict[str, Relay] = field(default_factory=dict)
    #: Router to which most new connections go; empty while they are spread.
    crowded_router: str = ""
    #: Routers whose process has ended and was not restarted yet.
    down_routers: set[str] = field(default_factory=set)
    #: Routers that were sent a signal to end, and whose exit was not seen yet.
    stopping_routers: set[str] = field(default_factory=set)
    #: Engines that were killed on purpose, or are about to be.
    ended_engines: set[str] = field(default_factory=set)
    #: Engines whose first entry the store has not confirmed: it may still be written again.
    starting_engines: set[str] = field(default_factory=set)
    configuration_version: int = CONFIGURATION["Version"]
    #: Keys that are yet to be dropped, by one fault each.
    keys_to_drop: list[str] = field(default_factory=list)
    #: Until when callers send nothing, in the monotonic clock's seconds.
    idle_until: float = 0.0
    _restarts_by_router: dict[str, int] = field(default_factory=dict)
    _engines_started: int = 0
    _own_services: int = 0

    def __post_init__(self) -> None:
        self.machines_fleet = RelayedFleet(self.relay_by_name, self.log_file)
        diversions = Diversions(self.machines_fleet.divert)
        self.paths = Paths(diversions)
        self.router_paths = RouterPaths(diversions)

    async def start(
        self,
        routers: int,
        engines: int,
        manages_load: bool = False,
        own_services: int = 0,
        dropped_keys: int = 0,
    ) -> None:
        """Start all processes, and wait until every router is ready.

        ``own_services`` is the number of services that only streams of one fault each use,
        ``dropped_keys`` that of the keys that one fault each drops.
        """
        self._own_services = own_services
        self.keys_to_drop = [f"key-to-drop-{number}" for number in range(dropped_keys)]
        if manages_load:
            self.machines_fleet.rules = (*RULES, CONTENTION_RULE)
        await self._add_relay(STORE_NAME)
        await in_thread(self.machines_fleet.__enter__)
        first = configuration(CONFIGURATION["Version"], own_services, self.keys_to_drop)
        await in_thread(lambda: self.machines_fleet.put_object("config", "main", first))
        ports_by_router = {
            f"edge-{index}": RouterPorts(*free_ports(len(fields(RouterPorts))))
            for index in range(routers)
        }
        self.records.routers = frozenset(ports_by_router)
        self.paths.add_routers(list(ports_by_router))
        store = self.machines_fleet.address_of(self.machines_fleet.object_store)
        peers = {name: ports.peers for name, ports in ports_by_router.items()}
        await self.router_paths.start(peers, store)
        for _ in range(engines):
            for service in SERVICES:
                await self.add_engine(service)
        own = [own_service(index) for index in range(own_services) for _ in range(OWN_ENGINES)]
        await asyncio.gather(*(self.add_engine(service) for service in own))
        for index, ports in enumerate(ports_by_router.values()):
            hall = HALLS[index % len(HALLS)]
            add = functools.partial(self.machines_fleet.add_router, hall, ports=ports)
            await in_thread(add)
        await self._await_ready()

    async def stop(self) -> None:
        """Collect the errors and end all processes that were started."""
        self.paths.close()
        self.router_paths.close()
        for relay in self.relay_by_name.values():
            relay.close()
        self.records.errors += self.machines_fleet.errors()
        await in_thread(lambda: self.machines_fleet.__exit__(None, None, None))

    @property
    def routers(self) -> list[MachinesRouter]:
        """All routers, including those that are down."""
        return self.machines_fleet.machine_routers

    @property
    def engines(self) -> list[Backend]:
        """The engines that are listed and were not killed."""
        absent = self.ended_engines | self.starting_engines
        return [each for each in self.machines_fleet.backends if each.name not in absent]

    async def add_engine(
        self,
        service: str,
        software_version: str = FIRST_SOFTWARE_VERSION,
        in_place_of: Backend | None = None,
    ) -> Backend:
        """Start an engine under a new name, at the address of one that ended if given."""
        engine = await self.start_engine(service, software_version, in_place_of)
        await self.list_engine(engine)
        return engine

    async def start_engine(
        self,
        service: str,
        software_version: str = FIRST_SOFTWARE_VERSION,
        in_place_of: Backend | None = None,
    ) -> Backend:
        """Start an engine of which no router learns before it is listed, which must follow."""
        self._engines_started += 1
        name = f"i-{service}-{self._engines_started}"
        if in_place_of is not None:
            self.relay_by_name[name] = self.relay_by_name[in_place_of.name]
        else:
            await self._add_relay(name)
            await self.paths.add_engine(self.relay_by_name[name].address)
        hall = HALLS[self._engines_started % len(HALLS)]
        fleet = self.machines_fleet
        shape = STREAM if service in SERVICES else OWN_STREAM
        life = EngineLife(name, service, software_version, time.monotonic())
        self.records.engine_lives[name] = life
        self.starting_engines.add(name)
        return await in_thread(
            lambda: fleet.start_versioned_engine(name, service, hall, software_version, shape)
        )

    async def list_engine(self, engine: Backend) -> None:
        """Write the entry of an engine that was started."""
        life = self.records.engine_lives[engine.name]
        self.records.engine_lives[engine.name] = replace(life, begins=time.monotonic())
        try:
            await in_thread(lambda: self.machines_fleet.put_engine(engine, "ready"))
        finally:
            self.starting_engines.discard(engine.name)

    def record_end(self, engine: Backend) -> None:
        """Record that an engine ends, or announces that it leaves, from now on."""
        life = self.records.engine_lives[engine.name]
        ends = min(life.ends, time.monotonic())
        self.records.engine_lives[engine.name] = replace(life, ends=ends)

    async def restart(self, router: MachinesRouter) -> None:
        """Restart a router; return once its process is started, before it is ready."""
        self._restarts_by_router[router.name] = self._restarts_by_router.get(router.name, 0) + 1
        await in_thread(lambda: self.machines_fleet.restart(router))
        self.down_routers.discard(router.name)

    async def configure(self) -> None:
        """Write the next version of the configuration to the store."""
        self.configuration_version += 1
        edited = configuration(self.configuration_version, self._own_services, self.keys_to_drop)
        edited["Routes"][0]["TimeoutMs"] = 7000 + self.configuration_version % 1000
        await in_thread(lambda: self.machines_fleet.put_object("config", "main", edited))

    def take_key(self) -> str:
        """Return a key that the next configuration drops; empty if there is none left."""
        return self.keys_to_drop.pop() if self.keys_to_drop else ""

    async def readers(self) -> list[MachinesRouter]:
        """Return the running routers that say that they read the platform for their halls."""
        absent = self.down_routers | self.stopping_routers
        running = [each for each in self.routers if each.name not in absent]
        states = await asyncio.gather(
            *(in_thread(functools.partial(_state_of, each)) for each in running)
        )
        return [
            each
            for each, state in zip(running, states, strict=True)
            if state is not None and state["watches_platform"]
        ]

    def record_disturbance(self, kind: str, name: str, begins: float) -> None:
        """Record a disturbance of a process that lasted from ``begins`` until now."""
        self.records.disturbances.append(Disturbance(kind, name, begins, time.monotonic()))

    async def observe_routers(self) -> None:
        """Record the configuration version of each router, and routers that exited unexpectedly."""
        for router in tuple(self.routers):
            if router.name in self.down_routers | self.stopping_routers:
                continue
            code = router.process.poll()
            if code is not None:
                self.records.unexpected_exits.append(f"{router.name} (exit {code})")
                self.down_routers.add(router.name)
                continue
            restarts = self._restarts_by_router.get(router.name, 0)
            state = await in_thread(functools.partial(_state_of, router))
            if state is not None and restarts == self._restarts_by_router.get(router.name, 0):
                version = ObservedVersion(
                    router.name, restarts, time.monotonic(), state["configuration"]
                )
                self.records.versions.append(version)

    async def collect_arrivals(self, engine: Backend) -> None:
        """Record the requests that an engine saw, if the engine still answers."""
        seen = await in_thread(lambda: _requests_seen_by(engine))
        self.records.arrivals += [
            Arrival(
                each["id"],
                engine.name,
                each["came_at"],
                each["answered_at"],
                each["ran"],
                each["leaving"],
                each["rest"],
                each["meant_for"],
            )
            for each in seen
        ]

    async def _add_relay(self, name: str) -> None:
        relay = self.relay_by_name[name] = Relay()
        await relay.start()

    async def _await_ready(self) -> None:
        deadline = time.monotonic() + START_TIMEOUT
        for router in self.routers:
            while not await in_thread(router.is_ready):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{router.name} did not start in time")
                await asyncio.sleep(0.1)


async def in_thread(call: Callable[[], T]) -> T:
    """Make a blocking call in a thread, so that callers and relays go on."""
    return await asyncio.to_thread(call)


def _state_of(router: MachinesRouter) -> dict[str, Any] | None:
    try:
        found: dict[str, Any] = fetch(f"http://{router.admin_address}/state.json")
    except (OSError, http.client.HTTPException):
        return None
    return found


def _requests_seen_by(engine: Backend) -> list[dict[str, Any]]:
    try:
        found: list[dict[str, Any]] = fetch(f"{engine.url}/seen")
    except (OSError, http.client.HTTPException):
        return []
    return found
