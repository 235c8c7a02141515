"""Most new connections come to one router for some seconds, while callers open more of them.

Guards against a router that takes them on and then serves a smaller share of what it reads.
"""

from __future__ import annotations

import random
import threading
import time
import uuid
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from fakes._machines_fleet import HALLS, MachinesRouter, eventually
from fakes.tests.test_prepared_machines import MachinesCase

#: New connections a second, usually and while most come to one router, and seconds of each.
USUAL_RATE, SKEWED_RATE, SECONDS = 30, 60, 3.0
#: Share of the new connections that come to one router.
SKEWED_SHARE = 0.95
#: Least share of requests served at the first attempt, as a part of the share before.
MIN_PART = 0.75
OK = 200


class SkewedConnectionsTest(MachinesCase):
    def setUp(self) -> None:
        self.fleet.add_router(HALLS[0])
        eventually(lambda: all(each.is_ready() for each in self.fleet.machine_routers))
        eventually(lambda: all(self.is_served(each) for each in self.fleet.machine_routers))

    def served_share(self, rate: int, weights: Sequence[float]) -> float:
        """Send requests over new connections at a rate; return the share that was served."""
        rng, statuses, lock = random.Random(1), [], threading.Lock()

        def send(router: MachinesRouter) -> None:
            try:
                status = self.send_request(router, "/notes/a", uuid.uuid4().bytes).status
            except OSError:
                status = 0
            with lock:
                statuses.append(status)

        with ThreadPoolExecutor(rate) as pool:
            for _ in range(round(rate * SECONDS)):
                pool.submit(send, rng.choices(self.fleet.machine_routers, weights)[0])
                time.sleep(1 / rate)
        return statuses.count(OK) / len(statuses)

    def test_a_router_that_most_new_connections_come_to_serves_what_it_reads(self) -> None:
        routers = len(self.fleet.machine_routers)
        before = self.served_share(USUAL_RATE, [1.0] * routers)
        others = (1 - SKEWED_SHARE) / (routers - 1)
        skewed = self.served_share(SKEWED_RATE, [SKEWED_SHARE, *[others] * (routers - 1)])
        self.assertGreaterEqual(skewed, MIN_PART * before)
