"""How long callers' connections may stand idle: as the configuration in force says."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace
from twisted.internet.address import IPv4Address

from pondhatch.configuration import CallerLimits
from pondhatch.requests import AnswerStarted, Headers
from pondhatch.transport._caller_channel import CallerSite
from pondhatch.transport._parts import HIGH_WATER
from pondhatch.transport.tests.test_routed_callers import (
    Answer,
    Endless,
    RoutedCallersTest,
    Transport,
)

IDLE_SECONDS = 15.0
#: Seconds by which the tests' clock goes on.
STEP_SECONDS = 0.05
#: Bytes of a body after which the caller is not read from for a moment.
PAUSING = 2 * HIGH_WATER
UNFRAMED: Headers = (("Instance-Signature", "3e"),)
HEAD = b"POST /x HTTP/1.1\r\nHost: desk.example\r\n"


class CallerIdleTest(RoutedCallersTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.idle(IDLE_SECONDS)
        resource: Any = self.callers.resource()
        self.site: Any = CallerSite(resource, lambda: self.limits)
        self.connect()

    def connect(self) -> None:
        self.channel = self.site.buildProtocol(IPv4Address("TCP", "10.9.9.9", 4000))
        self.channel.callLater = self.clock.callLater
        self.wire = Transport()  # type: ignore[no-untyped-call]
        self.channel.makeConnection(self.wire)

    def idle(self, seconds: float) -> None:
        self.limits = replace(CallerLimits(), idle_seconds=seconds)

    def closes_after(self, seconds: float) -> None:
        """Expect that the connection is closed then, and not before."""
        # In steps: what is begun at a step's end counts from there.
        self.clock.pump([STEP_SECONDS] * round((seconds - 0.1) / STEP_SECONDS))
        self.assertFalse(self.wire.disconnecting, "closed early")
        self.clock.advance(0.2)
        self.assertTrue(self.wire.disconnecting, "left open")

    async def serve(self, body: bytes = b"") -> None:
        self.upstreams.replies = [AnswerStarted(Answer((b"yes!",)))]
        told = await self.ask("POST /x HTTP/1.1", body=body)
        self.assertTrue(told.startswith(b"HTTP/1.1 200"), told)


class PauseTest(CallerIdleTest):
    """A long body pauses the reading from its caller, and with it the idle time."""

    async def test_after_a_paused_body_a_connection_is_closed_when_idle(self) -> None:
        for body in (b"a" * PAUSING, b""):
            with self.subTest(size=len(body)):
                self.connect()
                await self.serve(body)
                self.closes_after(IDLE_SECONDS)

    async def test_so_is_one_whose_body_stands_still_after_a_pause(self) -> None:
        await self.send(HEAD + f"Content-Length: {2 * PAUSING}\r\n\r\n".encode() + b"a" * PAUSING)
        self.closes_after(IDLE_SECONDS)

    async def test_an_answer_under_way_is_not_idle(self) -> None:
        self.upstreams.replies = [AnswerStarted(Endless((b"ye",), headers=UNFRAMED))]
        await self.ask("POST /x HTTP/1.1", body=b"a" * PAUSING)
        self.clock.advance(10 * IDLE_SECONDS)
        self.assertFalse(self.wire.disconnecting)


class InForceTest(CallerIdleTest):
    async def test_a_connection_takes_the_bound_in_force_when_it_begins(self) -> None:
        for seconds in (2 * IDLE_SECONDS, 1.45, 0.4):
            with self.subTest(seconds=seconds):
                self.idle(seconds)
                self.connect()
                self.closes_after(seconds)

    async def test_a_kept_one_takes_a_later_bound_with_its_next_request(self) -> None:
        for seconds in (2 * IDLE_SECONDS, IDLE_SECONDS / 2):
            with self.subTest(seconds=seconds):
                self.idle(IDLE_SECONDS)
                self.connect()
                await self.serve()
                self.idle(seconds)
                await self.serve()
                self.closes_after(seconds)

    async def test_a_bound_that_is_raised_holds_for_what_stands_idle(self) -> None:
        await self.serve()
        self.clock.advance(IDLE_SECONDS / 2)
        self.idle(2 * IDLE_SECONDS)
        self.closes_after(1.5 * IDLE_SECONDS)

    async def test_after_such_a_rest_the_whole_time_counts_again(self) -> None:
        await self.serve()
        self.idle(1.2 * IDLE_SECONDS)
        self.clock.advance(1.1 * IDLE_SECONDS)
        await self.send(HEAD)
        self.limits = replace(self.limits, header_seconds=600.0)
        await self.send(b"Content-Length: 9\r\n\r\na")
        self.closes_after(1.2 * IDLE_SECONDS)
