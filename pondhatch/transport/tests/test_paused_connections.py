"""Guards against a kept connection that nobody reads, after the reader of an answer was slow.

The next request on such a connection runs at its engine, and its answer is never read.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any

from msgspec.structs import replace
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from fakes._virtual_loop import run_virtually
from pondhatch.limits import HeldBytes
from pondhatch.requests import (
    AnswerLost,
    AnswerStarted,
    CallerGone,
    RelayedRequest,
    RelaySide,
)
from pondhatch.requests._crash_guard import NoCrashGuard
from pondhatch.transport import RelayService, StoreCalls
from pondhatch.transport._http_client import HttpClient
from pondhatch.transport._parts import HIGH_WATER
from pondhatch.transport._relay_wire import RelayedPart
from pondhatch.transport.tests.test_header_bytes import Reactor
from pondhatch.transport.tests.test_held_bytes import HeldTest, SlowTransport
from pondhatch.transport.tests.test_http_client import COMPLETE_RESPONSE
from pondhatch.transport.tests.test_relay_calls import Engine
from pondhatch.transport.tests.test_surplus_answers import HEAD, KEPT, PLATFORM, TARGET, Rig

#: Bytes that twisted reads from a socket at a time.
READ_BYTES = 2**16
#: An answer's first part, which its reader gets at once, and the rest, of which the last read
#: exceeds what a pipe buffers before it pauses its source.
FIRST, REST = b"f" * 1000, b"r" * (HIGH_WATER + READ_BYTES // 2)
#: Seconds until the deadline of a request that expires, and the timeout of a call to the store:
#: twice as long is less than a connection may be idle for a request that may run once.
DEADLINE_SECONDS = 0.1


def large_head(name: str, size: int) -> bytes:
    """Return the head of a large answer to a request."""
    lines = (b"HTTP/1.1 200 OK", b"Attempt-Id: " + name.encode(), KEPT)
    return b"\r\n".join((*lines, b"Content-Length: %d" % size, b"", b""))


class EngineSocket:
    """What the other side writes to the first connection, which is read unless it is paused."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        #: Bytes that were not read.
        self.unread = b""

    def write(self, data: bytes) -> None:
        self.unread += data
        self.let_read()

    def let_read(self) -> None:
        """Have the connection read all that was written, as long as it does not pause."""
        while self.unread and not self.is_paused() and self._reactor.left_open():
            data, self.unread = self.unread[:READ_BYTES], self.unread[READ_BYTES:]
            self._reactor.connections[0].dataReceived(data)

    def is_paused(self) -> bool:
        return bool(self._reactor.transports[0].producerState == "paused")


class SlowSink:
    """A caller that takes a part, and the next one only once it goes on, if it has not left."""

    def __init__(self) -> None:
        self.content = b""
        self.goes_on = asyncio.Event()
        self.has_left = False

    def write(self, part: bytes) -> bool:
        self.content += part
        return False

    async def ready(self) -> None:
        await self.goes_on.wait()
        if self.has_left:
            raise CallerGone("the caller closed its connection")


async def settle() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


async def read_answer(started: AnswerStarted, sink: SlowSink) -> None:
    """Read an answer as a delivery does."""
    try:
        await started.answer.stream_to(sink)
    finally:
        started.answer.cancel()


class PausedCase(unittest.TestCase):
    """Runs cases on a virtual clock, over one connection to an engine."""

    def setUp(self) -> None:
        self.rig = Rig(PLATFORM)
        self.socket = EngineSocket(self.rig.reactor)

    def run_case(self, case: Coroutine[Any, Any, None]) -> None:
        run_virtually(case)

    async def start_answer(
        self, name: str = "a", rest: int = len(REST), **changes: Any
    ) -> AnswerStarted:
        """Begin a request whose answer has begun with its first part."""
        sending = await self.rig.begin(name, **changes)
        self.socket.write(large_head(name, len(FIRST) + rest) + FIRST)
        started = await sending
        assert isinstance(started, AnswerStarted)
        return started

    async def pause_at_end(
        self, sink: SlowSink, name: str = "a", **changes: Any
    ) -> asyncio.Task[None]:
        """Have an answer end while its reader is slow; return the task that reads it."""
        started = await self.start_answer(name, **changes)
        reading = asyncio.ensure_future(read_answer(started, sink))
        await settle()
        self.socket.write(REST)
        self.assertEqual((sink.content, self.socket.unread), (FIRST, b""))
        return reading

    async def assert_next_is_answered(self, name: str = "b") -> None:
        """Check that the next request uses the connection and that its answer is read."""
        sending = await self.rig.begin(name)
        self.assertEqual(len(self.rig.reactor.connections), 1, "a new connection was opened")
        self.socket.write(PLATFORM.answer(b"200 OK", name))
        await settle()
        self.assertTrue(sending.done(), "nobody reads the answer")
        self.assertEqual(await self.rig.answered(sending), (200, b"ok"))


