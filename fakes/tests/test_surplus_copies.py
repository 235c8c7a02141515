"""Stand-ins that send an answer a second time."""

from __future__ import annotations

import re
import socket
import unittest
from typing import ClassVar

from fakes._local_fleet import HOST, Backend, fetch
from fakes._machines_fleet import HALLS, MachinesFleet
from fakes._surplus import AT_ONCE, BEFORE_NEXT, FOR_SAME_ID, LATE, MOMENTS

#: Seconds without a byte after which nothing more is expected: longer than a late copy may take.
SILENCE_SECONDS = 0.3
_ANSWER = re.compile(rb"HTTP/1.1 (\d+).*?\r\nAttempt-Id: (\w+)\r\n", re.DOTALL)


class SurplusCopyTest(unittest.TestCase):
    """Three requests on one connection, the last with the id of the first, which is refused."""

    fleet: ClassVar[MachinesFleet]
    engine: ClassVar[Backend]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(MachinesFleet(log_level="ERROR"))
        cls.engine = cls.fleet.add_engine("i-0", "portal", HALLS[0])

    def answers(self, moment: str, path: str = "/x") -> list[list[tuple[str, int]]]:
        """Return the id and status of each answer that came after each request."""
        self.engine.arm("throttle")
        self.engine.arm(moment, 100)
        address = (HOST, int(self.engine.url.rpartition(":")[2]))
        with socket.create_connection(address) as connection:
            found = [self._answers_to(connection, name, path) for name in ("a", "b", "a")]
        self.engine.arm(moment, 0)
        return found

    def _answers_to(
        self, connection: socket.socket, attempt: str, path: str
    ) -> list[tuple[str, int]]:
        request = f"POST {path} HTTP/1.1\r\nHost: x\r\nExpect-Instance: i-0\r\n"
        connection.sendall(f"{request}Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n".encode())
        connection.settimeout(SILENCE_SECONDS)
        received = b""
        try:
            while part := connection.recv(65536):
                received += part
        except TimeoutError:
            pass
        return [(name.decode(), int(status)) for status, name in _ANSWER.findall(received)]

    def test_before_the_next_answer(self) -> None:
        self.assertEqual(
            self.answers(BEFORE_NEXT),
            [[("a", 429)], [("a", 429), ("b", 200)], [("b", 200), ("a", 200)]],
        )

    def test_late_and_at_once_follow_the_answer(self) -> None:
        twice = [[("a", 429)] * 2, [("b", 200)] * 2, [("a", 200)] * 2]
        for moment in (LATE, AT_ONCE):
            self.assertEqual(self.answers(moment), twice)

    def test_only_for_the_same_id(self) -> None:
        self.assertEqual(
            self.answers(FOR_SAME_ID), [[("a", 429)], [("b", 200)], [("a", 429), ("a", 200)]]
        )

    def test_streams_are_sent_again_and_each_copy_is_counted(self) -> None:
        before = len(fetch(f"{self.engine.url}/surplus"))
        answers = self.answers(AT_ONCE, "/notes/a")
        self.assertEqual(answers[1], [("b", 200)] * 2)
        self.assertEqual(len(fetch(f"{self.engine.url}/surplus")) - before, 3)

    def test_without_a_fault_each_answer_comes_once(self) -> None:
        self.assertEqual(self.answers("none"), [[("a", 429)], [("b", 200)], [("a", 200)]])
        self.assertNotIn("none", MOMENTS)
