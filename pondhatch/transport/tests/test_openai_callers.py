"""Callers of the OpenAI-compatible interface, over their connections."""

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
from pondhatch.transport._interface import CallerParts
from pondhatch.transport.tests.test_routed_callers import (
    Answer,
    Endless,
    Raising,
    RoutedCallersTest,
    Transport,
)

KEYS = ("key-1", "kéy")
#: Without a length, so that an answer's end is told by its last chunk alone.
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
        self.state.apply_fleet(_fleet())
        self.state.apply_listed_evacuations(Listed(1, ()))
        parts = CallerParts(
            self.state,
            Collaborators(self.grants, self.upstreams),
            lambda: self.limits,
            NoMetrics(),
            self.noted,
            Tasks(),
            random.Random(1),
            StartupWait(self.state),
        )
        self.openai = OpenAiCallers(parts)
        resource: Any = self.openai.resource()
        self.site: Any = CallerSite(resource, CallerLimits)
        self.connect()

    def connect(self) -> None:
        """Begin with a new connection."""
        self.channel = self.site.buildProtocol(IPv4Address("TCP", "10.9.9.9", 4000))
        self.channel.callLater = self.clock.callLater
        self.wire = Transport()  # type: ignore[no-untyped-call]
        self.channel.makeConnection(self.wire)

    async def get(self, key: str = KEYS[0]) -> bytes:
        return await self.ask("GET /portal/x HTTP/1.1", f"Authorization: Bearer {key}")

    async def cancel_all(self) -> bytes:
        """Do what the end of the loop does to what still runs; return what callers then get."""
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await self.settle()
        return self.written()


class KeysTest(OpenAiCallersTest):
    async def test_a_key_of_any_characters_finds_its_account(self) -> None:
        for key in KEYS:
            with self.subTest(key=key):
                self.upstreams.replies = [AnswerStarted(Answer((b"yes!",)))]
                told = await self.get(key)
                self.assertTrue(told.startswith(b"HTTP/1.1 200"), told)

    async def test_a_key_that_is_no_text_is_unknown(self) -> None:
        await self.send(
            b"GET /portal/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer \xff\r\n\r\n"
        )
        told = self.written()
        self.assertTrue(told.startswith(b"HTTP/1.1 401"), told)


class EndingTest(OpenAiCallersTest):
    """klein finishes whatever answer is open once its request's coroutine has returned."""

    def assert_cut(self, told: bytes) -> None:
        self.assertNotIn(LAST_CHUNK, told)
        self.assertTrue(self.wire.aborted)

    async def test_an_answer_under_way_is_cut_as_the_router_ends(self) -> None:
        self.upstreams.replies = [AnswerStarted(Endless((b"ye",), headers=UNFRAMED))]
        told = await self.get()
        self.assertTrue(told.endswith(b"2\r\nye\r\n"), told)
        self.assert_cut(await self.cancel_all())

    async def test_one_that_has_not_begun_is_cut_without_a_word(self) -> None:
        self.upstreams.hold = asyncio.Event()
        await self.get()
        told = await self.cancel_all()
        self.assertEqual(told, b"")
        self.assert_cut(told)

    async def test_an_error_midway_cuts_the_answer(self) -> None:
        for error in (CallerGone("gone"), RuntimeError("a fault"), ConnectionError("lost")):
            with self.subTest(error=error):
                await self.asyncSetUp()
                self.upstreams.replies = [AnswerStarted(Raising(error))]
                self.assert_cut(await self.get())

    async def test_a_whole_answer_gets_its_end(self) -> None:
        self.upstreams.replies = [AnswerStarted(Answer((b"yes!",), headers=UNFRAMED))]
        told = await self.get()
        self.assertTrue(told.endswith(LAST_CHUNK), told)
        self.assertFalse(self.wire.aborted)


class KeyedTest(OpenAiCallersTest):
    """Requests with an idempotency key, whose callers leave."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.upstreams.hold = asyncio.Event()

    async def post(self, length: int = 3) -> bytes:
        key = f"Authorization: Bearer {KEYS[0]}"
        lines = ("POST /portal/x HTTP/1.1", "Host: x", key, "Idempotency-Key: k-1")
        head = "\r\n".join((*lines, f"Content-Length: {length}", "", ""))
        await self.send(head.encode() + b"abc")
        return self.written()

    async def leave(self) -> None:
        self.channel.connectionLost(Failure(ConnectionLost()))
        await self.settle()

    async def asked_again(self) -> bytes:
        """Return what a caller gets that comes back with the same key."""
        self.connect()
        return await self.post()

    def key_states(self) -> list[str]:
        return [record.state for record in self.state.key_table.record_by_key.values()]

    async def test_it_goes_on_and_its_answer_is_there_when_it_is_asked_for_again(self) -> None:
        self.upstreams.replies = [AnswerStarted(Answer((b"ye", b"s!"), headers=UNFRAMED))]
        await self.post()
        await self.leave()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([], 1))
        self.assertEqual(self.key_states(), ["running"])
        assert self.upstreams.hold is not None
        self.upstreams.hold.set()
        await self.settle()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([EndReason.ANSWERED], 0))
        self.assertEqual(self.key_states(), ["done"])
        told = await self.asked_again()
        self.assertIn(b"yes!", told)
        self.assertIn(b"X-Pondhatch-Replayed: true", told)
        self.assertEqual(len(self.upstreams.sent), 1)

    async def test_in_the_middle_of_its_answer_too(self) -> None:
        answer = Endless((b"ye",), headers=UNFRAMED)
        self.upstreams.replies = [AnswerStarted(answer)]
        self.upstreams.hold = None
        self.assertTrue((await self.post()).endswith(b"2\r\nye\r\n"))
        await self.leave()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([], 1))
        answer.rest.set_result(b"s!")
        await self.settle()
        self.assertEqual(self.key_states(), ["done"])
        self.assertIn(b"yes!", await self.asked_again())

    async def test_one_whose_body_is_not_whole_ends_with_its_caller_and_is_unknown(self) -> None:
        await self.post(length=9)
        self.assertEqual(len(self.upstreams.sent), 1)
        await self.leave()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([EndReason.NEUTRAL], 0))
        self.assertEqual(self.key_states(), ["unknown"])

    async def test_as_the_router_ends_it_ends_and_is_unknown(self) -> None:
        await self.post()
        await self.leave()
        await self.cancel_all()
        self.assertEqual((self.grants.released, self.openai.in_flight), ([EndReason.NEUTRAL], 0))
