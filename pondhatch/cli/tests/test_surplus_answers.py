"""Guards against surplus answers that leave no line and no count."""

from __future__ import annotations

import unittest

import msgspec

from pondhatch.cli._surplus_answers import MAX_UPSTREAMS, SurplusAnswers
from pondhatch.explaining import build_timeline, read_lines
from pondhatch.observing import PrometheusMetrics, Record
from pondhatch.transport import SurplusAnswer

SKIPPED = SurplusAnswer("i-1", 503, "b", "a", 7, was_skipped=True)


class Lines:
    """Keeps each record as the line of a router; see Records."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, record: Record) -> None:
        body = msgspec.json.encode(record).decode()
        self.lines.append('{"at":1.0,"router":"r0",' + body[1:])


class SurplusAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = Lines()
        self.metrics = PrometheusMetrics("r0")
        self.surplus_answers = SurplusAnswers(self.records, self.metrics)

    def test_each_is_counted_by_outcome_and_by_upstream(self) -> None:
        for each in (SKIPPED, msgspec.structs.replace(SKIPPED, was_skipped=False)):
            self.surplus_answers.note_surplus(each)
        counts = self.metrics.count_by_name
        self.assertEqual(counts["surplus_answers.skipped"], 1)
        self.assertEqual(counts["surplus_answers.unproven"], 1)
        self.assertEqual(self.surplus_answers.count_by_upstream, {"i-1": 2})

    def test_its_line_explains_both_requests(self) -> None:
        self.surplus_answers.note_surplus(SKIPPED)
        lines = read_lines(self.records.lines).lines
        for name in ("a", "b"):
            (event,) = build_timeline(name, lines).events
            self.assertIn("request b received an answer 503 for request a from i-1", event.text)

    # Guards against a count for each start of each engine that ever was.
    def test_the_counts_by_upstream_are_bounded(self) -> None:
        for number in range(MAX_UPSTREAMS + 5):
            self.surplus_answers.note_surplus(
                msgspec.structs.replace(SKIPPED, upstream=f"i-{number}")
            )
        self.assertEqual(len(self.surplus_answers.count_by_upstream), MAX_UPSTREAMS)
        self.assertNotIn("i-0", self.surplus_answers.count_by_upstream)
