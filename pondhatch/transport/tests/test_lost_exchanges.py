"""Guards against connections that stay open when a request fails before its answer is returned."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections.abc import Callable, Mapping
from typing import Any

import h11
import msgspec
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from pondhatch.placement import OPEN
from pondhatch.platform._engines import EngineDialect
from pondhatch.platform.tests._wire import CONFIGURATION
from pondhatch.requests import Headers, ReplayableBody, RequestHead, Target
from pondhatch.store import Upstream
from pondhatch.transport._http_client import Address, HttpClient, NotSent
from pondhatch.transport._http_connection import Connection
from pondhatch.transport._http_heads import Request
from pondhatch.transport._upstreams import HttpUpstreams
from pondhatch.transport.tests.test_header_bytes import HttpRoutedTest, Reactor
from pondhatch.transport.tests.test_http_client import COMPLETE_RESPONSE, GET, Wire
from pondhatch.transport.tests.test_routed_callers import put_in_force

ADDRESS = Address("10.0.0.1", 80)
EMPTY_BODY = ReplayableBody(b"")
#: Headers that are invalid in an HTTP/1.1 request.
UNWRITABLE: tuple[Headers, ...] = (
    (("Host", "upstream"), ("X-Own", "a\nb")),
    (("Host", "upstream"), ("X Own", "1")),
    (("Host", "upstream"), ("X-Own", "東京")),
    (),
)
#: Timeout in seconds of calls that must end at once.
DEADLINE_SECONDS = 0.5


class UnwritableTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_cannot_be_written_leaves_no_open_connection(self) -> None:
        for headers in UNWRITABLE:
            with self.subTest(headers=headers):
                reactor = Reactor()
                client = HttpClient(reactor)
                with self.assertRaises((h11.LocalProtocolError, UnicodeEncodeError)):
                    await client.send(ADDRESS, Request("GET", "/", headers), EMPTY_BODY, False)
                self.assertEqual((len(reactor.transports), reactor.left_open()), (1, 0))

    async def test_a_reused_connection_is_closed_too(self) -> None:
        reactor = Reactor()
        client = HttpClient(reactor)
        await client.send(ADDRESS, GET, EMPTY_BODY, True)
        reactor.connections[0].dataReceived(COMPLETE_RESPONSE)
        with self.assertRaises(h11.LocalProtocolError):
            await client.send(ADDRESS, Request("GET", "/", ()), EMPTY_BODY, True)
        self.assertEqual((len(reactor.transports), reactor.left_open()), (1, 0))


class AccountNameTest(HttpRoutedTest):
    async def test_an_account_name_invalid_in_headers_leaves_no_open_connection(self) -> None:
        accounts = [{"Name": "a\nb", "ApiKeys": ["k"]}]
        put_in_force(self.state, {**CONFIGURATION, "Version": 9, "Tenants": accounts})
        response = await self.begin(b"POST /proofs/a HTTP/1.1", b"Authorization: Bearer k")
        self.assertTrue(response.startswith(b"HTTP/1.1 5"), response)
        self.assertEqual((self.reactor.sent(), self.reactor.left_open()), (b"", 0))


class LostOnConnectReactor(Reactor):
    """A reactor whose connections are reset in the turn of the loop that opens them."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        super().connectTCP(host, port, factory, timeout)
        self.connections[-1].connectionLost(Failure(ConnectionLost()))


class FailedSetupReactor(Reactor):
    """A reactor whose connections fail during set-up, reported as twisted does."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        connection = factory.buildProtocol(IPv4Address("TCP", host, port))
        with contextlib.suppress(AttributeError):
            connection.makeConnection(None)
        factory.clientConnectionLost(None, Failure(ConnectionLost()))


class LostBeforeSentTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_lost_while_connecting_raises_not_sent(self) -> None:
        for reactor in (LostOnConnectReactor(), FailedSetupReactor()):
            with self.subTest(reactor=type(reactor).__name__):
                sending = HttpClient(reactor).send(ADDRESS, GET, EMPTY_BODY, False)
                with self.assertRaises(NotSent):
                    await asyncio.wait_for(sending, DEADLINE_SECONDS)


class CancelledExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_received_during_a_cancel_keeps_its_connection(self) -> None:
        wire = Wire()
        exchange = wire.begin()
        exchange.head.cancel()
        wire.connection.dataReceived(COMPLETE_RESPONSE)
        exchange.cancel()
        kept: list[Connection] = [wire.connection]
        self.assertEqual(wire.kept, kept)
        self.assertFalse(wire.transport.aborted)


class FailingDialect(EngineDialect):
    """A dialect that fails while it processes an answer's headers."""

    def answered_id(self, value_by_name: Mapping[str, str]) -> str:
        return ""

    def answer_headers(self, headers: Headers, note: Callable[[str], None]) -> Headers:
        raise RuntimeError("a fault")


class AnswerHeadErrorTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_error_at_an_answers_head_closes_its_connection(self) -> None:
        reactor = Reactor()
        upstreams = HttpUpstreams(HttpClient(reactor), FailingDialect())
        head = msgspec.structs.replace(_HEAD, headers=(("Host", "upstream"),))
        target = Target("i-1", "http://10.0.0.1:80", OPEN, 1.5, 3, 64)
        sending = asyncio.ensure_future(upstreams.send(target, head, EMPTY_BODY))
        await asyncio.sleep(0)
        reactor.connections[0].dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        with self.assertRaises(RuntimeError):
            await sending
        self.assertEqual(reactor.left_open(), 0)


_HEAD = RequestHead(
    request_id="own",
    account="",
    service="portal",
    chat=0,
    method="GET",
    path="/",
    headers=(),
    repeatable=True,
    deadline=2.5,
    priority=3,
)


class MalformedHeadTest(HttpRoutedTest):
    """Heads that twisted accepts but HTTP forbids are refused before an engine is chosen."""

    async def test_malformed_heads_are_refused_with_400(self) -> None:
        rows = (
            (b"GET /x HTTP/1.1", b"X-Own: a\x0bb"),
            (b"GET /x HTTP/1.1", b"X-Own: a\x0cb"),
            (b"GET /x\x7f HTTP/1.1", b"X-Own: 1"),
            (b"GET /x\xa9 HTTP/1.1", b"X-Own: 1"),
        )
        for line, header in rows:
            for more in ((), (b"X-Last: 1",)):
                with self.subTest(line=line, header=header, more=more):
                    await self.asyncSetUp()
                    response = await self.begin(line, header, *more)
                    self.assertTrue(response.startswith(b"HTTP/1.1 400"), response)
                    self.assertEqual(response.count(b"HTTP/1.1"), 1, response)
                    self.assertTrue(self.transport.disconnecting)
                    self.assertEqual(self.reactor.connections, [])


class InvalidAddressTest(HttpRoutedTest):
    """An engine entry without a valid address fails no request that another engine can run."""

    async def test_its_requests_go_to_another_engine(self) -> None:
        for index, url in enumerate(
            ("http://nowhere", "http://10.0.0.9:0", "http://10.0.0.9:70000")
        ):
            for engine in ("i-2", "i-3"):
                with self.subTest(url=url, engine=engine):
                    await self.asyncSetUp()
                    revision = 100 + 10 * index + int(engine[-1])
                    entry = Upstream(engine, "portal", url, "hall-1")
                    self.state.upstreams.set(entry, revision)
                    self.state.invalidate_upstream_caches()
                    response = await self.begin(b"GET /x HTTP/1.1")
                    self.assertEqual(response, b"")
                    self.assertIn(b"GET /x HTTP/1.1", self.reactor.sent())
                    valid_entry = Upstream(engine, "portal", "http://10.0.0.9:80", "hall-1")
                    self.state.upstreams.set(valid_entry, revision + 5)
                    self.state.invalidate_upstream_caches()

    async def test_a_request_is_refused_as_not_run_if_no_engine_has_an_address(self) -> None:
        for engine in ("i-2", "i-3"):
            entry = Upstream(engine, "portal", "http://nowhere", "hall-1")
            self.state.upstreams.set(entry, 100 + int(engine[-1]))
        self.state.invalidate_upstream_caches()
        response = await self.begin(b"GET /x HTTP/1.1")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
