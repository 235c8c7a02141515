"""Callers that reset their connections while a router does not read from them."""

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
#: Far more than the buffers between a caller and a service that reads nothing take.
BODY = 256 * MEGABYTE
#: Seconds after a close in which a router must have given the request up.
GONE_SECONDS = 0.5
#: Seconds without progress after which a body counts as stuck.
STUCK_SECONDS = 0.2


class UnreadCallerTest(FleetCase):
    HALLS = ("recife-1",)
    ENGINES = 1

    def in_flight(self) -> int:
        number: int = self.fleet.routers[0].state()["requests_in_flight"]
        return number

    def stuck_caller(self) -> socket.socket:
        """Return a caller whose body goes no further, since its service stands still."""
        os.kill(self.portal.process.pid, signal.SIGSTOP)
        self.addCleanup(os.kill, self.portal.process.pid, signal.SIGCONT)
        port = int(self.fleet.routers[0].callers.rsplit(":", 1)[1])
        caller = socket.create_connection((HOST, port), timeout=STUCK_SECONDS)
        self.addCleanup(caller.close)
        head = f"POST /proofs/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        caller.sendall(f"{head}Content-Length: {BODY}\r\n\r\n".encode())
        part = b"x" * MEGABYTE
        with self.assertRaises(TimeoutError):
            for _ in range(BODY // MEGABYTE):
                caller.sendall(part)
        return caller

    def test_its_request_is_given_up_at_once(self) -> None:
        caller = self.stuck_caller()
        self.assertEqual(self.in_flight(), 1)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.close()
        began = time.monotonic()
        self.eventually(lambda: self.in_flight() == 0, seconds=5.0)
        self.assertLess(time.monotonic() - began, GONE_SECONDS)


if __name__ == "__main__":
    unittest.main()
