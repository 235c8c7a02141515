"""Guards that headers are forwarded byte for byte, from callers to engines and back."""

from __future__ import annotations

import asyncio
from typing import Any

from twisted.internet.address import IPv4Address

from pondhatch.platform._engines import EngineDialect
from pondhatch.platform.tests._wire import CONFIGURATION
from pondhatch.transport._http_client import HttpClient
from pondhatch.transport._upstreams import HttpUpstreams
from pondhatch.transport.tests import test_http_client as upstream
from pondhatch.transport.tests.test_routed_callers import RoutedCallersTest, put_in_force

#: Valid HTTP header values: UTF-8, bytes that are not UTF-8, a control character that occurs in
#: practice, and an empty value.
VALUES = ("São, 東京".encode(), b"\xe9\xff\x80\xa0", b"a\x01b", b"")


class Reactor:
    """Connects at once, and records what is sent on each connection and how it ends."""

    def __init__(self) -> None:
        self.connections: list[Any] = []
        self.transports: list[upstream.Transport] = []

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        connection = factory.buildProtocol(IPv4Address("TCP", host, port))
        transport = upstream.Transport()  # type: ignore[no-untyped-call]
        self.connections.append(connection)
        self.transports.append(transport)
        connection.makeConnection(transport)

    def sent(self) -> bytes:
        return b"".join(transport.value() for transport in self.transports)  # type: ignore[no-untyped-call]

    def left_open(self) -> int:
        return sum(not transport.aborted for transport in self.transports)


class HttpRoutedTest(RoutedCallersTest):
    """Sends callers' requests to engines over the router's real HTTP client."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.reactor = Reactor()
        http = HttpUpstreams(HttpClient(self.reactor), EngineDialect())
        self.upstreams.send = http.send  # type: ignore[method-assign]

    async def begin(self, line: bytes, *headers: bytes) -> bytes:
        lines = (line, b"Host: desk.example", b"Attempt-Id: 9c41", *headers, b"", b"")
        await self.send(b"\r\n".join(lines))
        return self.written()


class HeaderBytesTest(HttpRoutedTest):
    async def test_caller_headers_reach_the_engine_unchanged(self) -> None:
        for value in VALUES:
            with self.subTest(value=value):
                await self.asyncSetUp()
                response = await self.begin(b"GET /x HTTP/1.1", b"X-Own: " + value)
                self.assertEqual(response, b"")
                self.assertIn(b"\r\nX-Own: " + value + b"\r\n", self.reactor.sent())

    async def test_engine_headers_reach_the_caller_unchanged(self) -> None:
        for value in VALUES:
            with self.subTest(value=value):
                await self.asyncSetUp()
                await self.begin(b"GET /x HTTP/1.1")
                self.reactor.connections[0].dataReceived(
                    b"HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nContent-Length: 2\r\n"
                    b"X-Own: " + value + b"\r\n\r\nok"
                )
                await self.settle()
                response = self.written()
                self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
                self.assertIn(b"\r\nX-Own: " + value + b"\r\n", response)

    async def test_the_account_name_reaches_the_engine_in_utf8(self) -> None:
        for version, name in enumerate(("São", "東京", "pina", " a ")):
            with self.subTest(name=name):
                await self.asyncSetUp()
                accounts = [{"Name": name, "ApiKeys": ["k"]}]
                put_in_force(
                    self.state, {**CONFIGURATION, "Version": 20 + version, "Tenants": accounts}
                )
                await self.begin(b"POST /proofs/a HTTP/1.1", b"Authorization: Bearer k")
                # HTTP strips blanks around a value.
                expected = b"\r\nTenant: " + name.strip().encode() + b"\r\n"
                self.assertIn(expected, self.reactor.sent())

    async def test_an_undecodable_host_has_no_route(self) -> None:
        await self.send(b"GET /x HTTP/1.1\r\nHost: \xff\r\n\r\n")
        await asyncio.sleep(0)
        response = self.written()
        self.assertTrue(response.startswith(b"HTTP/1.1 404"), response)


class KeysTest(HttpRoutedTest):
    async def response_to_key(self, key: str) -> bytes:
        """Return the response to a caller with this API key; empty if an engine got the request."""
        await self.asyncSetUp()
        accounts = [{"Name": "pina", "ApiKeys": [key]}]
        version = self.state.configuration.version + 1
        put_in_force(self.state, {**CONFIGURATION, "Version": version, "Tenants": accounts})
        return await self.begin(
            b"POST /proofs/a HTTP/1.1", b"Authorization: Bearer " + key.encode()
        )

    async def test_a_key_may_hold_any_characters(self) -> None:
        # The last two end in bytes that are blanks in some encodings.
        for key in ("key-1", "kéy", "鍵", "voilà", "k\u0085"):
            with self.subTest(key=key):
                self.assertEqual(await self.response_to_key(key), b"")
                self.assertIn(b"\r\nTenant: pina\r\n", self.reactor.sent())

    async def test_an_undecodable_key_is_unknown(self) -> None:
        response = await self.begin(b"POST /proofs/a HTTP/1.1", b"Authorization: Bearer \xff\xfe")
        self.assertTrue(response.startswith(b"HTTP/1.1 401"), response)
