"""Guards against misreading the load header.

A reader that accepts only three numbers rejects the header of an engine that adds its pace, and
then counts a refusal by an engine with free slots as "full".
"""

from __future__ import annotations

import unittest

from loguru import logger

from pondhatch.placement import Notice
from pondhatch.platform._engine_load import EngineLoad, read_load
from pondhatch.platform._engines import UNREADABLE_LOG_SECONDS, EngineDialect


class HeaderTest(unittest.TestCase):
    # An unreadable number hides no other one, and no number is guessed.
    def test_reads_the_valid_numbers_of_a_garbled_header(self) -> None:
        for value, expected in (
            ("8,1,64", EngineLoad(8, 1, 64)),
            (" 8 , 1 , 64 , 250 ", EngineLoad(8, 1, 64, 250)),
            ("0,0,64,0", EngineLoad(0, 0, 64)),
            ("8,1,64,10000", EngineLoad(8, 1, 64, 10_000)),
            ("8,1,64,10001", EngineLoad(8, 1, 64, 0, False)),
            ("8,1,64,-250", EngineLoad(8, 1, 64, 0, False)),
            ("8,1,64,2.5", EngineLoad(8, 1, 64, 0, False)),
            ("8,1,64,", EngineLoad(8, 1, 64, 0, False)),
            ("8,1,64,\u0662\u0665\u0660", EngineLoad(8, 1, 64, 0, False)),
            ("8,1,64," + "9" * 5000, EngineLoad(8, 1, 64, 0, False)),
            ("x,1,64,250", EngineLoad(None, 1, 64, 250, False)),
            (",,,250", EngineLoad(None, None, None, 250, False)),
            ("8,-1,64,250", EngineLoad(8, None, 64, 250, False)),
            ("8,1", EngineLoad(is_readable=False)),
            ("", EngineLoad(is_readable=False)),
            # Two headers that a hop joined: the fourth number is the second one's first.
            ("8,1,64,250,8,1,64,250", EngineLoad(is_readable=False)),
        ):
            with self.subTest(value=value[:40]):
                self.assertEqual(read_load({"instance-load": value}), expected)
        self.assertEqual(read_load({}), EngineLoad())

    def test_free_slots_are_read_from_a_header_with_a_pace(self) -> None:
        for value, has_free_slots in (
            ("8,1,64,250", True),
            ("64,0,64,250", False),
            ("8,,64,9", False),
        ):
            with self.subTest(value=value):
                self.assertIs(read_load({"instance-load": value}).has_free_slots, has_free_slots)

    def test_a_pace_is_read_from_every_answer(self) -> None:
        load = {"instance-load": "8,1,64,250"}
        for status, headers, notice in (
            (200, load, Notice(pace=250)),
            (500, {**load, "server-leaving": "1"}, Notice(is_leaving=True, pace=250)),
            (503, {**load, "retry-after": "2"}, Notice(False, 2.0, True, 250)),
            # Another engine may have answered at its address.
            (421, load, Notice()),
        ):
            with self.subTest(status=status):
                self.assertEqual(EngineDialect().notice(status, headers), notice)

    def test_an_unreadable_header_is_logged_once_a_minute(self) -> None:
        now, lines = 0.0, list[str]()
        dialect = EngineDialect(lambda: now)
        self.addCleanup(logger.remove, logger.add(lambda line: lines.append(str(line))))
        for now, logged in ((0.0, 1), (UNREADABLE_LOG_SECONDS - 1, 1), (UNREADABLE_LOG_SECONDS, 2)):  # noqa: B007
            dialect.notice(200, {"instance-load": "8,1,64,fast"})
            dialect.notice(200, {"instance-load": "8,1,64"})
            self.assertEqual(len(lines), logged)
