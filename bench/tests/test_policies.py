"""Reading of a day's report, and the table that compares ways."""

from __future__ import annotations

import unittest
from pathlib import Path

from bench._policies import DayResult, Run, RunFailed, format_table, read_report

REPORT = """built in 0.1 s; 21599 lines in 252 files
day                  own/srv  score  worth served refused failed  weakest part
busy                    8/22   0.75  0.751  0.953   0.030  0.005  nines 0.67

worth 0.751 = whole day 0.953 (weight 0.4), worst windows 0.815 (weight 0.15) less prices
how tries ended: 200: 5016; 401: 10; 500 from a server: 49; 503: 104
"""


class ReportTest(unittest.TestCase):
    def test_reads_result_and_broken_rules_of_a_report(self) -> None:
        self.assertEqual(read_report(REPORT), DayResult(0.751, 0.953, 104))
        broken = REPORT + "DRAIN at 10.48 s: a request reached a server\n"
        self.assertEqual(read_report(broken).broken_rules, ("DRAIN",))

    def test_a_report_without_refusals_counts_none(self) -> None:
        self.assertEqual(read_report(REPORT.replace("; 503: 104", "")).refused, 0)

    def test_a_run_without_a_result_has_failed(self) -> None:
        for text in ("", "given up after 546 s of processor time\n"):
            with self.subTest(text), self.assertRaises(RunFailed):
                read_report(text)


class TableTest(unittest.TestCase):
    def test_a_line_for_each_way_with_the_spread_over_seeds(self) -> None:
        site = Path("sites/desk.toml")
        played = {
            Run("a", site, "days/busy.toml", 1): DayResult(0.7, 0.9, 10),
            Run("a", site, "days/busy.toml", 2): DayResult(0.8, 1.0, 20, ("DRAIN",)),
            Run("b", site, "days/busy.toml", 1): DayResult(0.5, 0.6, 0),
        }
        _, first, second = format_table(played).splitlines()
        self.assertEqual(first.split()[:4], ["desk", "busy", "a", "0.750"])
        self.assertIn("(0.700 to 0.800)", first)
        self.assertTrue(first.endswith("15 DRAIN"))
        self.assertTrue(second.endswith("0 none"))
