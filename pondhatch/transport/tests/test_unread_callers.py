"""Guards against requests that continue because their caller left while reading was paused."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import msgspec
from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.internet.tcp import Connection
from twisted.python.failure import Failure

from pondhatch.configuration import CallerLimits
from pondhatch.requests import AnswerStarted, EndReason, GrantRequest, OwnerReply
from pondhatch.transport._caller_channel import CallerSite
from pondhatch.transport._parts import HIGH_WATER
from pondhatch.transport.tests.test_openai_callers import KEYS, OpenAiCallersTest
from pondhatch.transport.tests.test_routed_callers import Answer, Grants

#: Seconds after a close within which all work on its request must have stopped.
GONE_SECONDS = 0.5
#: Seconds of a step of the clock.
STEP_SECONDS = 0.05


class HeldGrants(Grants):
    """Grants everything once ``may_reply`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.may_reply = asyncio.Event()

    async def ask(self, owner: str, grant_request: GrantRequest, max_wait: float) -> OwnerReply:
        await self.may_reply.wait()
        return await super().ask(owner, grant_request, max_wait)


class CallerConnection(Connection):
    """A caller's connection, which twisted would create from a listening port."""

    def getPeer(self) -> IPv4Address:
        return IPv4Address("TCP", "10.9.9.9", 4000)

    getHost = getPeer


class ManualReactor:
    """A reactor that records which connections to read; the test itself triggers the reads."""

    def __init__(self, clock: Clock) -> None:
        self.reading: set[Any] = set()
        self.callLater = clock.callLater

    def addReader(self, reader: Any) -> None:
        self.reading.add(reader)

    def removeReader(self, reader: Any) -> None:
        self.reading.discard(reader)

    def addWriter(self, writer: Any) -> None:
        """Do nothing: these tests ignore answers."""

    def removeWriter(self, writer: Any) -> None:
        """Do nothing."""


class UnreadTest(OpenAiCallersTest):
    """Serves a caller over a real socket."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        site: Any = CallerSite(self.channel.site.resource, CallerLimits)
        self.channel = site.buildProtocol(IPv4Address("TCP", "10.9.9.9", 4000))
        self.channel.callLater = self.clock.callLater
        with socket.create_server(("127.0.0.1", 0)) as listening:
            self.theirs = socket.create_connection(listening.getsockname())
            ours, _ = listening.accept()
        self.addCleanup(self.theirs.close)
        self.theirs.setblocking(False)
        self.reactor = ManualReactor(self.clock)
        new_connection: Any = CallerConnection
        self.connection = new_connection(ours, self.channel, self.reactor)
        self.addCleanup(ours.close)
        self.connection.connected = True
        self.channel.makeConnection(self.connection)
        self.connection.startReading()

    async def read_available(self) -> None:
        """Read all that was received, as long as the channel reads."""
        for _ in range(20):
            if self.connection not in self.reactor.reading:
                return
            failed = self.connection.doRead()
            if failed is not None:
                self.connection.connectionLost(Failure(failed))
            await self.settle()

    async def settle(self) -> None:
        for _ in range(20):
            self.clock.advance(0)
            await asyncio.sleep(0)

    async def post(self, sent: bytes, length: int) -> None:
        head = f"POST /portal/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEYS[0]}\r\n"
        self.theirs.sendall(f"{head}Content-Length: {length}\r\n\r\n".encode())
        for offset in range(0, len(sent), HIGH_WATER // 4):
            self.theirs.sendall(sent[offset : offset + HIGH_WATER // 4])
            await self.read_available()

    async def leave(self) -> None:
        self.theirs.close()
        await self.read_available()
        for _ in range(round(GONE_SECONDS / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            await self.settle()

    def assert_given_up(self, sent: int) -> None:
        self.assertTrue(self.connection.disconnected)
        self.assertEqual(len(self.upstreams.sent), sent)
        found = [msgspec.to_builtins(record) for record in self.record_list.records]
        self.assertEqual([each["outcome"] for each in found], ["caller-gone"])

    async def test_leaving_while_a_large_body_waits_for_a_grant(self) -> None:
        held = HeldGrants()
        self.grants.ask = held.ask  # type: ignore[method-assign]
        await self.post(b"x" * 2 * HIGH_WATER, 9 * HIGH_WATER)
        self.assertNotIn(self.connection, self.reactor.reading)
        await self.leave()
        held.may_reply.set()
        await self.settle()
        self.assert_given_up(sent=0)

    async def test_leaving_while_the_upstream_takes_no_more_of_the_body(self) -> None:
        self.upstreams.may_reply = asyncio.Event()
        await self.post(b"x" * 3 * HIGH_WATER, 9 * HIGH_WATER)
        self.assertNotIn(self.connection, self.reactor.reading)
        await self.leave()
        self.assert_given_up(sent=1)
        self.assertEqual(self.grants.released, [EndReason.NEUTRAL])

    async def test_leaving_after_sending_the_next_request(self) -> None:
        self.upstreams.may_reply = asyncio.Event()
        await self.post(b"x", 1)
        await self.post(b"x" * HIGH_WATER, HIGH_WATER)
        self.assertNotIn(self.connection, self.reactor.reading)
        await self.leave()
        self.assert_given_up(sent=1)
        self.assertEqual(self.grants.released, [EndReason.NEUTRAL])

    async def test_a_caller_that_stays_is_served_after_a_long_pause(self) -> None:
        held = HeldGrants()
        self.grants.ask = held.ask  # type: ignore[method-assign]
        body = b"x" * (HIGH_WATER + HIGH_WATER // 4)
        await self.post(body, len(body))
        self.assertNotIn(self.connection, self.reactor.reading)
        for _ in range(100):
            self.clock.advance(STEP_SECONDS)
        self.upstreams.replies = [AnswerStarted(Answer((b"yes!",)))]
        held.may_reply.set()
        await self.settle()
        await self.read_available()
        self.assertFalse(self.connection.disconnected)
        self.assertEqual([len(part) for _, _, part in self.upstreams.sent], [len(body)])
