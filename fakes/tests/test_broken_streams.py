"""A stream that ends inside an event has been broken off, however its answer is framed.

Guards against routers that judge an answer by its framing alone: an engine that ended closed its
connections cleanly, so a stream with neither a length nor chunks that ended inside an event reached
its caller as a complete one, and nobody resumed it.
"""

from __future__ import annotations

import http.client
import uuid
from dataclasses import dataclass

from fakes.tests.test_prepared_machines import KEY, WHOLE_STREAM, MachinesCase

#: A stream that may be resumed at another engine, and one that may not run twice.
RESUMABLE = "/notes/a"
UNREPEATABLE = "/proofs/stream"
#: Streams that earn a router the retry by which one is resumed.
EARNING_STREAMS = 8
#: More answers than a test asks for.
MANY = 100
#: Events before the one in which a stream ends early.
EVENTS_BEFORE_END = 2


@dataclass(frozen=True)
class Received:
    """What a caller received."""

    status: int
    body: bytes
    #: Whether the answer's framing says that it is complete.
    is_complete: bool


class BrokenStreamTest(MachinesCase):
    """Each test ends streams early at all engines."""

    def setUp(self) -> None:
        self.addCleanup(self.arm, "stop-early", 0)
        self.addCleanup(self.arm, "unframed", 0)

    def arm(self, fault: str, count: int) -> None:
        for engine in self.fleet.backends:
            engine.arm(fault, count)

    def read(self, path: str, attempt: str) -> Received:
        address = self.fleet.machine_routers[0].caller_url.removeprefix("http://")
        connection = http.client.HTTPConnection(address, timeout=10)
        headers = {
            "Host": "desk.example",
            "Attempt-Id": attempt,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": "5000",
        }
        body = b""
        try:
            connection.request("POST", path, b"x", headers)
            response = connection.getresponse()
            while part := response.read1(65536):
                body += part
        except (http.client.IncompleteRead, ConnectionError):
            return Received(response.status, body, is_complete=False)
        finally:
            connection.close()
        return Received(response.status, body, is_complete=True)

    def assert_is_resumed(self) -> None:
        """Assert that resumable streams arrive whole; each engine ends one early."""
        for _ in range(EARNING_STREAMS):
            self.read(RESUMABLE, uuid.uuid4().hex[:16])
        self.arm("stop-early", 1)
        received = self.read(RESUMABLE, uuid.uuid4().hex[:16])
        self.assertEqual(received, Received(200, WHOLE_STREAM, is_complete=True))

    def assert_is_broken_after_whole_events(self) -> None:
        """Assert that a stream that cannot be resumed ends unframed, after its last whole event."""
        self.arm("stop-early", MANY)
        attempt = uuid.uuid4().hex[:16]
        received = self.read(UNREPEATABLE, attempt)
        whole_events = b"\n\n".join(WHOLE_STREAM.split(b"\n\n")[:EVENTS_BEFORE_END]) + b"\n\n"
        self.assertEqual(received, Received(200, whole_events, is_complete=False))
        self.assertEqual(len(self.runs("portal", attempt)), 1)

    def test_a_resumable_stream_whose_engine_closes_inside_an_event_is_resumed(self) -> None:
        self.arm("unframed", MANY)
        self.assert_is_resumed()

    def test_a_resumable_stream_with_a_last_chunk_inside_an_event_is_resumed(self) -> None:
        self.assert_is_resumed()

    def test_a_stream_that_may_not_resume_and_closes_inside_an_event_is_broken(self) -> None:
        self.arm("unframed", MANY)
        self.assert_is_broken_after_whole_events()

    def test_a_stream_that_may_not_resume_and_has_a_last_chunk_inside_an_event_is_broken(
        self,
    ) -> None:
        self.assert_is_broken_after_whole_events()

    def test_a_whole_stream_that_ends_with_its_connection_is_complete(self) -> None:
        self.arm("unframed", MANY)
        for path in (RESUMABLE, UNREPEATABLE):
            with self.subTest(path):
                received = self.read(path, uuid.uuid4().hex[:16])
                self.assertEqual(received, Received(200, WHOLE_STREAM, is_complete=True))
