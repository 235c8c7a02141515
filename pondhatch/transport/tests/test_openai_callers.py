"""Guards the OpenAI-compatible interface over callers' connections."""

from __future__ import annotations

import asyncio
import hashlib
import random
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from pondhatch.configuration import CallerLimits, Edit, FleetConfiguration, Snapshot
from pondhatch.kernel import Tasks
from pondhatch.observing import NoMetrics
from pondhatch.requests import AnswerStarted, CallerGone, Collaborators, EndReason, Headers
from pondhatch.router import StartupWait
from pondhatch.standard._callers import OpenAiCallers
from pondhatch.store import Listed
from pondhatch.transport._caller_channel import CallerSite
from pondhatch.transport._interface import CallerDependencies
from pondhatch.transport.tests.test_routed_callers import (
    Answer,
    EndlessAnswer,
    RaisingAnswer,
    RoutedCallersTest,
    Transport,
)

KEYS = ("key-1", "kéy")
#: Without a length, so that only the last chunk marks the end of an answer.
UNFRAMED: Headers = (("X-Own", "1"),)
LAST_CHUNK = b"0\r\n\r\n"
LIMITS = {
    "services": ["portal"],
    "requests_per_second": 9,
    "burst": 9,
    "concurrency": 9,
}


def _fleet() -> FleetConfiguration:
    hashes = [hashlib.sha256(key.encode()).hexdigest() for key in KEYS]
    edits = (
        Edit("service", "portal", {"kind": "plain", "prefix": "/portal/"}),
        Edit("template", "small", {"account": LIMITS}),
        Edit("account", "pina", {"template": "small", "key_hashes": hashes}),
    )
    return FleetConfiguration.from_snapshot(Snapshot(50, edits))


class OpenAiCallersTest(RoutedCallersTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.state.apply_configuration(_fleet())
        self.state.apply_listed_evacuations(Listed(1, ()))
        dependencies = CallerDependencies(
            self.state,
            Collaborators(self.grants, self.upstreams),
            lambda: self.limits,
            NoMetrics(),
            self.record_list,
            Tasks(),
            random.Random(1),
            StartupWait(self.state),
        )
        self.openai = OpenAiCallers(dependencies)
        resource: Any = self.openai.resource()
        self.site: Any = CallerSite(resource, CallerLimits)
        self.connect()

    def connect(self) -> None:
        """Open a new connection."""
        self.channel = self.site.buildProtocol(IPv4Address("TCP", "10.9.9.9", 4000))
        self.channel.callLater = self.clock.callLater
        self.transport = Transport()  # type: ignore[no-untyped-call]
        self.channel.makeConnection(self.transport)

    async def send_get(self, key: str = KEYS[0]) -> bytes:
        return await self.ask("GET /portal/x HTTP/1.1", f"Authorization: Bearer {key}")

    async def cancel_all(self) -> bytes:
        """Cancel all tasks, as the end of the loop does; return what is then written to callers."""
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await self.settle()
        return self.written()


class KeysTest(OpenAiCallersTest):
    async def test_a_key_may_hold_any_characters(self) -> None:
        for key in KEYS:
            with self.subTest(key=key):
                self.upstreams.replies = [AnswerStarted(Answer((b"yes!",)))]
                response = await self.send_get(key)
                self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)

    async def test_an_undecodable_key_is_unknown(self) -> None:
        await self.send(
            b"GET /portal/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer \xff\r\n\r\n"
        )
        response = self.written()
        self.assertTrue(response.startswith(b"HTTP/1.1 401"), response)


