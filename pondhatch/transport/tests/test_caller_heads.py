"""Guards the size limits of request heads: only those of the configuration in force apply."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.web.resource import Resource

from pondhatch.configuration import CallerLimits
from pondhatch.transport._caller_channel import LINGER_SECONDS, CallerSite
from pondhatch.transport.tests.test_routed_callers import Transport

#: Twisted's own limit on a line and on a head, in bytes.
TWISTED_DEFAULT_BYTES = 16384
#: Twisted's own limit on the number of headers.
TWISTED_DEFAULT_HEADERS = 500
CONFIGURED_BYTES = 4 * TWISTED_DEFAULT_BYTES


class Echo(Resource):
    """Answers with the total size of the header values received."""

    isLeaf = True

    def render(self, request: Any) -> bytes:
        sizes = [
            len(value)
            for _, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        ]
        return str(sum(sizes)).encode()


class CallerHeadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = CallerLimits(header_bytes=CONFIGURED_BYTES)
        self.clock = Clock()
        echo: Any = Echo()  # type: ignore[no-untyped-call]
        site: Any = CallerSite(echo, lambda: self.limits)
        self.channel: Any = site.buildProtocol(IPv4Address("TCP", "10.9.9.9", 4000))
        self.channel.callLater = self.clock.callLater
        self.transport = Transport()  # type: ignore[no-untyped-call]
        self.channel.makeConnection(self.transport)

    def send(self, *headers: str, part: int = CONFIGURED_BYTES) -> bytes:
        """Send a request in parts; return the response."""
        raw = "\r\n".join(("GET /x HTTP/1.1", "Host: desk.example", *headers, "", "")).encode()
        for offset in range(0, len(raw), part):
            self.channel.dataReceived(raw[offset : offset + part])
        self.clock.advance(0)
        response: bytes = self.transport.value()  # type: ignore[no-untyped-call]
        self.transport.clear()  # type: ignore[no-untyped-call]
        return response

    def assert_served(self, response: bytes) -> None:
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertFalse(self.transport.disconnecting)

    def assert_refused(self, response: bytes) -> None:
        self.assertTrue(response.startswith(b"HTTP/1.1 431"), response)
        self.assertEqual(response.count(b"HTTP/1.1"), 1, response)
        self.assertIn(b"Connection: close", response)
        self.clock.advance(LINGER_SECONDS)
        self.assertTrue(self.transport.disconnecting)

    def test_one_long_line_within_the_limit_is_accepted(self) -> None:
        for part in (CONFIGURED_BYTES, 1000):
            with self.subTest(part=part):
                long = "X-Long: " + "a" * (CONFIGURED_BYTES - 1000)
                self.assert_served(self.send(long, part=part))

    def test_many_headers_within_the_limit_are_accepted(self) -> None:
        many = [f"X-{index}: 1" for index in range(TWISTED_DEFAULT_HEADERS + 100)]
        self.assert_served(self.send(*many))

    def test_a_head_beyond_the_limit_is_refused_with_one_response(self) -> None:
        long = "X-Long: " + "a" * CONFIGURED_BYTES
        many = [f"X-{index}: {'a' * 1000}" for index in range(CONFIGURED_BYTES // 1000 + 1)]
        for headers in ([long], many):
            for part in (2 * CONFIGURED_BYTES, 1000):
                with self.subTest(headers=len(headers), part=part):
                    self.setUp()
                    self.assert_refused(self.send(*headers, part=part))

    def test_a_reused_connection_follows_the_limit_in_force(self) -> None:
        long = "X-Long: " + "a" * CONFIGURED_BYTES
        self.assert_served(self.send())
        self.limits = CallerLimits(header_bytes=2 * CONFIGURED_BYTES)
        self.assert_served(self.send(long))
        self.limits = CallerLimits(header_bytes=1024)
        self.assert_refused(self.send(long))

    def test_a_started_head_keeps_the_limit_of_its_first_bytes(self) -> None:
        self.channel.dataReceived(b"GET /x HTTP/1.1\r\nHost: desk.example\r\n")
        self.limits = CallerLimits(header_bytes=1024)
        self.channel.dataReceived(b"X-Long: " + b"a" * 2048 + b"\r\n\r\n")
        self.clock.advance(0)
        response: bytes = self.transport.value()  # type: ignore[no-untyped-call]
        self.assert_served(response)
