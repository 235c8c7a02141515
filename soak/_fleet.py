"""The processes of one run, with a relay before each engine and before the store."""

from __future__ import annotations

import asyncio
import functools
import http.client
import tempfile
import time
import urllib.error
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from fakes._local_fleet import Backend, fetch
from fakes._machines_fleet import HALLS, RULES, MachinesFleet, MachinesRouter, with_version
from pondhatch.platform._names import CONTENTION_RULE
from pondhatch.platform.tests._wire import CONFIGURATION
from soak._records import Arrival, Disturbance, Records, Version
from soak._relay import Relay

#: Seconds for a router to start and know what it needs.
START_SECONDS = 60.0
#: Seconds in which the store takes what the operator and engines write, and between two tries.
STORE_SECONDS = 60.0
STORE_PAUSE = 0.2
#: Begins the trace of an error in what a process writes.
TRACEBACK = "Traceback (most recent call last):"
#: Status of the store where there is no such object.
NOT_THERE = 404
SERVICES = ("lang", "portal")
#: The store, among the things that are struck.
STORE_NAME = "store"
T = TypeVar("T")


class _RelayedFleet(MachinesFleet):
    """A fleet whose routers reach engines and store through relays."""

    def __init__(self, relay_by_name: dict[str, Relay]) -> None:
        super().__init__(log_level="ERROR")
        self._relay_by_name = relay_by_name

    def __enter__(self) -> _RelayedFleet:
        self._stderr = tempfile.TemporaryFile(prefix="pondhatch-soak-")
        super().__enter__()
        return self

    def errors(self) -> list[str]:
        """Return the last line of each error that a process told of."""
        if self._stderr is None:
            return []
        self._stderr.seek(0)
        text = self._stderr.read().decode(errors="replace")
        return [_last_line(part) for part in text.split(TRACEBACK)[1:]]

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, again and again until the store says that it did."""
        _until_told(functools.partial(super().put_object, kind, name, spec))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; one that is not there was removed by a try whose answer was lost."""
        _until_told(functools.partial(super().remove_object, kind, name))

    def address_of(self, backend: Backend) -> str:
        host, _, port = backend.url.removeprefix("http://").rpartition(":")
        relay = self._relay_by_name[backend.name]
        relay.target = (host, int(port))
        return relay.address