class EndingTest(OpenAiCallersTest):
    """Guards against cut answers that klein finishes when their request's coroutine returns."""

    def assert_cut(self, response: bytes) -> None:
        self.assertNotIn(LAST_CHUNK, response)
        self.assertTrue(self.transport.aborted)

    async def test_an_unfinished_answer_is_cut_when_the_router_ends(self) -> None:
        self.upstreams.replies = [AnswerStarted(EndlessAnswer((b"ye",), headers=UNFRAMED))]
        response = await self.send_get()
        self.assertTrue(response.endswith(b"2\r\nye\r\n"), response)
        self.assert_cut(await self.cancel_all())

    async def test_a_request_without_an_answer_is_cut_when_the_router_ends(self) -> None:
        self.upstreams.may_reply = asyncio.Event()
        await self.send_get()
        response = await self.cancel_all()
        self.assertEqual(response, b"")
        self.assert_cut(response)

    async def test_an_error_during_the_answer_cuts_it(self) -> None:
        for error in (CallerGone("gone"), RuntimeError("a fault"), ConnectionError("lost")):
            with self.subTest(error=error):
                await self.asyncSetUp()
                self.upstreams.replies = [AnswerStarted(RaisingAnswer(error))]
                self.assert_cut(await self.send_get())

    async def test_a_complete_answer_is_terminated(self) -> None:
        self.upstreams.replies = [AnswerStarted(Answer((b"yes!",), headers=UNFRAMED))]
        response = await self.send_get()
        self.assertTrue(response.endswith(LAST_CHUNK), response)
        self.assertFalse(self.transport.aborted)


class KeyedTest(OpenAiCallersTest):
    """Guards requests with an idempotency key whose callers leave."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.upstreams.may_reply = asyncio.Event()

    async def post(self, length: int = 3) -> bytes:
        key = f"Authorization: Bearer {KEYS[0]}"
        lines = ("POST /portal/x HTTP/1.1", "Host: x", key, "Idempotency-Key: k-1")
        head = "\r\n".join((*lines, f"Content-Length: {length}", "", ""))
        await self.send(head.encode() + b"abc")
        return self.written()

    async def leave(self) -> None:
        self.channel.connectionLost(Failure(ConnectionLost()))
        await self.settle()

    async def retry_with_key(self) -> bytes:
        """Return the response to a retry with the same key on a new connection."""
        self.connect()
        return await self.post()

    def key_states(self) -> list[str]:
        return [record.state for record in self.state.key_table.record_by_key.values()]

    async def test_a_keyed_request_finishes_without_its_caller_and_is_replayed(self) -> None:
        self.upstreams.replies = [AnswerStarted(Answer((b"ye", b"s!"), headers=UNFRAMED))]
        await self.post()
        await self.leave()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([], 1))
        self.assertEqual(self.key_states(), ["running"])
        assert self.upstreams.may_reply is not None
        self.upstreams.may_reply.set()
        await self.settle()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([EndReason.ANSWERED], 0))
        self.assertEqual(self.key_states(), ["done"])
        response = await self.retry_with_key()
        self.assertIn(b"yes!", response)
        self.assertIn(b"X-Pondhatch-Replayed: true", response)
        self.assertEqual(len(self.upstreams.sent), 1)

    async def test_a_caller_leaving_during_the_answer_gets_it_replayed(self) -> None:
        answer = EndlessAnswer((b"ye",), headers=UNFRAMED)
        self.upstreams.replies = [AnswerStarted(answer)]
        self.upstreams.may_reply = None
        self.assertTrue((await self.post()).endswith(b"2\r\nye\r\n"))
        await self.leave()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([], 1))
        answer.rest.set_result(b"s!")
        await self.settle()
        self.assertEqual(self.key_states(), ["done"])
        self.assertIn(b"yes!", await self.retry_with_key())

    async def test_an_incomplete_body_ends_the_request_as_unknown(self) -> None:
        await self.post(length=9)
        self.assertEqual(len(self.upstreams.sent), 1)
        await self.leave()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([EndReason.NEUTRAL], 0))
        self.assertEqual(self.key_states(), ["unknown"])

    async def test_the_end_of_the_router_ends_the_request_as_unknown(self) -> None:
        await self.post()
        await self.leave()
        await self.cancel_all()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([EndReason.NEUTRAL], 0))
