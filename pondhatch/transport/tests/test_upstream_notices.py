"""Guards that an upstream's notices are received whatever the outcome of the request."""

from __future__ import annotations

import asyncio
import unittest

from pondhatch.placement import OPEN, Notice
from pondhatch.platform._engines import EngineDialect
from pondhatch.requests import NotRun, ReplayableBody, RequestHead, Target
from pondhatch.transport._http_client import HttpClient
from pondhatch.transport._upstreams import HttpUpstreams
from pondhatch.transport.tests.test_header_bytes import Reactor

TARGET = Target("i-1", "http://127.0.0.1:8080", OPEN, 1.5, 3, 64)
HOST = (("Host", "desk.example"),)
HEAD = RequestHead("r.1", "a", "s", 0, "POST", "/", HOST, True, 5.0, 5, caller_id="9c41")
LEAVES = b"Server-Leaving: 1"
RESTS = b"Retry-After: 3"
#: States that it is brittle, but not how much.
BRITTLE = b"Server-Brittle: yes"


class View:
    """Records notices; see UpstreamView."""

    def __init__(self) -> None:
        self.notices: list[tuple[str, Notice]] = []
        self.refusal_limits: list[int | None] = []
        #: Set if the upstream accepts no more requests.
        self.refusal: NotRun | None = None

    def closed(self, upstream: str, head: RequestHead) -> NotRun | None:
        return self.refusal

    def record_refusal_limit(self, upstream: str, refusal_limit: int | None) -> None:
        self.refusal_limits.append(refusal_limit)

    def receive_notice(self, upstream: str, notice: Notice) -> None:
        self.notices.append((upstream, notice))


class UpstreamNoticeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.view = View()
        self.reactor = Reactor()
        self.upstreams = HttpUpstreams(HttpClient(self.reactor), EngineDialect(), view=self.view)

    def begin(self) -> asyncio.Task[object]:
        return asyncio.ensure_future(self.upstreams.send(TARGET, HEAD, ReplayableBody(b"x")))

    def answer(self, status: bytes, *headers: bytes) -> None:
        lines = (b"HTTP/1.1 " + status, b"Content-Length: 2", *headers, b"", b"ok")
        self.reactor.connections[-1].dataReceived(b"\r\n".join(lines))

    async def test_notices_are_received_with_every_kind_of_answer(self) -> None:
        leaving, resting = Notice(is_leaving=True), Notice(rest=3.0)
        for status, headers, expected in (
            (b"200 OK", (b"Attempt-Id: 9c41", LEAVES), leaving),
            (b"500 Failed", (b"Attempt-Id: 9c41", LEAVES), leaving),
            (b"503 Full", (b"Not-Executed: 1", LEAVES), leaving),
            (b"503 Full", (b"Not-Executed: 1", RESTS), resting),
            (b"503 Full", (b"Attempt-Id: 9c41", RESTS), resting),
            # Nobody can tell which request it answers, nor when it was written.
            (b"200 OK", (b"Attempt-Id: another", LEAVES), None),
            (b"503 Full", (b"Not-Executed: 1", b"Attempt-Id: another", RESTS), None),
        ):
            with self.subTest(status=status, headers=headers):
                await self.asyncSetUp()
                sending = self.begin()
                await asyncio.sleep(0)
                self.answer(status, *headers)
                await sending
                received = [] if expected is None else [("i-1", expected)]
                self.assertEqual(self.view.notices, received)

    # Guards against notices that are ignored unless they close the upstream to requests.
    async def test_a_notice_that_holds_only_a_pace_is_received(self) -> None:
        for load, expected in ((b"8,1,64,250", [("i-1", Notice(pace=250))]), (b"8,1,64", [])):
            self.view.notices.clear()
            sending = self.begin()
            await asyncio.sleep(0)
            self.answer(b"200 OK", b"Attempt-Id: 9c41", b"Instance-Load: " + load)
            await sending
            self.assertEqual(self.view.notices, expected)

    # Guards against an engine that falls over although it stated what it bears, and against
    # treating it as brittle for good.
    async def test_the_refusal_limit_of_each_answer_is_recorded(self) -> None:
        for header, expected in ((b"Server-Brittle: 2", 2), (b"X: 1", None), (BRITTLE, 0)):
            sending = self.begin()
            await asyncio.sleep(0)
            self.answer(b"200 OK", b"Attempt-Id: 9c41", header)
            await sending
            self.assertEqual(self.view.refusal_limits.pop(), expected)

    async def test_a_notice_is_received_when_the_caller_leaves_during_the_answer(self) -> None:
        sending = self.begin()
        await asyncio.sleep(0)
        self.answer(b"200 OK", b"Attempt-Id: 9c41", LEAVES)
        sending.cancel()
        await asyncio.wait([sending])
        self.assertEqual(self.view.notices, [("i-1", Notice(is_leaving=True))])

    async def test_a_notice_of_another_engine_at_the_address_is_ignored(self) -> None:
        sending = self.begin()
        await asyncio.sleep(0)
        self.answer(b"421 Misdirected", b"Attempt-Id: 9c41", LEAVES, RESTS)
        await sending
        self.assertEqual(self.view.notices, [])

    # Connecting takes up to a second, during which the upstream may announce on another
    # connection that it leaves.
    async def test_nothing_is_sent_to_an_upstream_closed_while_connecting(self) -> None:
        self.view.refusal = NotRun("upstream-leaving", "i-1 takes no new work")
        self.assertEqual(await self.begin(), self.view.refusal)
        self.assertEqual((self.reactor.sent(), self.reactor.left_open()), (b"", 0))
