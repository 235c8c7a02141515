"""Guards relayed requests against lost, doubled and abandoned runs, and against strangers."""

from __future__ import annotations

import asyncio
import time
import unittest
import unittest.mock
from typing import Any

from fakes._silent_relay import HOST, SilentRelay
from pondhatch.cli._ports import listen_to_peers
from pondhatch.limits import HeldBytes
from pondhatch.membership import Address
from pondhatch.requests import (
    RELAY_BUSY,
    RELAY_GONE,
    RELAY_UNSUPPORTED,
    AnswerLost,
    AnswerStarted,
    Broken,
    Headers,
    NotRun,
    PartSink,
    RelayedRequest,
    RelayEnded,
    RelaySide,
    RequestHead,
    SendResult,
    Unknown,
)
from pondhatch.requests._crash_guard import NoCrashGuard
from pondhatch.requests._relay_side import MAX_RELAYED
from pondhatch.transport import PeerService, RelayCalls, RelayService
from pondhatch.transport.tests.test_silent_peers import NOTHING_NEW, NoKeys

#: Seconds within which an engine must know that a caller left.
CANCEL_SECONDS = 0.5
HEAD = RequestHead(
    "id", "rosa", "s", 0, "POST", "/x?y=1", (("A", "\xe9"),), False, 5.0, 0, caller_id="c"
)
REQUEST = RelayedRequest("edge-0", "e", HEAD, b"body")


class Answer:
    """An answer in three parts, which may break off or wait before the last one."""

    status = 200
    headers: Headers = (("Instance-Signature", "\xe9"),)

    def __init__(self, breaks: bool = False, waits: bool = False) -> None:
        self._breaks = breaks
        self._waits = waits
        self.was_cancelled = asyncio.Event()

    async def stream_to(self, sink: PartSink) -> None:
        for part in (b"a" * 200_000, b"b", b"c"):
            if not sink.write(part):
                await sink.ready()
        if self._breaks:
            raise AnswerLost(Broken("answer-broken", "cut", connection_lost=True))
        if self._waits:
            await asyncio.Event().wait()

    def cancel(self) -> None:
        self.was_cancelled.set()


class Engine:
    """The relaying router's way to the engine, and what it knows of it."""

    def __init__(self) -> None:
        self.result: SendResult = NotRun("upstream-full", "answered 503", 2.5)
        self.received: list[tuple[RequestHead, bytes]] = []
        self.reachable = True

    def target(self, engine: str) -> Any:
        target: Any = unittest.mock.MagicMock()
        target.intake.closed_reason.return_value = None
        return target

    def is_reachable(self, engine: str) -> bool:
        return self.reachable

    def is_doubtful(self) -> bool:
        return not self.reachable

    def start_recheck(self, engine: str) -> bool:
        return False

    def has_connection(self, target: Any, head: RequestHead) -> bool:
        return False

    def reconnect(self, target: Any) -> None:
        raise AssertionError("no connection is due")

    async def send(
        self, target: Any, head: RequestHead, body: Any, patience: float | None = None
    ) -> SendResult:
        self.received.append((head, await body.read()))
        if self.result is None:
            await asyncio.Event().wait()
        return self.result


class Sink:
    def __init__(self) -> None:
        self.received = b""

    def write(self, part: bytes) -> bool:
        self.received += part
        return False

    async def ready(self) -> None:
        """Return at once."""


class RelayCallsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.engine = Engine()
        self.ended: list[RelayEnded] = []
        self.side = RelaySide(
            self.engine, self.engine, NoCrashGuard(), HeldBytes(), self.ended.append
        )
        self.calls = await self.calls_to(RelayService(self.side))

    async def calls_to(self, *services: Any, token: str = "token") -> RelayCalls:
        keys: Any = NoKeys()
        server = PeerService(keys, lambda _: NOTHING_NEW, "token").server(*services)
        listener = listen_to_peers(HOST, 0)
        await server.start(sock=listener)
        self.addCleanup(server.close)
        self.link = self.enterContext(SilentRelay(HOST, listener.getsockname()[1]))
        calls = RelayCalls(lambda _: Address(HOST, self.link.port), token, None, HeldBytes())
        self.addCleanup(calls.close_all)
        return calls

    async def relay(self) -> SendResult:
        return await self.calls.relay("edge-1", REQUEST)

    async def started(self) -> AnswerStarted:
        result = await self.relay()
        assert isinstance(result, AnswerStarted)
        return result

    async def test_a_whole_answer_comes_back_unchanged(self) -> None:
        self.engine.result = AnswerStarted(Answer())
        result, sink = await self.started(), Sink()
        await result.answer.stream_to(sink)
        self.assertEqual(sink.received, b"a" * 200_000 + b"bc")
        self.assertEqual((result.answer.status, result.answer.headers), (200, Answer.headers))
        self.assertEqual(result.relayed_by, "edge-1")
        ((head, body),) = self.engine.received
        self.assertEqual((head.path, head.headers, head.caller_id), ("/x?y=1", HEAD.headers, "c"))
        self.assertEqual(body, b"body")
        self.assertEqual([each.outcome for each in self.ended], ["whole"])
        self.assertEqual(self.side.in_flight, 0)

    async def test_refusals_and_losses_keep_their_meaning(self) -> None:
        self.assertEqual(await self.relay(), self.engine.result)
        self.engine.result = Unknown("upstream-lost", "reset", connection_lost=True)
        lost = await self.relay()
        self.assertEqual(lost, Unknown("upstream-lost", "reset"))
        self.engine.result = AnswerStarted(Answer(breaks=True))
        with self.assertRaises(AnswerLost) as broken:
            await (await self.started()).answer.stream_to(Sink())
        self.assertEqual(broken.exception.outcome.reason, "cut")

    async def test_a_router_that_does_not_reach_the_engine_says_so_without_a_try(self) -> None:
        self.engine.reachable = False
        result = await self.relay()
        self.assertEqual(result.code if isinstance(result, NotRun) else "", "path-lost")
        self.assertEqual(self.engine.received, [])

    async def test_a_caller_that_leaves_is_known_at_the_engine_in_time(self) -> None:
        answer = Answer(waits=True)
        self.engine.result = AnswerStarted(answer)
        result = await self.started()
        streaming = asyncio.ensure_future(result.answer.stream_to(Sink()))
        await asyncio.sleep(0.05)
        streaming.cancel()
        result.answer.cancel()
        await asyncio.wait_for(answer.was_cancelled.wait(), CANCEL_SECONDS)
        await asyncio.sleep(0.05)
        self.assertEqual([each.outcome for each in self.ended], ["cancelled"])

    async def test_a_caller_that_leaves_before_the_answer_cancels_the_run(self) -> None:
        self.engine.result = None  # type: ignore[assignment]
        waiting = asyncio.ensure_future(self.relay())
        while not self.engine.received:
            await asyncio.sleep(0.01)
        left_at = time.monotonic()
        waiting.cancel()
        while not self.ended:
            await asyncio.sleep(0.01)
        self.assertLess(time.monotonic() - left_at, CANCEL_SECONDS)

    async def test_a_lost_hop_leaves_the_outcome_unknown(self) -> None:
        self.engine.result = None  # type: ignore[assignment]
        waiting = asyncio.ensure_future(self.relay())
        while not self.engine.received:
            await asyncio.sleep(0.01)
        self.link.__exit__(None, None, None)
        result = await asyncio.wait_for(waiting, 2.0)
        self.assertIsInstance(result, Unknown)
        self.assertFalse(getattr(result, "connection_lost", True))

    async def test_a_router_that_cannot_be_called_did_not_run_it(self) -> None:
        self.link.__exit__(None, None, None)
        result = await self.relay()
        self.assertEqual(result.code if isinstance(result, NotRun) else "", RELAY_GONE)

    async def test_who_does_not_hold_the_fleet_key_gets_nothing_relayed(self) -> None:
        calls = await self.calls_to(RelayService(self.side), token="another")
        result = await calls.relay("edge-1", REQUEST)
        self.assertIsInstance(result, NotRun)
        self.assertEqual(self.engine.received, [])

    async def test_a_router_of_an_older_version_is_not_taken_for_a_lost_hop(self) -> None:
        calls = await self.calls_to()
        result = await calls.relay("edge-1", REQUEST)
        self.assertEqual(result.code if isinstance(result, NotRun) else "", RELAY_UNSUPPORTED)

    async def test_a_router_relays_no_more_than_it_can(self) -> None:
        runs = [self.side.start(REQUEST) for _ in range(MAX_RELAYED + 1)]
        refused = runs[-1]
        self.assertEqual(refused.code if isinstance(refused, NotRun) else "", RELAY_BUSY)
        for run in runs[:-1]:
            assert not isinstance(run, NotRun)
            run.close()
        self.assertEqual(self.side.in_flight, 0)
        self.side.accepts_requests = False
        self.assertIsInstance(self.side.start(REQUEST), NotRun)
