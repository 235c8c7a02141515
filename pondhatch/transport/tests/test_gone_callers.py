"""Guards against requests that continue or leave no record after their caller left."""

from __future__ import annotations

import asyncio

import msgspec
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from pondhatch.requests import AnswerStarted, EndReason, GrantRequest, Headers, OwnerReply
from pondhatch.transport.tests.test_routed_callers import (
    KEY,
    Answer,
    EndlessAnswer,
    Grants,
    RoutedCallersTest,
)

STREAM: Headers = (("Content-Type", "text/event-stream"),)
#: The id and outcome in the record of a request whose caller left.
GONE = ("9c41", "caller-gone")
EVENT = b"id: 1\ndata: x\n\n"


class HeldGrants(Grants):
    """Grants everything, but from some request on only once ``may_reply`` is set."""

    def __init__(self, holds_from: int) -> None:
        super().__init__()
        self.request_count = 0
        self.may_reply = asyncio.Event()
        self._holds_from = holds_from

    async def ask(self, owner: str, grant_request: GrantRequest, max_wait: float) -> OwnerReply:
        self.request_count += 1
        if self.request_count >= self._holds_from:
            await self.may_reply.wait()
        return await super().ask(owner, grant_request, max_wait)


class CancellableAnswer(EndlessAnswer):
    """An answer that does not end, and records whether it was cancelled."""

    cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class StagesTest(RoutedCallersTest):
    """A caller closes its connection at each stage of its request in turn."""

    async def asyncSetUp(self) -> None:
        await self.hold_grants(99)

    async def hold_grants(self, since: int) -> None:
        """Start over, with grants withheld from the request of this number on."""
        self.setUp()
        self.grants = self.held = HeldGrants(since)
        await super().asyncSetUp()

    async def leave(self) -> None:
        self.channel.connectionLost(Failure(ConnectionLost()))
        await self.settle()
        self.held.may_reply.set()
        await self.settle()

    def assert_given_up(self, *released: EndReason) -> None:
        """Assert that nothing more was sent, all grants were released, and a record was written."""
        self.assertEqual(self.grants.released, list(released))
        self.assertEqual(len(self.upstreams.sent), len(released))
        self.assertEqual(self.callers.in_flight, 0)
        found = [msgspec.to_builtins(record) for record in self.record_list.records]
        self.assertEqual([(each["id"], each["outcome"]) for each in found], [GONE])

    async def test_leaving_while_the_body_is_received(self) -> None:
        # Without an API key, a request is refused once its body is received.
        for key in (KEY, "X-Own: 1"):
            with self.subTest(key=key):
                await self.asyncSetUp()
                lines = ("POST /proofs/a HTTP/1.1", "Host: desk.example", "Attempt-Id: 9c41", key)
                head = "\r\n".join((*lines, "Content-Length: 6", "", ""))
                await self.send(head.encode() + b"abc")
                await self.leave()
                self.assert_given_up()

    async def test_leaving_while_waiting_for_a_grant(self) -> None:
        await self.hold_grants(1)
        await self.ask("GET /x HTTP/1.1")
        self.assertEqual(self.held.request_count, 1)
        await self.leave()
        self.assert_given_up()

    async def test_leaving_after_the_request_was_sent(self) -> None:
        for line in ("GET /x HTTP/1.1", "POST /proofs/a HTTP/1.1"):
            with self.subTest(line=line):
                await self.asyncSetUp()
                self.upstreams.may_reply = asyncio.Event()
                await self.ask(line, KEY)
                await self.leave()
                self.assert_given_up(EndReason.NEUTRAL)

    async def test_leaving_before_and_during_the_answer(self) -> None:
        for parts in ((), (b"ye",)):
            with self.subTest(parts=parts):
                await self.asyncSetUp()
                answer = CancellableAnswer(parts)
                self.upstreams.replies = [AnswerStarted(answer)]
                await self.ask("GET /x HTTP/1.1")
                await self.leave()
                self.assertTrue(answer.cancelled)
                self.assert_given_up(EndReason.NEUTRAL)

    async def test_leaving_between_two_attempts(self) -> None:
        await self.hold_grants(2)
        self.upstreams.replies = [AnswerStarted(Answer((), is_complete=False))]
        await self.ask("GET /x HTTP/1.1")
        self.assertEqual(self.held.request_count, 2)
        await self.leave()
        self.assert_given_up(EndReason.CONNECTION_FAILED)

    async def test_leaving_during_a_resumed_answer(self) -> None:
        cut = Answer((EVENT,), is_complete=False, headers=STREAM)
        resumed = CancellableAnswer((EVENT,), headers=STREAM)
        self.upstreams.replies = [AnswerStarted(cut), AnswerStarted(resumed)]
        await self.ask("POST /notes/a HTTP/1.1", KEY, body=b"abc")
        await self.leave()
        self.assertTrue(resumed.cancelled)
        self.assert_given_up(EndReason.CONNECTION_FAILED, EndReason.NEUTRAL)
