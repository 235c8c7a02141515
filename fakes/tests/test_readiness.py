"""A router reports that it is ready only while it accepts new connections."""

from __future__ import annotations

import contextlib
import http.client
import resource
import signal
import socket
from urllib.parse import urlsplit

from fakes._machines_fleet import HALLS, MachinesRouter, eventually
from fakes.tests.test_prepared_machines import MachinesCase

#: File descriptors that the router may open: few, so that the test can exhaust them.
DESCRIPTOR_LIMIT = 150


def address_of(url: str) -> tuple[str, int]:
    parts = urlsplit(url)
    return str(parts.hostname), int(parts.port or 0)


class ReadyRouterTest(MachinesCase):
    def test_a_starting_router_accepts_callers_once_it_is_ready(self) -> None:
        router = self.fleet.add_router(HALLS[0])
        eventually(router.is_ready)
        self.assertTrue(self.is_served(router))

    def test_a_router_that_reloads_its_settings_stays_ready_and_accepts_callers(self) -> None:
        router = self.fleet.machine_routers[1]
        for _ in range(10):
            router.process.send_signal(signal.SIGHUP)
            self.assertTrue(router.is_ready())
            self.assertTrue(self.is_served(router))


class DescriptorLimitTest(MachinesCase):
    def test_a_router_out_of_descriptors_is_not_ready_until_some_are_free(self) -> None:
        router = self.fleet.machine_routers[0]
        limits = resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE)
        balancer = http.client.HTTPConnection(*address_of(router.readiness_url))
        self.addCleanup(balancer.close)
        # The balancer may use a kept connection, which needs no new descriptor.
        self.assertEqual(self._readiness_status(balancer), 200)
        resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, limits[1]))
        with contextlib.ExitStack() as held:
            for _ in range(DESCRIPTOR_LIMIT):
                held.enter_context(socket.create_connection(address_of(router.caller_url)))
            eventually(lambda: not self._accepts_callers(router), 5)
            self.assertEqual(self._readiness_status(balancer), 503)
        eventually(lambda: self._readiness_status(balancer) == 200, 10)
        self.assertTrue(self._accepts_callers(router))

    def _readiness_status(self, balancer: http.client.HTTPConnection) -> int:
        balancer.request("GET", "/readyz")
        with balancer.getresponse() as answer:
            answer.read()
            return answer.status

    def _accepts_callers(self, router: MachinesRouter) -> bool:
        try:
            return self.is_served(router)
        except OSError:
            return False
