"""Timelines of requests and state changes, from the lines of routers whose clocks differ."""

from __future__ import annotations

import unittest

import msgspec

from pondhatch.explaining import Timeline, build_timeline, causal_order, read_lines
from pondhatch.observing import Record, RequestEnded, RequestRelayed, StateChange

LOST = RequestEnded(
    id="9c41",
    account="pina",
    service="lang",
    outcome="upstream-lost",
    ms=40,
    configuration=7,
    passed_over=(("i-1", "upstream-lost: i-1: reset"),),
)


def line(router: str, at: float, record: Record) -> str:
    """Return a line in the format that routers write."""
    body = msgspec.json.encode(record).decode()
    return f'{{"at":{at:.3f},"router":"{router}",{body[1:]}'


def in_force(version: int, source: str) -> StateChange:
    return StateChange("configuration", "", "in force", version, f"follows 1, from {source}")


class ReadingTest(unittest.TestCase):
    def test_records_are_read_behind_any_prefix(self) -> None:
        texts = [
            line("r0", 1.0, LOST),
            "   5.914 r1 " + line("r1", 2.0, in_force(7, "the platform")),
            '{"at":3.0,"router":"r1","event":"log","text":"no record"}',
            "2026-12-03 WARNING the store is slow",
            '{"at":',
            "",
        ]
        found = read_lines(texts)
        self.assertEqual([each.router for each in found.lines], ["r0", "r1"])
        self.assertEqual(found.lines[0].record, LOST)
        self.assertEqual(found.skipped, 4)


class OrderTest(unittest.TestCase):
    def routers(self, *texts: str) -> list[tuple[str, float]]:
        return [(each.router, each.at) for each in causal_order(read_lines(texts).lines)]

    def test_lines_are_ordered_by_time_without_contrary_evidence(self) -> None:
        first, second = line("r1", 1.0, LOST), line("r0", 2.0, LOST)
        self.assertEqual(self.routers(second, first), [("r1", 1.0), ("r0", 2.0)])

    def test_a_pulled_configuration_comes_after_its_source_had_it(self) -> None:
        """The clock of r1 is four seconds behind, so all its later lines must be shifted."""
        texts = (
            line("r0", 10.0, in_force(8, "the platform")),
            line("r0", 10.5, LOST),
            line("r1", 6.1, in_force(8, "r0")),
            line("r1", 6.7, LOST),
        )
        found = self.routers(*texts)
        self.assertEqual(found, [("r0", 10.0), ("r1", 6.1), ("r0", 10.5), ("r1", 6.7)])


class TimelineTest(unittest.TestCase):
    def timeline(self, name: str, *texts: str) -> Timeline:
        return build_timeline(name, read_lines(texts).lines)

    def test_a_failed_request_shows_what_was_known_and_what_followed(self) -> None:
        texts = (
            line("r0", 1.0, in_force(7, "the platform")),
            line("r0", 2.0, StateChange("upstream", "i-1", "live", 3, "new")),
            line("r0", 2.0, StateChange("upstream", "i-2", "live", 3, "new")),
            line("r0", 20.0, LOST),
            line("r1", 20.4, StateChange("upstream", "i-1", "removed", 9, "was live")),
            line("r1", 90.0, StateChange("upstream", "i-1", "live", 12, "was removed")),
        )
        timeline = self.timeline("9c41", *texts)
        self.assertEqual([each.router for each in timeline.events], ["r0", "r1"])
        self.assertIn("nobody can say whether it did", timeline.events[0].text)
        self.assertIn("i-1 did not take it: upstream-lost", timeline.events[0].text)
        self.assertIn("upstream i-1 is removed as of 9 (was live)", timeline.events[1].text)
        known = [each.text for each in timeline.known]
        self.assertEqual(
            known[0], "configuration is in force as of 7 (follows 1, from the platform)"
        )
        self.assertEqual(known[1:], ["upstream i-1 is live as of 3 (new)"])

    def test_a_digest_finds_all_attempts_at_a_request(self) -> None:
        cut = msgspec.structs.replace(LOST, digest="ab", cut_at=(("i-1", True),))
        other = msgspec.structs.replace(cut, id="9c42")
        suspected = StateChange("request", "ab", "suspected", why="i-1 ended while it ran it")
        texts = (line("r0", 1.0, cut), line("r1", 1.1, suspected), line("r1", 3.0, other))
        timeline = self.timeline("ab", *texts)
        self.assertEqual([each.router for each in timeline.events], ["r0", "r1", "r1"])
        self.assertIn("its run was cut at i-1, which ended", timeline.events[0].text)

    def test_a_relayed_request_is_followed_over_both_routers(self) -> None:
        relayed = RequestRelayed(
            id="9c41", entry="r0", upstream="i-1", outcome="upstream-lost", ms=38
        )
        ended = msgspec.structs.replace(LOST, relayed_by="r1")
        found = self.timeline("9c41", line("r1", 1.0, relayed), line("r0", 1.1, ended))
        self.assertEqual([event.router for event in found.events], ["r1", "r0"])
        self.assertIn("relayed for r0 to i-1", found.events[0].text)
        self.assertIn("r1 relayed its answer", found.events[1].text)

    def test_a_resumed_stream_names_its_software_versions_and_the_attempt_that_began_it(
        self,
    ) -> None:
        ended = msgspec.structs.replace(
            LOST, software_versions=("v1", "v2"), resumed_attempt="9c40"
        )
        (event,) = self.timeline("9c41", line("r0", 1.0, ended)).events
        self.assertIn("ran at software version v1, then v2", event.text)
        self.assertIn("resumed the stream that 9c40 began", event.text)

    def test_state_changes_are_found_by_name_or_version(self) -> None:
        texts = (
            line("r0", 1.0, in_force(7, "the platform")),
            line("r1", 1.2, in_force(7, "r0")),
            line("r1", 2.0, StateChange("notice", "i-1", "resting", why="new")),
        )
        self.assertEqual([each.router for each in self.timeline("7", *texts).events], ["r0", "r1"])
        self.assertEqual(self.timeline("i-1", *texts).events[0].text, "notice i-1 is resting (new)")
        self.assertEqual(self.timeline("i-9", *texts).events, ())