class LeavingReaderTest(PausedCase):
    # Guards against a connection that is kept unread after its reader was cancelled.
    def test_a_reader_that_is_cancelled_leaves_a_connection_that_is_read(self) -> None:
        async def case() -> None:
            reading = await self.pause_at_end(SlowSink())
            reading.cancel()
            await asyncio.wait([reading])
            await self.assert_next_is_answered()

        self.run_case(case())

    # Guards against a connection that is kept unread after the caller's sink raised.
    def test_a_reader_whose_sink_raises_leaves_a_connection_that_is_read(self) -> None:
        async def case() -> None:
            sink = SlowSink()
            reading = await self.pause_at_end(sink)
            sink.has_left = True
            sink.goes_on.set()
            with self.assertRaises(CallerGone):
                await reading
            await self.assert_next_is_answered()

        self.run_case(case())

    # Guards against a connection that is kept unread after an answer that another one replaced.
    def test_an_answer_that_nobody_reads_leaves_a_connection_that_is_read(self) -> None:
        async def case() -> None:
            started = await self.start_answer(rest=HIGH_WATER)
            self.socket.write(REST[:HIGH_WATER])
            self.assertEqual(self.socket.unread, b"")
            started.answer.cancel()
            await self.assert_next_is_answered()

        self.run_case(case())

    # Guards against a connection that is kept unread after a deadline that expired meanwhile.
    def test_a_deadline_that_expires_leaves_a_connection_that_is_read(self) -> None:
        async def case() -> None:
            await self.pause_at_end(SlowSink(), deadline=DEADLINE_SECONDS)
            await asyncio.sleep(2 * DEADLINE_SECONDS)
            await self.assert_next_is_answered()

        self.run_case(case())

    # Guards against a connection that is kept unread after an earlier request's answer was skipped.
    def test_a_skipped_answer_before_it_leaves_a_connection_that_is_read(self) -> None:
        async def case() -> None:
            await self.rig.use_connection(PLATFORM.answer(b"200 OK", "z"), "z")
            sending = await self.rig.begin("a")
            size = len(FIRST + REST)
            self.socket.write(large_head("z", size) + FIRST + REST)
            self.assertEqual((sending.done(), self.socket.is_paused()), (False, False))
            self.socket.write(large_head("a", size) + FIRST)
            started = await sending
            assert isinstance(started, AnswerStarted)
            reading = asyncio.ensure_future(read_answer(started, SlowSink()))
            await settle()
            self.socket.write(REST)
            reading.cancel()
            await asyncio.wait([reading])
            await self.assert_next_is_answered()

        self.run_case(case())


class BrokenOffTest(PausedCase):
    """An answer that is not complete: its connection is not kept, read or not."""

    async def assert_not_kept(self) -> None:
        self.assertEqual(self.rig.open_connections(), 0)
        await self.rig.begin("b")
        self.assertEqual(len(self.rig.reactor.connections), 2)

    # Guards against a paused connection in the pool after its reader left midway.
    def test_a_reader_that_leaves_midway_closes_the_connection(self) -> None:
        async def case() -> None:
            reading = asyncio.ensure_future(read_answer(await self.start_answer(), SlowSink()))
            await settle()
            self.socket.write(REST[:-1])
            self.assertTrue(self.socket.is_paused())
            reading.cancel()
            await asyncio.wait([reading])
            await self.assert_not_kept()

        self.run_case(case())

    # Guards against a paused connection in the pool after a deadline expired midway.
    def test_a_deadline_that_expires_midway_closes_the_connection(self) -> None:
        async def case() -> None:
            started = await self.start_answer(deadline=DEADLINE_SECONDS)
            sink = SlowSink()
            reading = asyncio.ensure_future(read_answer(started, sink))
            await settle()
            self.socket.write(REST[:-1])
            await asyncio.sleep(2 * DEADLINE_SECONDS)
            sink.goes_on.set()
            with self.assertRaises(AnswerLost):
                await reading
            await self.assert_not_kept()

        self.run_case(case())

    # Guards against a paused connection in the pool after the pipe's source failed.
    def test_a_connection_that_is_lost_midway_is_not_kept(self) -> None:
        async def case() -> None:
            sink = SlowSink()
            reading = asyncio.ensure_future(read_answer(await self.start_answer(), sink))
            await settle()
            self.socket.write(REST[:-1])
            self.rig.reactor.connections[0].connectionLost(Failure(ConnectionLost()))
            sink.goes_on.set()
            with self.assertRaises(AnswerLost):
                await reading
            await self.assert_not_kept()

        self.run_case(case())


class SlowReaderTest(PausedCase):
    # Guards against a request that waits for the slow reader of the answer before it.
    def test_a_request_does_not_wait_for_the_slow_reader_before_it(self) -> None:
        async def case() -> None:
            sink = SlowSink()
            reading = await self.pause_at_end(sink)
            await self.assert_next_is_answered()
            sink.goes_on.set()
            await reading
            self.assertEqual(sink.content, FIRST + REST)

        self.run_case(case())

    # Guards against answers buffered without bound: a reader that goes on must not have the
    # connection read on for the slow reader of the next answer.
    def test_a_reader_that_goes_on_does_not_resume_the_next_answer(self) -> None:
        async def case() -> None:
            first, second = SlowSink(), SlowSink()
            reading = await self.pause_at_end(first)
            started = await self.start_answer("b")
            reading_next = asyncio.ensure_future(read_answer(started, second))
            await settle()
            self.socket.write(REST[:-1])
            self.assertTrue(self.socket.is_paused())
            first.goes_on.set()
            await reading
            self.assertTrue(self.socket.is_paused())
            second.goes_on.set()
            await settle()
            self.socket.write(REST[-1:])
            await reading_next
            self.assertEqual((first.content, second.content), (FIRST + REST, FIRST + REST))
            await self.assert_next_is_answered("c")

        self.run_case(case())


