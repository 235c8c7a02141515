"""Guards the idle timeout of callers' connections, set by the configuration in force."""

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
    EndlessAnswer,
    RoutedCallersTest,
    Transport,
)

IDLE_SECONDS = 15.0
#: Seconds of a step of the tests' clock.
STEP_SECONDS = 0.05
#: Size of a body, in bytes, that makes the router pause reading from the caller.
PAUSING_BYTES = 2 * HIGH_WATER
UNFRAMED: Headers = (("Instance-Signature", "3e"),)
HEAD = b"POST /x HTTP/1.1\r\nHost: desk.example\r\n"


class CallerIdleTest(RoutedCallersTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.set_idle_limit(IDLE_SECONDS)
        resource: Any = self.callers.resource()
        self.site: Any = CallerSite(resource, lambda: self.limits)
        self.connect()

    def connect(self) -> None:
        self.channel = self.site.buildProtocol(IPv4Address("TCP", "10.9.9.9", 4000))
        self.channel.callLater = self.clock.callLater
        self.transport = Transport()  # type: ignore[no-untyped-call]
        self.channel.makeConnection(self.transport)

    def set_idle_limit(self, seconds: float) -> None:
        self.limits = replace(CallerLimits(), idle_seconds=seconds)

    def assert_closes_after(self, seconds: float) -> None:
        """Assert that the connection is closed after this time, and not earlier."""
        # In steps, as a timer that is started at the end of a step counts from there.
        self.clock.pump([STEP_SECONDS] * round((seconds - 0.1) / STEP_SECONDS))
        self.assertFalse(self.transport.disconnecting, "closed early")
        self.clock.advance(0.2)
        self.assertTrue(self.transport.disconnecting, "left open")

    async def serve(self, body: bytes = b"") -> None:
        self.upstreams.replies = [AnswerStarted(Answer((b"yes!",)))]
        response = await self.ask("POST /x HTTP/1.1", body=body)
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)


class PauseTest(CallerIdleTest):
    """A long body pauses reading from its caller and, with it, the idle timer."""

    async def test_a_connection_closes_when_idle_after_a_paused_body(self) -> None:
        for body in (b"a" * PAUSING_BYTES, b""):
            with self.subTest(size=len(body)):
                self.connect()
                await self.serve(body)
                self.assert_closes_after(IDLE_SECONDS)

    async def test_a_connection_closes_when_its_body_stalls_after_a_pause(self) -> None:
        await self.send(
            HEAD + f"Content-Length: {2 * PAUSING_BYTES}\r\n\r\n".encode() + b"a" * PAUSING_BYTES
        )
        self.assert_closes_after(IDLE_SECONDS)

    async def test_a_connection_with_an_unfinished_answer_is_not_idle(self) -> None:
        self.upstreams.replies = [AnswerStarted(EndlessAnswer((b"ye",), headers=UNFRAMED))]
        await self.ask("POST /x HTTP/1.1", body=b"a" * PAUSING_BYTES)
        self.clock.advance(10 * IDLE_SECONDS)
        self.assertFalse(self.transport.disconnecting)


class InForceTest(CallerIdleTest):
    async def test_a_new_connection_takes_the_limit_in_force(self) -> None:
        for seconds in (2 * IDLE_SECONDS, 1.45, 0.4):
            with self.subTest(seconds=seconds):
                self.set_idle_limit(seconds)
                self.connect()
                self.assert_closes_after(seconds)

    async def test_a_reused_connection_takes_a_new_limit_with_its_next_request(self) -> None:
        for seconds in (2 * IDLE_SECONDS, IDLE_SECONDS / 2):
            with self.subTest(seconds=seconds):
                self.set_idle_limit(IDLE_SECONDS)
                self.connect()
                await self.serve()
                self.set_idle_limit(seconds)
                await self.serve()
                self.assert_closes_after(seconds)

    async def test_a_raised_limit_applies_to_an_idle_connection(self) -> None:
        await self.serve()
        self.clock.advance(IDLE_SECONDS / 2)
        self.set_idle_limit(2 * IDLE_SECONDS)
        self.assert_closes_after(1.5 * IDLE_SECONDS)

    async def test_after_an_extension_the_full_idle_time_counts_again(self) -> None:
        await self.serve()
        self.set_idle_limit(1.2 * IDLE_SECONDS)
        self.clock.advance(1.1 * IDLE_SECONDS)
        await self.send(HEAD)
        self.limits = replace(self.limits, header_seconds=600.0)
        await self.send(b"Content-Length: 9\r\n\r\na")
        self.assert_closes_after(1.2 * IDLE_SECONDS)
