"""Callers that reset their connection while the router does not read from it."""

from __future__ import annotations

import os
import signal
import socket
import struct
import time
import unittest

from fakes._local_fleet import HOST
from fakes.tests._fleet_case import KEY, FleetCase

MEGABYTE = 1024 * 1024
#: Far more than the buffers between a caller and a service that reads nothing can hold.
BODY_BYTES = 256 * MEGABYTE
#: Seconds after the reset within which the router must have ended the request.
RELEASE_SECONDS = 0.5
#: Seconds without progress after which a body counts as stuck.
STUCK_SECONDS = 0.2


class CallerResetTest(FleetCase):
    HALLS = ("recife-1",)
    ENGINES = 1

    def in_flight(self) -> int:
        number: int = self.fleet.routers[0].state()["requests_in_flight"]
        return number

    def stuck_caller(self) -> socket.socket:
        """Return a caller whose body is stuck because the service is frozen."""
        os.kill(self.portal.process.pid, signal.SIGSTOP)
        self.addCleanup(os.kill, self.portal.process.pid, signal.SIGCONT)
        port = int(self.fleet.routers[0].callers.rsplit(":", 1)[1])
        caller = socket.create_connection((HOST, port), timeout=STUCK_SECONDS)
        self.addCleanup(caller.close)
        head = f"POST /proofs/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        caller.sendall(f"{head}Content-Length: {BODY_BYTES}\r\n\r\n".encode())
        chunk = b"x" * MEGABYTE
        with self.assertRaises(TimeoutError):
            for _ in range(BODY_BYTES // MEGABYTE):
                caller.sendall(chunk)
        return caller

    def test_a_reset_ends_a_request_whose_body_is_stuck(self) -> None:
        caller = self.stuck_caller()
        self.assertEqual(self.in_flight(), 1)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.close()
        started = time.monotonic()
        self.eventually(lambda: self.in_flight() == 0, seconds=5.0)
        self.assertLess(time.monotonic() - started, RELEASE_SECONDS)


if __name__ == "__main__":
    unittest.main()