class RelayingRouterTest(PausedCase):
    # Guards against a relaying router's connection that is kept unread after its peer left.
    def test_a_peer_that_leaves_leaves_a_connection_that_is_read(self) -> None:
        async def case() -> None:
            view: Any = Engine()
            view.target = lambda engine: TARGET
            ended: list[Any] = []
            side = RelaySide(view, self.rig.upstreams, NoCrashGuard(), HeldBytes(), ended.append)
            head = replace(HEAD, request_id="a", caller_id="a", headers=PLATFORM.headers)
            stream: Any = PeerStream(RelayedRequest("edge-0", TARGET.name, head, b"x"))
            relaying = asyncio.ensure_future(RelayService(side)._relay(stream))
            await settle()
            self.socket.write(large_head("a", len(FIRST + REST)) + FIRST)
            await settle()
            self.assertTrue(stream.is_stuck)
            self.socket.write(REST)
            relaying.cancel()
            await asyncio.wait([relaying])
            self.assertEqual([each.outcome for each in ended], ["cancelled"])
            await self.assert_next_is_answered()

        self.run_case(case())


class PeerStream:
    """A peer's call to relay a request, which reads the answer's head and no part of it."""

    def __init__(self, request: RelayedRequest) -> None:
        self.is_stuck = False
        self._request = request

    async def recv_message(self) -> RelayedRequest:
        return self._request

    async def send_message(self, message: Any) -> None:
        if isinstance(message, RelayedPart):
            self.is_stuck = True
            await asyncio.Event().wait()


class StoreCallTest(PausedCase):
    # Guards against a connection to the store that is kept unread after its call was cancelled.
    def test_a_call_that_is_cancelled_leaves_a_connection_that_is_read(self) -> None:
        self.run_case(self.check_next_call(is_cancelled=True))

    def test_a_large_answer_leaves_a_connection_that_is_read(self) -> None:
        self.run_case(self.check_next_call(is_cancelled=False))

    async def check_next_call(self, is_cancelled: bool) -> None:
        reactor = Reactor()
        calls = StoreCalls(HttpClient(reactor), "http://127.0.0.1:1")
        call = asyncio.ensure_future(calls.call("GET", "/a", seconds=DEADLINE_SECONDS))
        await settle()
        socket = EngineSocket(reactor)
        # Read at once, before the call has run again.
        socket.write(large_head("", len(REST)) + REST)
        if is_cancelled:
            call.cancel()
        await asyncio.wait([call])
        self.assertEqual(call.cancelled(), is_cancelled)
        again = asyncio.ensure_future(calls.call("GET", "/a", seconds=DEADLINE_SECONDS))
        await settle()
        socket.write(COMPLETE_RESPONSE)
        self.assertEqual(((await again).content, len(reactor.connections)), (b"hello", 1))


class GoneCallerTest(HeldTest):
    # Guards against a connection that is kept unread after the caller of a large answer left.
    async def test_a_caller_that_leaves_leaves_a_connection_that_is_read(self) -> None:
        await self.check_caller_that_leaves(len(REST))

    # Guards against the same for an account that is slowed: its sources pause at the first byte
    # that waits.
    async def test_so_does_a_caller_of_an_account_that_is_slowed(self) -> None:
        self.held.bound = 1
        await self.check_caller_that_leaves(1)

    async def check_caller_that_leaves(self, size: int) -> None:
        """Have a caller leave while so many bytes of its complete answer wait for it."""
        # One engine, so that the next request goes there.
        self.state.upstreams.remove("i-3", 100)
        self.state.invalidate_upstream_caches()
        socket = EngineSocket(self.reactor)
        # With the head, more than the caller's transport buffers before it is slow.
        first = b"f" * READ_BYTES
        staying, self.channel = self.channel, self.channel.site.buildProtocol(None)
        self.channel.callLater = self.clock.callLater
        self.channel.makeConnection(SlowTransport())
        await self.send(b"GET /x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\n\r\n")
        socket.write(large_head("a", len(first) + size))
        await self.settle()
        socket.write(first)
        await self.settle()
        socket.write(b"r" * size)
        self.assertEqual(socket.unread, b"")
        await self.lose(self.channel)
        self.channel = staying
        await self.send(b"GET /x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: b\r\n\r\n")
        self.assertEqual(len(self.reactor.connections), 1, "a new connection was opened")
        socket.write(PLATFORM.answer(b"200 OK", "b"))
        await self.settle()
        response = self.written()
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertTrue(response.endswith(b"\r\n\r\nok"), response)
