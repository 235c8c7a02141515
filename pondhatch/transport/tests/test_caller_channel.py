from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest
from typing import Any

from twisted.internet.error import ConnectionLost
from twisted.internet.tcp import Connection
from twisted.python.failure import Failure
from twisted.web.test.requesthelper import DummyChannel

from pondhatch.configuration import CallerLimits
from pondhatch.requests import CallerGone
from pondhatch.transport._caller_channel import CallerChannel, CallerRequest
from pondhatch.transport._parts import HIGH_WATER, PartPipe


class CallerRequestTest(unittest.TestCase):
    def test_losing_the_caller_before_the_head_is_complete_raises_nothing(self) -> None:
        request = CallerRequest(DummyChannel(), False)
        request.connectionLost(Failure(ConnectionLost()))


class SlowSink:
    """A sink whose caller stops reading after some bytes, and may leave."""

    def __init__(self, capacity: int = 1_000_000, gone_after: int = 1_000_000) -> None:
        self.received = b""
        self.writable = asyncio.Event()
        self.writable.set()
        self._capacity = capacity
        self._gone_after = gone_after

    def write(self, part: bytes) -> bool:
        if len(self.received) >= self._gone_after:
            raise CallerGone("gone")
        self.received += part
        if len(self.received) > self._capacity:
            self.writable.clear()
        return self.writable.is_set()

    async def ready(self) -> None:
        await self.writable.wait()


class StreamToTest(unittest.IsolatedAsyncioTestCase):
    async def start_streaming(self, pipe: PartPipe, sink: SlowSink) -> asyncio.Task[None]:
        task = asyncio.ensure_future(pipe.stream_to(sink))
        await asyncio.sleep(0)
        return task

    async def test_parts_reach_the_sink_within_the_put_call(self) -> None:
        pipe, sink = PartPipe(), SlowSink()
        pipe.put(b"before ")
        task = await self.start_streaming(pipe, sink)
        pipe.put(b"after")
        self.assertEqual(sink.received, b"before after")
        pipe.end()
        await task

    async def test_a_slow_sink_gets_the_remaining_parts_in_order_once_ready(self) -> None:
        calls: list[str] = []
        pipe = PartPipe(lambda: calls.append("pause"), lambda: calls.append("resume"))
        sink = SlowSink(capacity=2)
        task = await self.start_streaming(pipe, sink)
        for part in (b"abc", b"d", b"e", b"x" * HIGH_WATER):
            pipe.put(part)
        await asyncio.sleep(0)
        self.assertEqual((sink.received, calls), (b"abc", ["pause"]))
        sink._capacity = 10_000_000
        sink.writable.set()
        pipe.end()
        await task
        self.assertEqual(sink.received, b"abcde" + b"x" * HIGH_WATER)
        self.assertEqual(calls, ["pause", "resume"])

    async def test_losing_the_caller_ends_the_stream(self) -> None:
        pipe, sink = PartPipe(), SlowSink(gone_after=1)
        task = await self.start_streaming(pipe, sink)
        pipe.put(b"a")
        pipe.put(b"b")
        with self.assertRaises(CallerGone):
            await task
        pipe.put(b"c")
        self.assertEqual(sink.received, b"a")

    async def test_a_source_error_is_raised_after_the_received_parts(self) -> None:
        pipe, sink = PartPipe(), SlowSink()
        task = await self.start_streaming(pipe, sink)
        pipe.put(b"a")
        pipe.fail(ConnectionError("cut"))
        with self.assertRaises(ConnectionError):
            await task
        self.assertEqual(sink.received, b"a")


class EagerWriteTest(unittest.IsolatedAsyncioTestCase):
    """Guards writes of which the socket takes a part at once and the reactor sends the rest."""

    async def test_bytes_keep_their_order_on_a_slow_connection(self) -> None:
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        new_channel: Any = CallerChannel
        channel = new_channel()
        channel.limits = CallerLimits()
        reactor: Any = _NoReactor()
        transport = Connection(ours, channel, reactor)
        transport.connected = True
        channel.transport = transport
        sent = b""
        received = b""
        for index in range(150):
            part = bytes([index % 251]) * 4001
            channel.writeSequence([part[:1], part[1:]])
            sent += part
            if index % 50 == 49:
                received += _receive_available(theirs)
                transport.doWrite()
        while len(received) < len(sent):
            transport.doWrite()
            received += _receive_available(theirs)
        self.assertEqual(received, sent)
        ours.close()
        theirs.close()


class _NoReactor:
    """Registers nothing: the test triggers the writes of the connection itself."""

    def addWriter(self, writer: object) -> None:
        """Do nothing."""

    def removeWriter(self, writer: object) -> None:
        """Do nothing."""


def _receive_available(connection: socket.socket) -> bytes:
    received = b""
    with contextlib.suppress(BlockingIOError):
        while part := connection.recv(65536):
            received += part
    return received


class PartPipeTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_source_is_paused_at_the_high_water_mark_and_resumed_by_a_read(self) -> None:
        calls: list[str] = []
        pipe = PartPipe(lambda: calls.append("pause"), lambda: calls.append("resume"))
        pipe.put(b"x" * HIGH_WATER)
        self.assertEqual(calls, [])
        pipe.put(b"y")
        pipe.put(b"z")
        self.assertEqual(calls, ["pause"])
        self.assertEqual(len(await pipe.read()), HIGH_WATER + 2)
        self.assertEqual(calls, ["pause", "resume"])

    async def test_received_parts_are_read_before_the_error(self) -> None:
        pipe = PartPipe()
        pipe.put(b"part")
        pipe.fail(ConnectionError("cut"))
        self.assertEqual(await pipe.read(), b"part")
        with self.assertRaises(ConnectionError):
            await pipe.read()

    async def test_an_error_after_the_end_is_ignored(self) -> None:
        pipe = PartPipe()
        reader = asyncio.ensure_future(pipe.read())
        await asyncio.sleep(0)
        pipe.end()
        pipe.fail(ConnectionError("closed after the end"))
        self.assertEqual(await reader, b"")
