from __future__ import annotations

import json
import os
import unittest

from pondhatch.observing import LineRecords, LineWriter, RequestEnded, StateChange
from pondhatch.observing._line_writer import MAX_BUFFERED_BYTES


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.descriptor = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.writer = LineWriter(self.descriptor)
        self.is_open = True
        self.addCleanup(lambda: os.close(self.descriptor) if self.is_open else None)

    def read(self) -> list[bytes]:
        try:
            return os.read(self.reader, 10_000_000).splitlines()
        except BlockingIOError:
            return []

    def read_all(self) -> list[bytes]:
        lines: list[bytes] = []
        rest = b""
        while True:
            self.writer.flush()
            try:
                rest += os.read(self.reader, 10_000_000)
            except BlockingIOError:
                break
        lines += rest.splitlines()
        return lines

    def test_lines_are_written_whole_and_in_order(self) -> None:
        for index in range(2000):
            self.writer.add(b"line %d" % index)
        self.assertEqual(self.read_all(), [b"line %d" % number for number in range(2000)])

    def test_nothing_is_written_before_a_flush(self) -> None:
        self.writer.add(b"one")
        self.assertEqual(self.read(), [])

    def test_a_line_longer_than_one_write_is_written_whole(self) -> None:
        self.writer.add(b"x" * 20_000)
        self.writer.add(b"after")
        self.assertEqual(self.read_all(), [b"x" * 20_000, b"after"])

    def test_lines_dropped_for_a_stopped_reader_are_counted(self) -> None:
        line = b"x" * 999
        line_count = 3 * MAX_BUFFERED_BYTES // 1000
        for index in range(line_count):
            self.writer.add(line)
            if index % 100 == 0:
                self.writer.flush()
        lines = self.read_all()
        dropped = [json.loads(each)["count"] for each in lines if each.startswith(b"{")]
        self.assertEqual(sum(dropped) + lines.count(line), line_count)
        self.assertGreater(sum(dropped), 0)

    def test_a_closed_reader_is_no_error(self) -> None:
        os.close(self.reader)
        self.reader = os.open("/dev/null", os.O_RDONLY)
        self.writer.add(b"one")
        self.writer.flush()
        self.writer.flush()


class RecordsTest(unittest.TestCase):
    def written(self, record: RequestEnded | StateChange) -> dict[str, object]:
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, descriptor)
        writer = LineWriter(descriptor)
        LineRecords("r0", writer).write(record)
        writer.flush()
        found: dict[str, object] = json.loads(os.read(reader, 10_000))
        self.assertIsInstance(found.pop("at"), float)
        return found

    def test_a_request_is_written_under_its_field_names(self) -> None:
        ended = RequestEnded("9c41", "pina", "lang", "whole", 120, "ab", 7, "i-1", 3, 9)
        self.assertEqual(
            self.written(ended),
            {
                "router": "r0",
                "event": "request",
                "id": "9c41",
                "account": "pina",
                "service": "lang",
                "outcome": "whole",
                "ms": 120,
                "context": "ab",
                "configuration": 7,
                "upstream": "i-1",
                "in_flight": 3,
                "ceiling": 9,
            },
        )

    def test_the_line_of_a_request_stays_under_300_bytes(self) -> None:
        ended = RequestEnded(
            "9c41d07be2a35f68",
            "hule930",
            "huvo11a",
            "whole",
            1234,
            "f" * 16,
            70,
            "i-7f3a91c2aa",
            31,
            44,
        )
        self.assertLess(len(json.dumps(self.written(ended))), 300)

    def test_a_state_change_is_written_as_a_belief(self) -> None:
        found = self.written(StateChange("upstream", "i-1", "leaving", 9))
        self.assertEqual(
            (found["event"], found["about"], found["version"]), ("belief", "upstream", 9)
        )
