"""Engines that state that they are brittle, then let fewer requests in without announcing it."""

from __future__ import annotations

import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import ClassVar

from fakes._local_fleet import fetch
from fakes._machines_fleet import HALLS, MachinesFleet, eventually
from fakes.tests.test_prepared_machines import MachinesCase
from pondhatch.platform.tests._wire import CONFIGURATION

ROUTERS = 4
ENGINES = 4
#: Requests that an engine may refuse in one second; one more and it falls over.
REFUSAL_LIMIT = 1
#: Requests that an engine holds at first, and once it has shrunk.
PLACES, LATER_PLACES = 8, 2
#: Seconds from the first statement until the engines shrink.
NOTICE_SECONDS = 3.0
#: Seconds of work on one request.
WORK_SECONDS = 0.1
#: Seconds of traffic after the engines shrank, in bursts over all routers.
SHRUNK_SECONDS = 8.0
BURST = 10
BURSTS_PER_SECOND = 15
#: Falls that callers bear: two, and a tenth of the engines.
MAX_FALLS = 2 + ENGINES // 10
#: Share of the room that is to be used while three times as many requests come.
USED_SHARE = 0.5


class BrittleEnginesTest(MachinesCase):
    statuses: ClassVar[list[tuple[float, int]]]
    shrunk_at: ClassVar[float]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(MachinesFleet(log_level="ERROR"))
        cls.fleet.put_object("config", "main", CONFIGURATION)
        for index in range(ENGINES):
            cls.fleet.add_engine(f"i-portal-{index}", "portal", HALLS[index % 2])
        for index in range(ROUTERS):
            cls.fleet.add_router(HALLS[index % 2])
        eventually(lambda: all(each.is_ready() for each in cls.fleet.machine_routers))
        eventually(lambda: all(cls.is_served(each) for each in cls.fleet.machine_routers))
        cls.statuses = []
        for engine in cls.fleet.backends:
            engine.arm("stall", 1_000_000, WORK_SECONDS)
            order = {
                "refusal_limit": REFUSAL_LIMIT,
                "places": PLACES,
                "later_places": LATER_PLACES,
                "seconds": NOTICE_SECONDS,
            }
            fetch(f"{engine.url}/brittle", order)
        cls.shrunk_at = time.monotonic() + NOTICE_SECONDS
        with ThreadPoolExecutor(256) as pool:
            while time.monotonic() < cls.shrunk_at + SHRUNK_SECONDS:
                for number in range(BURST):
                    pool.submit(cls._call, number % ROUTERS)
                time.sleep(1 / BURSTS_PER_SECOND)

    @classmethod
    def _call(cls, router: int) -> None:
        attempt = uuid.uuid4().hex[:16]
        try:
            target = cls.fleet.machine_routers[router]
            status = cls.send_request(target, "/x", Attempt_Id=attempt).status
        except OSError:
            status = 0
        cls.statuses.append((time.monotonic(), status))

    def test_brittle_engines_hardly_ever_fall_over(self) -> None:
        """Guards against many routers that each send a little more than an engine has room for."""
        falls = [at for engine in self.fleet.backends for at in fetch(f"{engine.url}/brittle")]
        self.assertLessEqual(len(falls), MAX_FALLS)

    def test_their_room_is_used(self) -> None:
        served = sum(at >= self.shrunk_at and status == 200 for at, status in self.statuses)
        room = ENGINES * LATER_PLACES / WORK_SECONDS * SHRUNK_SECONDS
        self.assertGreaterEqual(served, USED_SHARE * room)
