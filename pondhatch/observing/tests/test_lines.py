from __future__ import annotations

import json
import os
import unittest

from pondhatch.observing import Believed, LineRecords, LineWriter, RequestEnded
from pondhatch.observing._lines import MOST_WAITING


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.descriptor = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.lines = LineWriter(self.descriptor)
        self.is_open = True
        self.addCleanup(lambda: os.close(self.descriptor) if self.is_open else None)

    def read(self) -> list[bytes]:
        try:
            return os.read(self.reader, 10_000_000).splitlines()
        except BlockingIOError:
            return []

    def read_all(self) -> list[bytes]:
        found: list[bytes] = []
        rest = b""
        while True:
            self.lines.flush()
            try:
                rest += os.read(self.reader, 10_000_000)
            except BlockingIOError:
                break
        found += rest.splitlines()
        return found

    def test_lines_come_out_whole_and_in_order(self) -> None:
        for at in range(2000):
            self.lines.add(b"line %d" % at)
        self.assertEqual(self.read_all(), [b"line %d" % at for at in range(2000)])

    def test_nothing_is_written_before_a_flush(self) -> None:
        self.lines.add(b"one")
        self.assertEqual(self.read(), [])

    def test_a_line_longer_than_a_pipe_takes_at_once_comes_out_whole(self) -> None:
        self.lines.add(b"x" * 20_000)
        self.lines.add(b"after")
        self.assertEqual(self.read_all(), [b"x" * 20_000, b"after"])

    def test_a_reader_that_stops_costs_lines_which_are_counted(self) -> None:
        line = b"x" * 999
        many = 3 * MOST_WAITING // 1000
        for at in range(many):
            self.lines.add(line)
            if at % 100 == 0:
                self.lines.flush()
        found = self.read_all()
        dropped = [json.loads(each)["count"] for each in found if each.startswith(b"{")]
        self.assertEqual(sum(dropped) + found.count(line), many)
        self.assertGreater(sum(dropped), 0)

    def test_a_reader_that_is_gone_for_good_is_no_error(self) -> None:
        os.close(self.reader)
        self.reader = os.open("/dev/null", os.O_RDONLY)
        self.lines.add(b"one")
        self.lines.flush()
        self.lines.flush()


class RecordsTest(unittest.TestCase):
    def noted(self, record: RequestEnded | Believed) -> dict[str, object]:
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, descriptor)
        lines = LineWriter(descriptor)
        LineRecords("r0", lines).note(record)
        lines.flush()
        found: dict[str, object] = json.loads(os.read(reader, 10_000))
        self.assertIsInstance(found.pop("at"), float)
        return found

    def test_a_request(self) -> None:
        ended = RequestEnded("9c41", "pina", "lang", "whole", 120, "ab", 7, "i-1", 3, 9)
        self.assertEqual(
            self.noted(ended),
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

    def test_a_line_of_a_request_stays_small(self) -> None:
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
        self.assertLess(len(json.dumps(self.noted(ended))), 300)

    def test_a_belief(self) -> None:
        found = self.noted(Believed("upstream", "i-1", "leaving", 9))
        self.assertEqual(
            (found["event"], found["about"], found["version"]), ("belief", "upstream", 9)
        )
