"""When an upstream's answer is complete, by its framing and by its content."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from msgspec.structs import replace

from pondhatch.requests import (
    AnswerLost,
    AnswerStarted,
    Framing,
    Headers,
    PartSink,
    RequestHead,
    checked,
)
from pondhatch.requests._checked_answer import MAX_HELD_BYTES

STREAM: Headers = (("Content-Type", "Text/Event-Stream; charset=utf-8"),)
PLAIN: Headers = (("Content-Type", "text/plain"),)
HEAD = RequestHead("q0", "a", "s", 0, "POST", "/", (), True, 10.0, 5)


class FakeAnswer:
    """An answer whose framing is complete after its parts; see AnswerStream."""

    def __init__(self, headers: Headers, parts: tuple[bytes, ...], status: int = 200) -> None:
        self.status = status
        self.headers = headers
        self._parts = parts

    async def stream_to(self, sink: PartSink) -> None:
        for part in self._parts:
            if not sink.write(part):
                await sink.ready()

    def cancel(self) -> None:
        """Do nothing."""


class RecordingSink:
    """Records what is written; see PartSink."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, part: bytes) -> bool:
        self.written += part
        return True

    async def ready(self) -> None:
        """Return at once."""


class LateSink(RecordingSink):
    """Records what is written only once it is awaited, as a relay's sink does; see PartSink."""

    def __init__(self) -> None:
        super().__init__()
        self._unsent = b""

    def write(self, part: bytes) -> bool:
        self._unsent += part
        return False

    async def ready(self) -> None:
        self.written += self._unsent
        self._unsent = b""


class CheckedAnswerCase(unittest.TestCase):
    def setUp(self) -> None:
        self.sink: RecordingSink = RecordingSink()
        self.probes = 0

    def probe(self, result: bool) -> Callable[[], asyncio.Future[bool]]:
        def lives_on() -> asyncio.Future[bool]:
            self.probes += 1
            found: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            found.set_result(result)
            return found

        return lives_on

    def is_complete(
        self,
        reply: AnswerStarted,
        head: RequestHead = HEAD,
        lives_on: bool = True,
    ) -> bool:
        async def main() -> bool:
            answer = checked(reply, head, "e0", self.probe(lives_on)).answer
            try:
                await answer.stream_to(self.sink)
            except AnswerLost as lost:
                self.assertTrue(lost.outcome.connection_lost)
                return False
            return True

        return asyncio.run(main())


class StreamTest(CheckedAnswerCase):
    def test_a_stream_that_ends_inside_an_event_is_cut_however_it_is_framed(self) -> None:
        for framing in Framing:
            for cut in (b"data: b", b"data: b\n", b"da", b"data: \xe2\x82", b": pi"):
                with self.subTest(framing=framing, cut=cut):
                    self.sink = RecordingSink()
                    reply = AnswerStarted(
                        FakeAnswer(STREAM, (b"data: a\n\n", cut)), "", "", framing
                    )
                    self.assertFalse(self.is_complete(reply))
                    self.assertEqual(self.sink.written, b"data: a\n\n")

    def test_a_stream_without_its_last_event_is_cut(self) -> None:
        for parts, is_complete in (((b"data: a\n\n",), False), ((b"data: [DONE]\r\n\r\n",), True)):
            reply = AnswerStarted(FakeAnswer(STREAM, parts), last_event=b"data: [DONE]")
            self.assertEqual(self.is_complete(reply), is_complete)

    def test_a_stream_that_ends_with_its_connection_needs_an_upstream_that_lives_on(self) -> None:
        resumed = RequestHead("q0", "a", "s", 0, "POST", "/", (), True, 10.0, 5, last_event_id="7")
        for head, parts in (
            (HEAD, (b"data: a\n\n",)),
            (resumed, (b"data: a\n\n",)),
            (resumed, (b": still here\n\n",)),
            (resumed, ()),
        ):
            with self.subTest(head=head.last_event_id, parts=parts):
                reply = AnswerStarted(FakeAnswer(STREAM, parts), "", "", Framing.CLOSE)
                self.assertTrue(self.is_complete(reply, head))
                self.assertFalse(self.is_complete(reply, head, lives_on=False))

    def test_a_stream_that_had_its_last_event_is_complete_though_its_upstream_ends(self) -> None:
        parts = (b"data: a\n\n", b"data: [DONE]\n\n")
        reply = AnswerStarted(
            FakeAnswer(STREAM, parts), framing=Framing.CLOSE, last_event=b"data: [DONE]"
        )
        self.assertTrue(self.is_complete(reply, lives_on=False))
        self.assertEqual(self.probes, 0)

    def test_a_stream_with_chunks_or_a_length_costs_no_probe(self) -> None:
        for framing in (Framing.CHUNKED, Framing.LENGTH):
            reply = AnswerStarted(FakeAnswer(STREAM, (b"data: a\n\n",)), "", "", framing)
            self.assertTrue(self.is_complete(reply, lives_on=False))
        self.assertEqual(self.probes, 0)

    def test_a_stream_that_closes_before_its_first_event_is_cut_unless_it_resumes(self) -> None:
        reply = AnswerStarted(FakeAnswer(STREAM, ()), "", "", Framing.CLOSE)
        self.assertFalse(self.is_complete(reply))
        resumed = RequestHead("q0", "a", "s", 0, "POST", "/", (), True, 10.0, 5, last_event_id="7")
        self.assertTrue(self.is_complete(reply, resumed))

    # A resumed stream was told to be as long as its first part.
    def test_the_length_of_a_stream_is_not_passed_on_and_that_of_another_answer_is(self) -> None:
        length = ("Content-Length", "9")
        for headers, passed_on in ((STREAM, STREAM), (PLAIN, (*PLAIN, length))):
            reply = AnswerStarted(FakeAnswer((*headers, length), ()), "", "", Framing.LENGTH)
            answer = checked(reply, HEAD, "e0", self.probe(True)).answer
            self.assertEqual(answer.headers, passed_on)


