"""Streams that callers resume at other routers while several software versions serve.

Callers lose their connection midway and resume, at another router, what they had begun, while
engines end and their addresses serve again at another version, or routers are killed.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from bench._measures import Measure
from fakes._local_fleet import Backend
from fakes._machines_fleet import HALLS, MachinesFleet, StreamShape, eventually
from fakes._resuming_caller import OK, ResumingCaller
from pondhatch.platform.tests._wire import CONFIGURATION

SERVICE = "lang"
KEY = "key-1"
STREAM = StreamShape(events=20, event_interval=0.04)
ROUTERS = 4
#: Engines of each software version at the start.
ENGINES_BY_VERSION = {"v1": 3, "v2": 3, "v3": 2}
#: How long streams begin, and the pause between two of them, in seconds.
PLAY_SECONDS = 60.0
STREAM_INTERVAL = 0.05
#: Share of the callers that lose their connection midway.
LEAVING_SHARE = 0.5
MAX_TRIES = 3
#: Seconds from one engine's end to the next, and until its address serves again.
CRASH_INTERVAL = 0.7
REUSE_SECONDS = 0.8
#: Seconds from the start to the end of the first router, and from one to the next.
KILL_INTERVAL = 8.0
MAX_PENDING_STREAMS = 128


@dataclass(frozen=True)
class Day:
    """What happens beside the callers."""

    name: str
    versions: dict[str, int]
    crashes: bool = False
    kills: bool = False


DAYS = (
    Day("calm", ENGINES_BY_VERSION),
    Day("crashes", ENGINES_BY_VERSION, crashes=True),
    Day("kills", ENGINES_BY_VERSION, kills=True),
    Day("one-version", {"v1": sum(ENGINES_BY_VERSION.values())}),
)


class _Play:
    """One day: a fleet, its callers, and what happens to it."""

    def __init__(self, day: Day, fleet: MachinesFleet) -> None:
        self._day = day
        self._fleet = fleet
        self._rng = random.Random(1)
        self._ends_at = 0.0
        self._engines = 0
        self.callers: list[ResumingCaller] = []

    def run(self) -> None:
        self._fleet.put_object("config", "main", CONFIGURATION)
        self._fleet.add_engine("i-portal", "portal", HALLS[0])
        for version, count in self._day.versions.items():
            for _ in range(count):
                self._add_engine(version)
        for index in range(ROUTERS):
            self._fleet.add_router(HALLS[index % len(HALLS)])
        eventually(lambda: all(each.is_ready() for each in self._fleet.machine_routers))
        self._ends_at = time.monotonic() + PLAY_SECONDS
        faults = []
        if self._day.crashes:
            faults.append(threading.Thread(target=self._crash_engines))
        if self._day.kills:
            faults.append(threading.Thread(target=self._kill_routers))
        for each in faults:
            each.start()
        with ThreadPoolExecutor(MAX_PENDING_STREAMS) as pool:
            while time.monotonic() < self._ends_at:
                caller = ResumingCaller("/notes/a", KEY, f"{self._rng.randrange(60):x}")
                self.callers.append(caller)
                pool.submit(self._read, caller, random.Random(len(self.callers)))
                time.sleep(STREAM_INTERVAL)
        for each in faults:
            each.join()

    def _add_engine(self, version: str, port: int = 0) -> None:
        self._engines += 1
        hall = HALLS[self._engines % len(HALLS)]
        name = f"i-{self._engines}"
        self._fleet.add_versioned_engine(name, SERVICE, hall, version, STREAM, port)

    def _read(self, caller: ResumingCaller, rng: random.Random) -> None:
        leaves = rng.random() < LEAVING_SHARE
        router = rng.randrange(ROUTERS)
        max_events = rng.randint(1, STREAM.events - 2) if leaves else None
        for _ in range(MAX_TRIES):
            url = self._fleet.machine_routers[router].caller_url
            caller.read(url, max_events)
            if len(caller.events) == STREAM.events:
                return
            max_events = None
            router = (router + 1) % ROUTERS

    def _crash_engines(self) -> None:
        while time.monotonic() < self._ends_at:
            time.sleep(CRASH_INTERVAL)
            engines = [each for each in self._fleet.backends if each.service == SERVICE]
            engine = self._rng.choice(engines)
            engine.process.kill()
            engine.process.wait()
            self._fleet.backends.remove(engine)
            threading.Timer(REUSE_SECONDS, self._use_address_again, (engine,)).start()
        time.sleep(2 * REUSE_SECONDS)

    def _use_address_again(self, engine: Backend) -> None:
        port = int(engine.url.rpartition(":")[2])
        self._add_engine(self._rng.choice(list(self._day.versions)), port)
        self._fleet.remove_object("servers", engine.name)

    def _kill_routers(self) -> None:
        index, restarts = 0, []
        while time.monotonic() + KILL_INTERVAL < self._ends_at:
            time.sleep(KILL_INTERVAL)
            for _ in range(2):
                router = self._fleet.machine_routers[index % ROUTERS]
                router.process.kill()
                router.process.wait()
                restarts.append(threading.Timer(1.0, self._fleet.restart, (router,)))
                restarts[-1].start()
                index += 1
                time.sleep(0.3)
        for each in restarts:
            each.join()


def measure_resumed_streams() -> Iterator[Measure]:
    """Yield for each day the streams over two versions, and how often resumed ones go on."""
    for day in DAYS:
        with MachinesFleet(log_level="ERROR") as fleet:
            play = _Play(day, fleet)
            play.run()
        first = [each.tries[0] for each in play.callers if each.tries]
        resumed = [each for caller in play.callers for each in caller.tries[1:]]
        mixed = sum(len(each.software_versions) > 1 for each in play.callers)
        begun = sum(each.status == OK for each in first) / max(1, len(first))
        went_on = sum(each.status == OK for each in resumed) / max(1, len(resumed))
        name = f"resumed.{day.name}"
        yield Measure(f"{name}.streams", len(first), "streams")
        yield Measure(f"{name}.over-two-versions", mixed, "streams")
        yield Measure(f"{name}.resumed", len(resumed), "tries")
        against = "new streams that begin"
        yield Measure(f"{name}.went-on", round(went_on, 3), "share", round(begun, 3), against)
