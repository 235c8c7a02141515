"""Guards against answers whose heads have no end, or that take whole turns of the event loop."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.protocols.policies import WrappingFactory
from twisted.python.failure import Failure

from pondhatch.standard._limited_agent import (
    MAX_INTERIM_RESPONSES,
    SLICE_BYTES,
    LimitedConnection,
)
from pondhatch.transport import ReadingTurns
from pondhatch.transport._answer_heads import MAX_HEAD_BYTES

#: Seconds that the reader takes for a part: more than a turn of the loop has for all answers.
PART_SECONDS = 0.01
#: Answers that arrive at the same time.
ANSWERS = 8
HEAD = b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"
LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class _Reader(Protocol):
    """Records what it is given."""

    transport: Any

    def __init__(self, take_time: Callable[[], None]) -> None:
        self.parts: list[bytes] = []
        self._take_time = take_time
        self.is_lost = False
        #: Called with each part.
        self.react: Any = lambda: None

    def dataReceived(self, data: bytes) -> None:
        self.parts.append(data)
        self._take_time()
        self.react()

    def connectionLost(self, reason: Any = None) -> None:
        self.is_lost = True

    @property
    def content(self) -> bytes:
        return b"".join(self.parts)


class LimitedConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.now = Clock(), 0.0
        self.next_turn: list[Callable[[], None]] = []
        self.turns = ReadingTurns(lambda: self.now, self.next_turn.append)
        self.connection, self.reader, self.transport = self.connect()

    def connect(self) -> tuple[LimitedConnection, _Reader, Any]:
        """Return a new connection with its reader and its transport."""
        owner: Any = WrappingFactory(Factory())
        reader, transport = _Reader(self.take_time), StringTransport()
        connection = LimitedConnection(owner, reader, self.clock, self.turns)
        connection.makeConnection(transport)  # type: ignore[no-untyped-call]
        return connection, reader, transport

    def take_time(self) -> None:
        self.now += PART_SECONDS

    def receive(self, data: bytes) -> None:
        self.connection.dataReceived(data)

    def lose(self) -> None:
        self.connection.connectionLost(Failure(ConnectionDone()))

    def run_turns(self, turns: int = 200) -> None:
        for _ in range(turns):
            callbacks = tuple(self.next_turn)
            self.next_turn.clear()
            for each in callbacks:
                each()
            self.clock.advance(0)

    def test_interim_responses_are_dropped_up_to_a_limit(self) -> None:
        self.receive(INTERIM * MAX_INTERIM_RESPONSES + HEAD)
        self.assertEqual(self.reader.content, HEAD)
        self.assertFalse(self.transport.disconnected)

    def test_interim_responses_without_end_close_the_connection(self) -> None:
        self.receive(INTERIM * (MAX_INTERIM_RESPONSES + 1))
        self.assertTrue(self.transport.disconnected)
        self.assertEqual(self.reader.content, b"")

    def test_a_head_without_end_closes_the_connection(self) -> None:
        for line in (b"X-More: and more\r\n", b"x"):
            with self.subTest(line=line):
                self.setUp()
                self.receive(b"HTTP/1.1 200 OK\r\n")
                for _ in range(MAX_HEAD_BYTES // len(line) + 1):
                    self.receive(line)
                self.assertTrue(self.transport.disconnected)
                self.assertEqual(self.reader.content, b"")
                self.receive(HEAD)
                self.run_turns()
                self.assertEqual(self.reader.content, b"")

    # Guards against answers of other meaning than their senders', which Twisted's client accepts.
    def test_a_spoilt_head_closes_the_connection(self) -> None:
        for content in (
            b"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 5\r\n\r\n",
            b"HTTQ/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"no answer",
        ):
            with self.subTest(content):
                self.setUp()
                self.receive(content)
                self.run_turns()
                self.assertTrue(self.transport.disconnected)
                self.assertEqual(self.reader.content, b"")

    def test_an_answer_that_goes_on_after_its_length_closes_the_connection(self) -> None:
        for head, body in ((LENGTH_HEAD, b"hello"), (b"HTTP/1.1 204 No Content\r\n\r\n", b"")):
            for splits in ((body + b"x",), (body[:2], body[2:] + b"x")):
                with self.subTest(head=head, splits=splits):
                    self.setUp()
                    self.receive(head)
                    for each in splits:
                        self.receive(each)
                    self.run_turns()
                    self.assertTrue(self.transport.disconnected)
                    self.assertNotEqual(self.reader.content, LENGTH_HEAD + b"hello")

    def test_another_answer_after_the_first_is_left_out(self) -> None:
        for another in (LENGTH_HEAD + b"hello", b"HTTP/1", b"H"):
            with self.subTest(another):
                self.setUp()
                self.receive(LENGTH_HEAD + b"hello" + another)
                self.run_turns()
                self.assertFalse(self.transport.disconnected)
                self.assertEqual(self.reader.content, LENGTH_HEAD + b"hello")

    def test_an_answer_is_passed_on_in_slices_while_nothing_is_read(self) -> None:
        body = b"x" * (3 * SLICE_BYTES)
        self.receive(HEAD + body)
        self.assertEqual(len(self.reader.content), SLICE_BYTES)
        self.assertEqual(self.transport.producerState, "paused")
        self.run_turns()
        self.assertEqual(self.reader.content, HEAD + body)
        self.assertEqual(self.transport.producerState, "producing")

    # Guards against several answers that each take a share of the same turn of the loop.
    def test_many_answers_are_passed_on_in_rotation(self) -> None:
        body = b"x" * (4 * SLICE_BYTES)
        readers = []
        for _ in range(ANSWERS):
            connection, reader, _ = self.connect()
            connection.dataReceived(HEAD + body)
            readers.append(reader)
        began = self.now
        self.run_turns(ANSWERS)
        # Each turn bears one part of one of them.
        self.assertAlmostEqual(self.now - began, ANSWERS * PART_SECONDS)
        self.assertEqual({len(each.content) for each in readers}, {2 * SLICE_BYTES})
        self.run_turns()
        self.assertEqual({each.content for each in readers}, {HEAD + body})

    def test_a_paused_reader_gets_nothing_until_it_goes_on(self) -> None:
        self.receive(HEAD)
        self.connection.pauseProducing()
        self.receive(b"abc")
        self.run_turns()
        self.assertEqual(self.reader.content, HEAD)
        self.connection.resumeProducing()
        self.run_turns()
        self.assertEqual(self.reader.content, HEAD + b"abc")

    def test_a_loss_is_reported_after_the_bytes_before_it(self) -> None:
        body = b"x" * (3 * SLICE_BYTES)
        self.receive(HEAD + body)
        self.lose()
        self.assertFalse(self.reader.is_lost)
        self.run_turns()
        self.assertEqual(self.reader.content, HEAD + body)
        self.assertTrue(self.reader.is_lost)

    def test_a_reader_that_closes_gets_nothing_more_and_one_loss(self) -> None:
        self.receive(HEAD + b"x" * (3 * SLICE_BYTES))
        self.lose()
        self.reader.react = self.connection.loseConnection
        self.run_turns()
        self.assertEqual(len(self.reader.content), 2 * SLICE_BYTES)
        self.assertTrue(self.reader.is_lost)


if __name__ == "__main__":
    unittest.main()