@dataclass
class SoakFleet:
    """Starts all processes, keeps what was done to them, and ends those it started."""

    records: Records = field(default_factory=Records)
    relay_by_name: dict[str, Relay] = field(default_factory=dict)
    #: Routers whose process was ended on purpose and not started again yet.
    down: set[str] = field(default_factory=set)
    #: Routers that were told to end, and have not been seen to.
    ending: set[str] = field(default_factory=set)
    #: Engines that were ended on purpose, or are about to end.
    ended: set[str] = field(default_factory=set)
    version: int = CONFIGURATION["Version"]
    _life_by_router: dict[str, int] = field(default_factory=dict)
    _engines_started: int = 0

    def __post_init__(self) -> None:
        self.fleet = _RelayedFleet(self.relay_by_name)

    async def start(self, routers: int, engines: int, manages_load: bool = False) -> None:
        """Start everything, and wait until every router serves."""
        if manages_load:
            self.fleet.rules = (*RULES, CONTENTION_RULE)
        await self._add_relay(STORE_NAME)
        await in_thread(self.fleet.__enter__)
        await in_thread(lambda: self.fleet.put("config", "main", CONFIGURATION))
        for _ in range(engines):
            for service in SERVICES:
                await self.add_engine(service)
        for at in range(routers):
            hall = HALLS[at % len(HALLS)]
            await in_thread(functools.partial(self.fleet.add_router, hall))
        await self._await_ready()

    async def stop(self) -> None:
        """End what was started."""
        for relay in self.relay_by_name.values():
            relay.close()
        self.records.errors += self.fleet.errors()
        await in_thread(lambda: self.fleet.__exit__(None, None, None))

    @property
    def routers(self) -> list[MachinesRouter]:
        """All routers, those included that are down."""
        return self.fleet.machine_routers

    @property
    def engines(self) -> list[Backend]:
        """The engines that were not ended."""
        return [each for each in self.fleet.backends if each.name not in self.ended]

    async def add_engine(self, service: str) -> Backend:
        """Start an engine under a name of its own."""
        self._engines_started += 1
        name = f"i-{service}-{self._engines_started}"
        await self._add_relay(name)
        hall = HALLS[self._engines_started % len(HALLS)]
        return await in_thread(lambda: self.fleet.add_engine(name, service, hall))

    async def restart(self, router: MachinesRouter) -> None:
        """Start a router again, and wait until it serves."""
        self._life_by_router[router.name] = self._life_by_router.get(router.name, 0) + 1
        await in_thread(lambda: self.fleet.restart(router))
        self.down.discard(router.name)

    async def configure(self) -> None:
        """Put the next version of the configuration into the store."""
        self.version += 1
        edited = with_version(CONFIGURATION, self.version)
        edited["Routes"][0]["TimeoutMs"] = 7000 + self.version % 1000
        await in_thread(lambda: self.fleet.put("config", "main", edited))

    def note(self, kind: str, name: str, begins: float) -> None:
        """Keep that something was done to a process from a moment until now."""
        self.records.disturbances.append(Disturbance(kind, name, begins, time.monotonic()))

    async def look(self) -> None:
        """Keep which configuration each router has in force, and who ended by itself."""
        for router in tuple(self.routers):
            if router.name in self.down | self.ending:
                continue
            code = router.process.poll()
            if code is not None:
                self.records.ended_by_themselves.append(f"{router.name} (exit {code})")
                self.down.add(router.name)
                continue
            life = self._life_by_router.get(router.name, 0)
            state = await in_thread(functools.partial(_state_of, router))
            if state is not None and life == self._life_by_router.get(router.name, 0):
                version = Version(router.name, life, time.monotonic(), state["configuration"])
                self.records.versions.append(version)

    async def collect(self, engine: Backend) -> None:
        """Keep what an engine saw, if it still tells."""
        seen = await in_thread(lambda: _seen_by(engine))
        self.records.arrivals += [
            Arrival(
                each["id"],
                engine.name,
                each["came_at"],
                each["answered_at"],
                each["ran"],
                each["leaving"],
                each["rest"],
            )
            for each in seen
        ]

    async def _add_relay(self, name: str) -> None:
        relay = self.relay_by_name[name] = Relay()
        await relay.start()

    async def _await_ready(self) -> None:
        deadline = time.monotonic() + START_SECONDS
        for router in self.routers:
            while not await in_thread(router.is_ready):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{router.name} did not start in time")
                await asyncio.sleep(0.1)


def _last_line(trace: str) -> str:
    """Return what a trace says that went wrong: its first line that is not indented."""
    lines = (line for line in trace.splitlines() if line and not line.startswith(" "))
    return next(lines, "an error that is cut off")


def _until_told(call: Callable[[], None]) -> None:
    deadline = time.monotonic() + STORE_SECONDS
    while time.monotonic() < deadline:
        try:
            return call()
        except urllib.error.HTTPError as error:
            error.close()
            if error.code == NOT_THERE:
                return None
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(STORE_PAUSE)
    raise TimeoutError(f"the store did not take a write in {STORE_SECONDS} s")


async def in_thread(call: Callable[[], T]) -> T:
    """Do what blocks without holding up callers and relays."""
    return await asyncio.to_thread(call)


def _state_of(router: MachinesRouter) -> dict[str, Any] | None:
    try:
        found: dict[str, Any] = fetch(f"http://{router.admin_address}/state.json")
    except (OSError, http.client.HTTPException):
        return None
    return found


def _seen_by(engine: Backend) -> list[dict[str, Any]]:
    try:
        found: list[dict[str, Any]] = fetch(f"{engine.url}/seen")
    except (OSError, http.client.HTTPException):
        return []
    return found
