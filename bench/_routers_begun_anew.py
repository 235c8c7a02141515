"""Streams that callers take up after all routers, or all but one, were killed at once."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from bench._measures import Measure
from fakes._local_fleet import Backend
from fakes._machines_fleet import HALLS, MachinesFleet, StreamShape, eventually
from fakes._resuming_caller import OK, ResumingCaller, StreamTry
from pondhatch.platform.tests._wire import CONFIGURATION

SERVICE, KEY = "lang", "key-1"
STREAM = StreamShape(events=20, event_interval=0.2)
ROUTERS = 4
OLD, NEW = "v1", "v1.1"
ENGINES_PER_VERSION = 4
#: Seconds between two streams: the engines of one version have slots for all of them.
STREAM_INTERVAL = 1 / 6
#: Seconds from the first stream to the kill, and for which the routers are down.
KILL_SECONDS, DOWN_SECONDS = 4.0, 1.0
#: Seconds from when all are ready again to the second kill, or to the last stream's begin.
READY_SECONDS = 4.0
#: Seconds by which engines leave before the kill.
LEAVING_SECONDS = 0.4
#: Seconds between two tries of a caller, and for which it tries.
TRY_INTERVAL, TRY_SECONDS = 0.4, 16.0
#: Engines of a stream's version that serve while it is taken up, and the seconds by which they do
#: so before.
MIN_ENGINES, SERVING_MARGIN = 2, 0.3
MAX_PENDING_STREAMS = 100
#: Seconds from which on a try without an answer was not refused by its router's host.
ACCEPTED_SECONDS = 0.5


@dataclass(frozen=True)
class Day:
    """What happens to the routers, and to the engines of the old version."""

    name: str
    versions: tuple[str, ...] = (OLD, NEW)
    #: Seconds after the kill at which the old version leaves; None if it stays.
    old_leaves: float | None = None
    #: Whether the new version comes while the routers are down.
    new_comes: bool = False
    kills: int = 2
    #: Routers that are not killed.
    spared: int = 0


DAYS = (
    Day("old-left-before", old_leaves=-LEAVING_SECONDS),
    Day("old-leaves-meanwhile", old_leaves=DOWN_SECONDS / 2, kills=1),
    Day("one-router-stays", old_leaves=-LEAVING_SECONDS, kills=1, spared=1),
    Day("both-serve", kills=2),
    Day("new-comes-meanwhile", (OLD,), new_comes=True, kills=1),
    Day("one-version-serves", (OLD,)),
)


@dataclass
class _ServingTime:
    """From when to when an engine was listed."""

    version: str
    begins: float
    ends: float = float("inf")


@dataclass
class _Play:
    """One day: a fleet, its callers, and what happens to it."""

    day: Day
    fleet: MachinesFleet
    callers: list[ResumingCaller] = field(default_factory=list)
    _serving: dict[str, _ServingTime] = field(default_factory=dict)

    def run(self) -> None:
        self.fleet.put_object("config", "main", CONFIGURATION)
        self.fleet.add_engine("i-portal", "portal", HALLS[0])
        engines = ENGINES_PER_VERSION * (2 if len(self.day.versions) == 1 else 1)
        for version in self.day.versions:
            self._add_version(version, engines if not self.day.new_comes else ENGINES_PER_VERSION)
        for index in range(ROUTERS):
            self.fleet.add_router(HALLS[index % len(HALLS)])
        eventually(lambda: all(each.is_ready() for each in self.fleet.machine_routers))
        time.sleep(1.0)
        began = time.monotonic()
        faults = threading.Thread(target=self._injure, args=(began,))
        faults.start()
        with ThreadPoolExecutor(MAX_PENDING_STREAMS) as pool:
            while faults.is_alive():
                caller = ResumingCaller("/notes/a", KEY)
                self.callers.append(caller)
                pool.submit(self._read, caller, random.Random(len(self.callers)))
                time.sleep(STREAM_INTERVAL)

    def _add_version(self, version: str, count: int) -> None:
        for index in range(count):
            name = f"i-{version}-{index}"
            self.fleet.add_versioned_engine(name, SERVICE, HALLS[index % 2], version, STREAM)
            self._serving[name] = _ServingTime(version, time.monotonic())

    def _read(self, caller: ResumingCaller, rng: random.Random) -> None:
        ends_at = time.monotonic() + TRY_SECONDS
        while time.monotonic() < ends_at:
            caller.read(rng.choice(self.fleet.machine_routers).caller_url)
            if len(caller.events) >= STREAM.events or not caller.events:
                return
            time.sleep(TRY_INTERVAL)

    def _injure(self, began: float) -> None:
        old_leaves = self.day.old_leaves
        if old_leaves is not None and old_leaves < 0:
            _sleep_until(began + KILL_SECONDS + old_leaves)
            self._remove_old()
        for number in range(self.day.kills):
            if number == 0:
                _sleep_until(began + KILL_SECONDS)
            killed_at = time.monotonic()
            killed = self.fleet.machine_routers[self.day.spared :]
            for router in killed:
                router.process.kill()
            for router in killed:
                router.process.wait()
            if number == 0 and old_leaves is not None and old_leaves >= 0:
                _sleep_until(killed_at + old_leaves)
                self._remove_old()
            if number == 0 and self.day.new_comes:
                self._add_version(NEW, ENGINES_PER_VERSION)
            _sleep_until(killed_at + DOWN_SECONDS)
            for router in killed:
                self.fleet.restart(router)
            eventually(lambda: all(each.is_ready() for each in self.fleet.machine_routers))
            time.sleep(READY_SECONDS)

    def _remove_old(self) -> None:
        """Let the engines of the old version leave: their entries go, and they serve on."""
        for engine in [each for each in self.fleet.backends if self._is_old(each)]:
            self._serving[engine.name].ends = time.monotonic()
            self.fleet.put_engine(engine, "draining", Sequence=2)
            self.fleet.remove_object("servers", engine.name)

    def _is_old(self, engine: Backend) -> bool:
        return engine.service == SERVICE and engine.software_version == OLD

    def resumed(self) -> list[StreamTry]:
        """Return the tries that resumed a stream while engines of its version served."""
        return [
            each
            for caller in self.callers
            for each in caller.tries[1:]
            if _is_sent(each) and self._has_engines(caller.events[0][1], each)
        ]

    def _has_engines(self, version: str, one_try: StreamTry) -> bool:
        begins, ends = one_try.began - SERVING_MARGIN, one_try.began + one_try.seconds
        serving = [
            each
            for each in self._serving.values()
            if each.version == version and each.begins < begins and each.ends > ends
        ]
        return len(serving) >= MIN_ENGINES


def _is_sent(one_try: StreamTry) -> bool:
    """Return whether a router accepted the connection."""
    return bool(one_try.status) or one_try.seconds > ACCEPTED_SECONDS


def _sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.monotonic()))


def measure_routers_begun_anew() -> Iterator[Measure]:
    """Yield for each day the streams over two versions, and how often resumed ones go on."""
    for day in DAYS:
        with MachinesFleet(log_level="ERROR") as fleet:
            play = _Play(day, fleet)
            play.run()
        first = [each.tries[0] for each in play.callers if each.tries and _is_sent(each.tries[0])]
        resumed = play.resumed()
        mixed = sum(len(each.software_versions) > 1 for each in play.callers)
        begun = sum(each.status == OK for each in first) / max(1, len(first))
        went_on = sum(each.status == OK for each in resumed) / max(1, len(resumed))
        name = f"resumed.{day.name}"
        yield Measure(f"{name}.streams", len(first), "streams")
        yield Measure(f"{name}.over-two-versions", mixed, "streams")
        yield Measure(f"{name}.resumed", len(resumed), "tries")
        against = "new streams that begin"
        yield Measure(f"{name}.went-on", round(went_on, 3), "share", round(begun, 3), against)
