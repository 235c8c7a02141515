"""Where a broken stream goes on, inside one answer to its caller."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from unittest.mock import patch

from fakes._virtual_loop import run_virtually
from pondhatch.limits import RetryBudget
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


class ResumedDeliveryTest(unittest.TestCase):
    def deliver(self, *parts_before_cut: tuple[bytes, ...]) -> tuple[bytes, list[str]]:
        """Return what the caller got, and after which event each send asked to go on.

        The first answers break off after the stated parts; the next one goes on after the event
        that its request names, to the end.
        """
        received: list[bytes] = []
        asked: list[str] = []
        cut_answers = [ScriptedAnswer(parts, is_cut=True) for parts in parts_before_cut]

        async def send(_: Target, head: RequestHead, __: BodySource) -> AnswerStarted:
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
                delivered = await Delivery(dispatch, placed, Sink(received.append)).run()
            self.assertIsInstance(delivered.outcome, Whole)

        run_virtually(main())
        return received[-1], asked

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
