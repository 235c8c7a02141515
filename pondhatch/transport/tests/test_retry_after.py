"""Guards the parsing of Retry-After in all its forms."""

from __future__ import annotations

import unittest

from pondhatch.transport import seconds_to_wait

#: Sun, 06 Nov 1994 08:49:37 GMT.
MOMENT = 784111777.0


class SecondsToWaitTest(unittest.TestCase):
    def test_seconds_and_dates(self) -> None:
        for value, seconds in (
            ("3", 3.0),
            ("0.25", 0.25),
            (" 7 ", 7.0),
            ("Sun, 06 Nov 1994 08:49:47 GMT", 10.0),
            ("Sun, 06 Nov 1994 08:49:47 -0000", 10.0),
        ):
            with self.subTest(value):
                self.assertEqual(seconds_to_wait(value, MOMENT), seconds)

    def test_values_without_a_usable_delay_give_zero(self) -> None:
        for value in (
            "",
            "0",
            "-1",
            "nan",
            "inf",
            "1e999",
            "soon",
            "3 s",
            "Sun, 06 Nov 1994 08:49:27 GMT",
            "Sun, 99 Nov 1994 08:49:37 GMT",
            "Sun, 06 Nov 99999 08:49:37 GMT",
        ):
            with self.subTest(value):
                self.assertEqual(seconds_to_wait(value, MOMENT), 0.0)