class PlainTest(CheckedAnswerCase):
    def test_nothing_of_a_short_answer_is_sent_before_its_upstream_is_known_to_live_on(
        self,
    ) -> None:
        reply = AnswerStarted(FakeAnswer(PLAIN, (b"a", b"b")), "", "", Framing.CLOSE)
        self.assertFalse(self.is_complete(reply, lives_on=False))
        self.assertEqual(self.sink.written, b"")
        self.assertTrue(self.is_complete(reply))
        self.assertEqual(self.sink.written, b"ab")

    def test_a_long_answer_is_passed_on_as_it_comes(self) -> None:
        parts = (b"a" * MAX_HELD_BYTES, b"b", b"c")
        reply = AnswerStarted(FakeAnswer(PLAIN, parts), "", "", Framing.CLOSE)
        self.assertFalse(self.is_complete(reply, lives_on=False))
        self.assertEqual(self.sink.written, b"".join(parts))

    def test_an_answer_with_a_length_or_chunks_is_passed_on_unchecked(self) -> None:
        for framing in (Framing.CHUNKED, Framing.LENGTH):
            reply = AnswerStarted(FakeAnswer(PLAIN, (b"data: a",)), "", "", framing)
            self.assertTrue(self.is_complete(reply, lives_on=False))
        self.assertEqual(self.probes, 0)

    # A relay of an older build reads some answers in another way than it passes their heads on.
    def test_a_body_is_as_long_as_its_caller_is_told(self) -> None:
        headers = (*PLAIN, ("Content-Length", "5"))
        for parts, is_complete, written in (
            ((b"hel", b"lo"), True, b"hello"),
            ((b"hel",), False, b"hel"),
            ((b"hel", b"lo and more"), False, b"hel"),
            ((b"hello", b"x"), False, b"hello"),
        ):
            with self.subTest(parts):
                self.sink = RecordingSink()
                reply = AnswerStarted(FakeAnswer(headers, parts), relayed_by="r1")
                self.assertEqual(self.is_complete(reply), is_complete)
                self.assertEqual(self.sink.written, written)

    def test_an_answer_without_a_body_may_tell_a_length(self) -> None:
        headers = (*PLAIN, ("Content-Length", "5"))
        reply = AnswerStarted(FakeAnswer(headers, ()), relayed_by="r1")
        self.assertTrue(self.is_complete(reply, replace(HEAD, method="HEAD")))
        not_modified = AnswerStarted(FakeAnswer(headers, (), status=304), relayed_by="r1")
        self.assertTrue(self.is_complete(not_modified))


class SlowSinkTest(CheckedAnswerCase):
    # A relay left out what was written to it last: the bodies of short answers.
    def test_what_is_held_back_until_the_end_is_written_though_the_sink_is_slow(self) -> None:
        for headers, parts in ((PLAIN, (b"a", b"b")), (STREAM, (b"data: a\n\n", b": bye\n"))):
            self.sink = LateSink()
            reply = AnswerStarted(FakeAnswer(headers, parts), "", "", Framing.CLOSE)
            self.assertTrue(self.is_complete(reply))
            self.assertEqual(self.sink.written, b"".join(parts))
