"""Where a broken stream goes on, inside one answer to its caller."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Iterable
from unittest.mock import patch

from fakes._virtual_loop import run_virtually
from pondhatch.limits import RetryBudget
from pondhatch.placement._health import FAILURES_UNTIL_DOWN
from pondhatch.requests import (
    AnswerLost,
    AnswerStarted,
    Broken,
    Collaborators,
    Delivery,
    Dispatch,
    Headers,
    PartSink,
    Placed,
    ReplayableBody,
    RequestHead,
    Target,
    Whole,
)
from pondhatch.requests._messages import BodySource
from pondhatch.requests.tests._history import STREAM, Fleet, Sink

EVENTS = 4


def event(number: int) -> bytes:
    return f"id: {number}\ndata: {number}\n\n".encode()


class ScriptedAnswer:
    """An answer of stated parts, which then breaks off or ends; see AnswerStream."""

    def __init__(self, parts: Iterable[bytes], is_cut: bool) -> None:
        self.status = 200
        self.headers: Headers = STREAM
        self._parts = tuple(parts)
        self._is_cut = is_cut

    async def stream_to(self, sink: PartSink) -> None:
        for part in self._parts:
            if not sink.write(part):
                await sink.ready()
        if self._is_cut:
            raise AnswerLost(Broken("answer-broken", "cut", connection_lost=True))

    def cancel(self) -> None:
        """Do nothing."""


def mark_down(fleet: Fleet, engines: Iterable[str]) -> None:
    """Have all owners skip engines for now."""
    now = asyncio.get_running_loop().time()
    for engine in engines:
        for router in fleet.routers.values():
            for _ in range(FAILURES_UNTIL_DOWN):
                router.health.record_failure(engine, now)


class ResumedDeliveryTest(unittest.TestCase):
    def deliver(
        self, *parts_before_cut: tuple[bytes, ...], are_others_down: bool = False
    ) -> tuple[bytes, list[str]]:
        """Return what the caller got, and after which event each send asked to go on.

        The first answers break off after the stated parts; the next one goes on after the event
        that its request names, to the end. Meanwhile the engines that did not begin the first may
        be down. ``engines`` are those that the request was sent to.
        """
        self.engines: list[str] = []
        received: list[bytes] = []
        asked: list[str] = []
        cut_answers = [ScriptedAnswer(parts, is_cut=True) for parts in parts_before_cut]

        async def send(target: Target, head: RequestHead, _: BodySource) -> AnswerStarted:
            self.engines.append(target.name)
            asked.append(head.last_event_id)
            if cut_answers:
                return AnswerStarted(cut_answers.pop(0))
            rest = range(int(head.last_event_id or 0) + 1, EVENTS + 1)
            return AnswerStarted(ScriptedAnswer(map(event, rest), is_cut=False))

        async def main() -> None:
            fleet = Fleet([], [], False)
            router = fleet.routers["r0"]
            head = RequestHead(
                *("q0", "a", "s", 7, "POST", "/", (), True, 10.0, 5), resumes_anywhere=True
            )
            dispatch = Dispatch(
                router.view,
                Collaborators(router.entry, fleet.upstreams),
                RetryBudget(),
                head,
                ReplayableBody(b"body"),
                lambda: 10.0,
            )
            with patch.object(fleet.upstreams, "send", send):
                placed = await dispatch.run()
                assert isinstance(placed, Placed)
                if are_others_down:
                    mark_down(fleet, set(fleet.engines) - {placed.engine})
                delivered = await Delivery(dispatch, placed, Sink(received.append)).run()
            self.assertIsInstance(delivered.outcome, Whole)

        run_virtually(main())
        return received[-1], asked

    # The stream ended though its engine, which was not down, would have gone on with it.
    def test_a_stream_goes_on_at_the_engine_that_cut_it_where_the_others_are_down(self) -> None:
        for is_down, engines_asked in ((False, 2), (True, 1)):
            with self.subTest(is_down=is_down):
                received, _ = self.deliver((event(1),), are_others_down=is_down)
                self.assertEqual(received, b"".join(map(event, range(1, EVENTS + 1))))
                self.assertEqual(len(set(self.engines)), engines_asked)

    # After a comment that came by itself, the stream began anew inside the answer.
    def test_a_stream_that_breaks_after_a_comment_goes_on_after_its_last_event(self) -> None:
        comment = b": keep-alive\n\n"
        received, asked = self.deliver((event(1), event(2), comment), (event(3), comment))
        self.assertEqual(asked, ["", "2", "3"])
        parts = (event(1), event(2), comment, event(3), comment, event(4))
        self.assertEqual(received, b"".join(parts))

    def test_a_stream_that_breaks_after_comments_alone_goes_on_where_the_answer_began(self) -> None:
        comment = b": keep-alive\n\n"
        received, asked = self.deliver((event(1),), (comment,))
        self.assertEqual(asked, ["", "1", "1"])
        self.assertEqual(received, event(1) + comment + b"".join(map(event, range(2, EVENTS + 1))))
