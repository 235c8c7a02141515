"""Engines that send an answer a second time: what becomes of the requests that come after it.

A row for each moment of the second copy, and one without copies. The engines are of a plain
service, and each refuses one request in twenty.
"""

from __future__ import annotations

import random
import time
import uuid
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException

from bench._measures import Measure
from fakes._faults import REFUSAL_STATUS_BY_FAULT
from fakes._local_fleet import fetch
from fakes._machines_fleet import HALLS, MachinesFleet, eventually
from fakes._surplus import MOMENTS
from pondhatch.platform.tests._wire import CONFIGURATION

NEVER = "never"
SERVICE = "portal"
ROUTERS = 3
ENGINES = 4
#: Requests a second, and for how long, in seconds.
RATE = 150.0
PLAY_SECONDS = 20.0
#: Share of the requests that may not be repeated.
UNREPEATABLE_SHARE = 0.7
UNREPEATABLE_PATH, REPEATABLE_PATH = "/proofs/a", "/x"
#: Share of its requests that an engine refuses, in equal parts with each of the statuses: less than
#: a router may send again, which would otherwise decide the share that is answered.
REFUSED_SHARE = 0.05
#: More than the requests of a row.
UNLIMITED = 100_000
MAX_PENDING = 64
TIMEOUT_SECONDS = 10.0
OK, LOST = 200, 502
NOT_RUN_STATUSES = frozenset({421, 429, 503})


@dataclass(frozen=True)
class _Outcome:
    """One request of a caller."""

    attempt: str
    is_repeatable: bool
    #: 0 without a complete answer.
    status: int


class _Row:
    """One row: a fleet, its callers, and the moment at which its engines send second copies."""

    def __init__(self, moment: str, fleet: MachinesFleet) -> None:
        self._moment = moment
        self._fleet = fleet
        self._rng = random.Random(1)
        self.outcomes: list[_Outcome] = []
        self.runs: Counter[str] = Counter()
        self.copies = 0
        #: Connections that the routers opened to engines.
        self.opened = 0.0

    def run(self) -> None:
        self._fleet.put_object("config", "main", CONFIGURATION)
        for index in range(ENGINES):
            self._fleet.add_engine(f"i-{index}", SERVICE, HALLS[index % len(HALLS)])
        for index in range(ROUTERS):
            self._fleet.add_router(HALLS[index % len(HALLS)])
        eventually(lambda: all(each.is_ready() for each in self._fleet.machine_routers))
        eventually(lambda: all(self._call(index, True).status == OK for index in range(ROUTERS)))
        for engine in self._fleet.backends:
            for fault in REFUSAL_STATUS_BY_FAULT:
                share = REFUSED_SHARE / len(REFUSAL_STATUS_BY_FAULT)
                engine.arm(fault, UNLIMITED, share=share)
            engine.arm(self._moment, UNLIMITED)
        opened_before = self._opened()
        self._play()
        self.opened = self._opened() - opened_before
        for engine in self._fleet.backends:
            self.runs.update(run["id"] for run in fetch(f"{engine.url}/runs"))
            self.copies += len(fetch(f"{engine.url}/surplus"))

    def _play(self) -> None:
        begun_at, count = time.monotonic(), int(RATE * PLAY_SECONDS)
        with ThreadPoolExecutor(MAX_PENDING) as pool:
            for number in range(count):
                time.sleep(max(0.0, begun_at + number / RATE - time.monotonic()))
                is_repeatable = self._rng.random() >= UNREPEATABLE_SHARE
                pool.submit(self._record, self._rng.randrange(ROUTERS), is_repeatable)

    def _record(self, router: int, is_repeatable: bool) -> None:
        self.outcomes.append(self._call(router, is_repeatable))

    def _call(self, router: int, is_repeatable: bool) -> _Outcome:
        attempt = uuid.uuid4().hex[:16]
        headers = {
            "Host": "desk.example",
            "Authorization": "Bearer key-1",
            "Attempt-Id": attempt,
            "Deadline-Ms": "5000",
        }
        url = self._fleet.machine_routers[router].caller_url.removeprefix("http://")
        path = REPEATABLE_PATH if is_repeatable else UNREPEATABLE_PATH
        connection = HTTPConnection(url, timeout=TIMEOUT_SECONDS)
        try:
            connection.request("POST", path, b"x", headers)
            response = connection.getresponse()
            response.read()
            return _Outcome(attempt, is_repeatable, response.status)
        except (OSError, HTTPException):
            return _Outcome(attempt, is_repeatable, 0)
        finally:
            connection.close()

    def _opened(self) -> float:
        """Return the number of connections that all routers have opened to engines."""
        found = 0.0
        for router in self._fleet.machine_routers:
            lines = str(fetch(router.metrics_url)).splitlines()
            opened = [each for each in lines if each.startswith("pondhatch_connections_opened")]
            found += sum(float(each.rsplit(" ", 1)[1]) for each in opened)
        return found

    def measures(self) -> Iterator[Measure]:
        name = f"surplus.{self._moment}"
        once = [each for each in self.outcomes if not each.is_repeatable]
        refused = [each for each in once if each.status in NOT_RUN_STATUSES]
        total = max(1, len(self.outcomes))
        answered = sum(each.status == OK for each in self.outcomes)
        yield Measure(f"{name}.requests", len(self.outcomes), "requests")
        yield Measure(f"{name}.copies", self.copies, "answers")
        twice = sum(self.runs[each.attempt] > 1 for each in once)
        yield Measure(f"{name}.ran_twice", twice, "requests", len(once), "unrepeatable")
        ran = sum(self.runs[each.attempt] > 0 for each in refused)
        yield Measure(f"{name}.refused_and_ran", ran, "requests", len(refused), "refused")
        lost = sum(each.status == LOST for each in once)
        yield Measure(f"{name}.lost", lost, "requests", len(once), "unrepeatable")
        yield Measure(f"{name}.answered", answered / total, "share")
        yield Measure(f"{name}.opened", self.opened / total, "connections a request")


def measure_surplus_answers() -> Iterator[Measure]:
    """Yield for each moment what became of the requests after which answers came twice."""
    for moment in (NEVER, *MOMENTS):
        with MachinesFleet(log_level="ERROR") as fleet:
            row = _Row(moment, fleet)
            row.run()
        yield from row.measures()
