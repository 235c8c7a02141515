from __future__ import annotations

import asyncio
import unittest
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pondhatch.requests import AwaitedRequest, CallerGone, ReplayableBody
from pondhatch.transport._connection_broken import ConnectionBroken
from pondhatch.transport._exchange import Exchange
from pondhatch.transport._head_verdict import TRUSTING_JUDGE, AnswerJudge, HeadVerdict
from pondhatch.transport._http_connection import Connection
from pondhatch.transport._http_heads import Request
from pondhatch.transport._reading_turns import ReadingTurns
from pondhatch.transport._use_times import IDLE_SECONDS, STATED_IDLE_SHARE

GET = Request("GET", "/things", (("Host", "upstream"),))
POST = Request("POST", "/things", (("Host", "upstream"),))
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


class Handle:
    def __init__(self, peeked: bytes | None = None) -> None:
        self._peeked = peeked

    def setsockopt(self, *_: int) -> None:
        return None

    def recv(self, *_: int) -> bytes:
        """Return what waits in the socket's buffer."""
        if self._peeked is None:
            raise BlockingIOError
        return self._peeked


class Transport(StringTransport):
    """Records what is written, and whether the connection was aborted."""

    aborted = False
    #: What waits in the socket's buffer; b"" for the end of the connection, None for nothing.
    peeked: bytes | None = None

    def getHandle(self) -> Handle:
        return Handle(self.peeked)

    def abortConnection(self) -> None:
        self.aborted = True


class UnprovenJudge:
    """Finds that nobody can tell whose an answer is; see AnswerJudge."""

    awaited: AwaitedRequest | None = None

    def judge(self, *_: Any) -> HeadVerdict:
        return HeadVerdict.UNPROVEN


UNPROVEN_JUDGE = UnprovenJudge()


class Wire:
    """A connection on a fake transport, which records when the connection is kept for reuse."""

    def __init__(self, may_reuse: bool = True) -> None:
        self.transport = Transport()  # type: ignore[no-untyped-call]
        self.connection = Connection(lambda _: None, ReadingTurns())
        self.connection.makeConnection(self.transport)  # type: ignore[no-untyped-call]
        self.kept: list[Connection] = []
        self._judge: AnswerJudge = TRUSTING_JUDGE if may_reuse else UNPROVEN_JUDGE

    def begin(self, request: Request = GET, body: Any = None) -> Exchange:
        exchange = Exchange(self.connection, self.kept.append, self._judge)
        exchange.send(request, body or ReplayableBody(b""))
        return exchange

    def lose(self, reason: Exception) -> None:
        self.connection.connectionLost(Failure(reason))


async def read_content(exchange: Exchange) -> bytes:
    parts = []
    while part := await exchange.pipe.read():
        parts.append(part)
    return b"".join(parts)


class CompleteAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_complete_answer_is_read_and_its_connection_kept(self) -> None:
        chunked = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
        )
        for raw in (COMPLETE_RESPONSE, chunked):
            for size in (1, 7, 1000):
                with self.subTest(raw=raw, size=size):
                    wire = Wire()
                    exchange = wire.begin()
                    for offset in range(0, len(raw), size):
                        wire.connection.dataReceived(raw[offset : offset + size])
                    self.assertEqual((await exchange.head).status, 200)
                    self.assertEqual(await read_content(exchange), b"hello")
                    self.assertEqual(wire.kept, [wire.connection])

    async def test_a_connection_carries_two_exchanges_in_turn(self) -> None:
        wire = Wire()
        for _ in range(2):
            exchange = wire.begin()
            wire.connection.dataReceived(COMPLETE_RESPONSE)
            self.assertEqual(await read_content(exchange), b"hello")
        self.assertEqual(wire.kept, [wire.connection] * 2)

    async def test_an_answer_without_length_is_complete_only_after_an_orderly_close(self) -> None:
        raw = b"HTTP/1.1 200 OK\r\n\r\nhello"
        wire = Wire()
        exchange = wire.begin()
        wire.connection.dataReceived(raw)
        wire.lose(ConnectionDone())
        self.assertEqual(await read_content(exchange), b"hello")
        self.assertEqual(wire.kept, [])
        wire = Wire()
        exchange = wire.begin()
        wire.connection.dataReceived(raw)
        wire.lose(ConnectionLost())
        with self.assertRaises(ConnectionBroken):
            await read_content(exchange)

    async def test_the_stated_idle_time_bounds_the_reuse_of_a_connection(self) -> None:
        stated = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=4, max=9\r\nContent-Length: 0\r\n\r\n"
        silent = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        for raw, seconds, has_stated in (
            (stated, 4 * STATED_IDLE_SHARE, True),
            (silent, IDLE_SECONDS, False),
        ):
            with self.subTest(raw=raw):
                wire = Wire()
                wire.begin()
                wire.connection.dataReceived(raw)
                left = wire.connection.usable_until - asyncio.get_running_loop().time()
                self.assertAlmostEqual(left, seconds, delta=0.5)
                self.assertEqual(wire.connection.has_stated_idle, has_stated)


class UnusableConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_truncated_answer_is_never_complete(self) -> None:
        starts = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n9\r\nlo",
        )
        for raw in starts:
            for reason in (ConnectionDone(), ConnectionLost()):
                with self.subTest(raw=raw, reason=reason):
                    wire = Wire()
                    exchange = wire.begin()
                    wire.connection.dataReceived(raw)
                    wire.lose(reason)
                    with self.assertRaises(ConnectionBroken):
                        await read_content(exchange)

    async def test_a_malformed_response_closes_the_connection(self) -> None:
        wire = Wire()
        exchange = wire.begin()
        wire.connection.dataReceived(b"\x00\x01 no answer\r\n\r\n")
        with self.assertRaises(ConnectionBroken):
            await exchange.head
        self.assertTrue(wire.transport.aborted)

    async def test_surplus_bytes_close_the_connection(self) -> None:
        wire = Wire()
        exchange = wire.begin()
        wire.connection.dataReceived(COMPLETE_RESPONSE + COMPLETE_RESPONSE)
        self.assertEqual(await read_content(exchange), b"hello")
        self.assertEqual(wire.kept, [])
        self.assertTrue(wire.transport.aborted)

    async def test_an_answer_that_goes_on_after_its_stated_length_is_broken(self) -> None:
        no_content = b"HTTP/1.1 204 No Content\r\n\r\n"
        for raw in (
            *(COMPLETE_RESPONSE + more for more in (b"x", b"\r\n", b"HTTQ", b"5\r\nhello")),
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nhello",
            no_content + b"hello",
        ):
            with self.subTest(raw):
                wire = Wire()
                exchange = wire.begin(POST)
                wire.connection.dataReceived(raw)
                with self.assertRaises(ConnectionBroken):
                    await read_content(exchange)
                self.assertTrue(wire.transport.aborted)
                self.assertEqual(wire.kept, [])

    async def test_the_last_part_of_an_answer_that_goes_on_is_not_passed_on(self) -> None:
        wire = Wire()
        exchange = wire.begin(POST)
        wire.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel")
        self.assertEqual(await exchange.pipe.read(), b"hel")
        wire.connection.dataReceived(b"lo and more")
        with self.assertRaises(ConnectionBroken):
            await exchange.pipe.read()

    async def test_an_answer_whose_rest_waits_in_the_socket_is_broken(self) -> None:
        for unread, is_broken in ((b"more", True), (b"HTTP/1.1 200", False), (b"", False)):
            with self.subTest(unread):
                wire = Wire()
                wire.transport.peeked = unread
                exchange = wire.begin(POST)
                wire.connection.dataReceived(COMPLETE_RESPONSE)
                if is_broken:
                    with self.assertRaises(ConnectionBroken):
                        await read_content(exchange)
                else:
                    self.assertEqual(await read_content(exchange), b"hello")

    async def test_an_answer_whose_end_was_told_otherwise_is_complete(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
        for request, raw, body in (
            (POST, chunked + b"more", b"hello"),
            (Request("HEAD", "/", GET.headers), COMPLETE_RESPONSE, b""),
        ):
            with self.subTest(raw):
                wire = Wire()
                exchange = wire.begin(request)
                wire.connection.dataReceived(raw)
                self.assertEqual(await read_content(exchange), body)
                self.assertEqual(wire.kept, [])

    async def test_bytes_on_an_idle_connection_close_it(self) -> None:
        wire = Wire()
        wire.begin()
        wire.connection.dataReceived(COMPLETE_RESPONSE)
        wire.connection.dataReceived(b"HTTP")
        self.assertTrue(wire.transport.aborted)
        self.assertFalse(wire.connection.is_open)

    async def test_a_connection_that_says_close_is_not_kept(self) -> None:
        wire = Wire()
        wire.begin()
        wire.connection.dataReceived(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(wire.kept, [])

    async def test_a_connection_that_may_not_be_reused_is_closed(self) -> None:
        wire = Wire(may_reuse=False)
        wire.begin()
        wire.connection.dataReceived(COMPLETE_RESPONSE)
        self.assertEqual(wire.kept, [])
        self.assertTrue(wire.transport.aborted)

    async def test_a_late_cancel_does_not_close_the_connection_of_a_complete_answer(self) -> None:
        wire = Wire()
        exchange = wire.begin()
        wire.connection.dataReceived(COMPLETE_RESPONSE)
        exchange.cancel()
        self.assertFalse(wire.transport.aborted)


class BodyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_body_of_known_length_is_not_read_beyond_it(self) -> None:
        wire = Wire()
        wire.begin(POST, Body())
        await asyncio.sleep(0)
        written: bytes = wire.transport.value()  # type: ignore[no-untyped-call]
        self.assertTrue(written.endswith(b"Content-Length: 6\r\n\r\nabcabc"))

    async def test_losing_the_sender_fails_the_exchange_and_aborts_the_connection(self) -> None:
        wire = Wire()
        exchange = wire.begin(POST, LostSenderBody())
        with self.assertRaises(CallerGone):
            await exchange.head
        self.assertTrue(wire.transport.aborted)

    async def test_cancelling_stops_reading_the_body(self) -> None:
        wire = Wire()
        body = StalledBody()
        exchange = wire.begin(POST, body)
        await asyncio.sleep(0)
        exchange.cancel()
        await asyncio.sleep(0)
        self.assertTrue(body.cancelled)

    async def test_an_answer_before_the_end_of_the_body_closes_the_connection(self) -> None:
        wire = Wire()
        body = StalledBody()
        exchange = wire.begin(POST, body)
        await asyncio.sleep(0)
        wire.connection.dataReceived(COMPLETE_RESPONSE)
        self.assertEqual(await read_content(exchange), b"hello")
        await asyncio.sleep(0)
        self.assertTrue(body.cancelled)
        self.assertEqual(wire.kept, [])
        self.assertTrue(wire.transport.aborted)

    async def test_a_slow_upstream_pauses_reading_the_body(self) -> None:
        wire = Wire()
        body = EndlessBody()
        wire.begin(POST, body)
        wire.connection.pauseProducing()
        for _ in range(5):
            await asyncio.sleep(0)
        before = body.reads
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(body.reads, before)
        wire.connection.resumeProducing()
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertGreater(body.reads, before)


class Body:
    """A body that must not be read beyond its length."""

    length: int | None = 6

    def __init__(self) -> None:
        self.reads = 0

    async def read(self) -> bytes:
        self.reads += 1
        if self.reads > 2:
            raise AssertionError("read beyond the end of the body")
        return b"abc"


class EndlessBody:
    """A body that never ends."""

    length: int | None = None

    def __init__(self) -> None:
        self.reads = 0

    async def read(self) -> bytes:
        self.reads += 1
        await asyncio.sleep(0)
        return b"x"


class StalledBody:
    """A body whose sender stalls."""

    length: int | None = 6

    def __init__(self) -> None:
        self.cancelled = False

    async def read(self) -> bytes:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        return b""


class LostSenderBody:
    """A body whose sender disconnects."""

    length: int | None = 6

    async def read(self) -> bytes:
        raise CallerGone("gone")
