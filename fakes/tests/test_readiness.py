"""A router that says it is ready takes new connections."""

from __future__ import annotations

import contextlib
import http.client
import resource
import signal
import socket
from urllib.parse import urlsplit

from fakes._machines_fleet import HALLS, MachinesRouter, eventually
from fakes.tests.test_prepared_machines import MachinesCase

#: Descriptors that the router may open: few, so that a test reaches the limit.
FEW = 150


def address_of(url: str) -> tuple[str, int]:
    parts = urlsplit(url)
    return str(parts.hostname), int(parts.port or 0)


class ReadyMeansTakingTest(MachinesCase):
    def test_a_router_that_starts_takes_callers_as_soon_as_it_is_ready(self) -> None:
        router = self.fleet.add_router(HALLS[0])
        eventually(router.is_ready)
        self.assertTrue(self.served(router))

    def test_a_router_that_reads_its_settings_anew_stays_ready_and_takes_callers(self) -> None:
        router = self.fleet.machines[1]
        for _ in range(10):
            router.process.send_signal(signal.SIGHUP)
            self.assertTrue(router.is_ready())
            self.assertTrue(self.served(router))


class DescriptorLimitTest(MachinesCase):
    def test_a_router_without_descriptors_is_not_ready_until_it_has_some_again(self) -> None:
        router = self.fleet.machines[0]
        limits = resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE)
        asking = http.client.HTTPConnection(*address_of(router.ready))
        self.addCleanup(asking.close)
        # The balancer may ask on a connection that it keeps, for which none is needed.
        self.assertEqual(self._told(asking), 200)
        resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE, (FEW, limits[1]))
        with contextlib.ExitStack() as held:
            for _ in range(FEW):
                held.enter_context(socket.create_connection(address_of(router.clients)))
            eventually(lambda: not self._takes(router), 5)
            self.assertEqual(self._told(asking), 503)
        eventually(lambda: self._told(asking) == 200, 10)
        self.assertTrue(self._takes(router))

    def _told(self, asking: http.client.HTTPConnection) -> int:
        asking.request("GET", "/readyz")
        with asking.getresponse() as answer:
            answer.read()
            return answer.status

    def _takes(self, router: MachinesRouter) -> bool:
        try:
            return self.served(router)
        except OSError:
            return False
