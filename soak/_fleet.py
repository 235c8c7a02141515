"""The processes of one run, with a relay in front of each engine and of the store."""

from __future__ import annotations

import asyncio
import functools
import http.client
import tempfile
import time
import urllib.error
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from fakes._local_fleet import Backend, fetch
from fakes._machines_engine import EVENT_INTERVAL, STREAM_EVENTS
from fakes._machines_fleet import (
    HALLS,
    RULES,
    MachinesFleet,
    MachinesRouter,
    StreamShape,
    with_version,
)
from pondhatch.platform._names import CONTENTION_RULE
from pondhatch.platform.tests._wire import CONFIGURATION
from soak._paths import Paths
from soak._plan import STREAM_SERVICE
from soak._records import Arrival, Disturbance, EngineLife, ObservedVersion, Records
from soak._relay import Relay

#: Seconds for all routers to start and become ready.
START_TIMEOUT = 60.0
#: Seconds within which a write to the store must succeed, and between two tries.
STORE_WRITE_TIMEOUT = 60.0
STORE_RETRY_PAUSE = 0.2
#: First line of an error's traceback in the standard error of a process.
TRACEBACK = "Traceback (most recent call last):"
#: Status by which the store says that there is no such object.
NOT_FOUND = 404
SERVICES = (STREAM_SERVICE, "portal")
STREAM = StreamShape(STREAM_EVENTS, EVENT_INTERVAL)
FIRST_SOFTWARE_VERSION = "v1"
#: Name of the store in ``relay_by_name`` and in disturbances.
STORE_NAME = "store"
T = TypeVar("T")


class _RelayedFleet(MachinesFleet):
    """A fleet whose routers reach the engines and the store through relays."""

    def __init__(self, relay_by_name: dict[str, Relay]) -> None:
        super().__init__(log_level="ERROR")
        self._relay_by_name = relay_by_name

    def __enter__(self) -> _RelayedFleet:
        self._stderr = tempfile.TemporaryFile(prefix="pondhatch-soak-")
        super().__enter__()
        return self

    def errors(self) -> list[str]:
        """Return the error line of each traceback that a process wrote."""
        if self._stderr is None:
            return []
        self._stderr.seek(0)
        text = self._stderr.read().decode(errors="replace")
        return [_error_line(part) for part in text.split(TRACEBACK)[1:]]

    def put_object(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, and retry until the store confirms it."""
        _retry_until_confirmed(functools.partial(super().put_object, kind, name, spec))

    def remove_object(self, kind: str, name: str) -> None:
        """Remove an object; if it is not there, a try whose answer was lost has removed it."""
        _retry_until_confirmed(functools.partial(super().remove_object, kind, name))

    def address_of(self, backend: Backend) -> str:
        host, _, port = backend.url.removeprefix("http://").rpartition(":")
        relay = self._relay_by_name[backend.name]
        relay.target = (host, int(port))
        return relay.address


@dataclass
class SoakFleet:
    """Starts all processes, records what was done to them, and ends those that it started."""

    records: Records = field(default_factory=Records)
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
    _restarts_by_router: dict[str, int] = field(default_factory=dict)
    _engines_started: int = 0

    def __post_init__(self) -> None:
        self.machines_fleet = _RelayedFleet(self.relay_by_name)
        self.paths = Paths(self.machines_fleet.divert)

    async def start(self, routers: int, engines: int, manages_load: bool = False) -> None:
        """Start all processes, and wait until every router is ready."""
        if manages_load:
            self.machines_fleet.rules = (*RULES, CONTENTION_RULE)
        await self._add_relay(STORE_NAME)
        await in_thread(self.machines_fleet.__enter__)
        await in_thread(lambda: self.machines_fleet.put_object("config", "main", CONFIGURATION))
        self.paths.add_routers([f"edge-{index}" for index in range(routers)])
        for _ in range(engines):
            for service in SERVICES:
                await self.add_engine(service)
        for index in range(routers):
            hall = HALLS[index % len(HALLS)]
            await in_thread(functools.partial(self.machines_fleet.add_router, hall))
        await self._await_ready()

    async def stop(self) -> None:
        """Collect the errors and end all processes that were started."""
        self.paths.close()
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
        self._engines_started += 1
        name = f"i-{service}-{self._engines_started}"
        if in_place_of is not None:
            self.relay_by_name[name] = self.relay_by_name[in_place_of.name]
        else:
            await self._add_relay(name)
            await self.paths.add_engine(self.relay_by_name[name].address)
        hall = HALLS[self._engines_started % len(HALLS)]
        fleet = self.machines_fleet
        life = EngineLife(name, service, software_version, time.monotonic())
        self.records.engine_lives[name] = life
        self.starting_engines.add(name)
        try:
            return await in_thread(
                lambda: fleet.add_versioned_engine(name, service, hall, software_version, STREAM)
            )
        finally:
            self.starting_engines.discard(name)

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
        edited = with_version(CONFIGURATION, self.configuration_version)
        edited["Routes"][0]["TimeoutMs"] = 7000 + self.configuration_version % 1000
        await in_thread(lambda: self.machines_fleet.put_object("config", "main", edited))

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


def _error_line(trace: str) -> str:
    """Return the first line of a traceback that is not indented: it names the error."""
    lines = (line for line in trace.splitlines() if line and not line.startswith(" "))
    return next(lines, "an error that is cut off")


def _retry_until_confirmed(call: Callable[[], None]) -> None:
    deadline = time.monotonic() + STORE_WRITE_TIMEOUT
    while time.monotonic() < deadline:
        try:
            return call()
        except urllib.error.HTTPError as error:
            error.close()
            if error.code == NOT_FOUND:
                return None
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(STORE_RETRY_PAUSE)
    raise TimeoutError(f"the store did not confirm a write in {STORE_WRITE_TIMEOUT} s")


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
