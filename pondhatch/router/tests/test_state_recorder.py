"""Guards the records of state changes: a change must leave exactly one, and a flood be bounded."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from fakes._entries import SERVICE, TEMPLATE
from fakes._platform_in_memory import PlatformInMemory
from fakes._virtual_loop import run_virtually
from pondhatch.configuration import Edit, FleetConfiguration, Misfit, Rejected, Snapshot, publish
from pondhatch.configuration.tests.test_fleet import account, change
from pondhatch.observing import Record, StateChange
from pondhatch.observing._records import _sentence
from pondhatch.placement._health import FAILURES_UNTIL_DOWN, FIRST_AILING_PAUSE
from pondhatch.router import StateRecorder
from pondhatch.router._state_recorder import MAX_RECORDS_PER_ROUND
from pondhatch.router.tests.test_sync import FIRST, meet, new_sync, router
from pondhatch.store import LEAVING, Upstream, WatchEvent


class RecordList:
    def __init__(self) -> None:
        self.records: list[Record] = []

    def write(self, record: Record) -> None:
        self.records.append(record)


class StateRecorderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.state = router("r0")
        self.state.clock = lambda: self.now
        self.state.refresh_members()
        self.record_list = RecordList()
        self.recorder = StateRecorder(self.state, self.record_list)
        self.new_records()

    def new_records(self) -> list[tuple[str, str, str, int]]:
        """Record changes; return the new records as (about, name, now, version)."""
        self.record_list.records.clear()
        self.recorder.record_changes()
        found = [each for each in self.record_list.records if isinstance(each, StateChange)]
        return [(each.about, each.name, each.now, each.version) for each in found]

    def set_upstream(self, name: str, version: int, state: str = "live") -> None:
        upstream = Upstream(name, "lang", "http://10.0.0.1:80", "h1", state)
        self.state.apply_upstream_event(
            WatchEvent("set", version, name, msgspec.to_builtins(upstream))
        )

    def test_no_change_leaves_no_record(self) -> None:
        self.assertEqual(self.new_records(), [])

    def test_a_new_configuration_is_recorded_once(self) -> None:
        self.state.apply_change(FIRST)
        self.assertEqual(self.new_records(), [("configuration", "", "in force", 1)])
        self.state.apply_change(change(2, account("a")))
        self.assertEqual(self.new_records(), [("configuration", "", "in force", 2)])
        self.assertEqual(self.new_records(), [])

    def test_a_rejected_configuration_and_its_end_are_recorded(self) -> None:
        self.state.rejected = Rejected(((("document", "main"), Misfit((), "none at all")),))
        self.assertEqual(self.new_records(), [("configuration", "", "refused", 0)])
        self.state.rejected = Rejected(((("document", "main"), Misfit((), "none at all")),))
        self.assertEqual(self.new_records(), [])
        self.state.apply_configuration(FleetConfiguration(version=5))
        self.assertEqual(
            self.new_records(),
            [("configuration", "", "in force", 5), ("configuration", "", "taken again", 0)],
        )

    def test_a_misfit_entry_and_its_end_are_recorded(self) -> None:
        wrong = Edit("account", "a", {"template": "none", "key_hashes": ["0" * 64]})
        self.state.apply_configuration(
            FleetConfiguration.from_snapshot(Snapshot(3, (SERVICE, TEMPLATE, wrong)))
        )
        self.assertEqual(
            self.new_records(),
            [("configuration", "", "in force", 3), ("entry", "account a", "misfit", 3)],
        )
        (record,) = [
            each for each in self.record_list.records if getattr(each, "about", "") == "entry"
        ]
        self.assertIn("undefined template 'none'", str(record))
        self.assertEqual(self.new_records(), [])
        self.state.apply_configuration(
            FleetConfiguration.from_snapshot(Snapshot(4, (SERVICE, TEMPLATE)))
        )
        self.assertEqual(
            self.new_records(),
            [("configuration", "", "in force", 4), ("entry", "account a", "mended or gone", 4)],
        )

    def test_each_state_of_an_upstream_is_recorded(self) -> None:
        self.set_upstream("e0", 5)
        self.assertEqual(self.new_records(), [("upstream", "e0", "live", 5)])
        self.set_upstream("e0", 6, LEAVING)
        self.assertEqual(self.new_records(), [("upstream", "e0", "leaving", 6)])
        self.state.apply_upstream_event(WatchEvent("removed", 7, "e0"))
        self.assertEqual(self.new_records(), [("upstream", "e0", "removed", 7)])

    def test_changes_of_an_upstreams_health_are_recorded(self) -> None:
        for _ in range(FAILURES_UNTIL_DOWN):
            self.state.health.record_failure("e0", 0.0)
        self.assertEqual(self.new_records(), [("health", "e0", "down", 0)])
        self.state.health.record_answer("e0")
        self.assertEqual(self.new_records(), [("health", "e0", "well", 0)])
        for _ in range(5):
            self.state.health.record_error("e1", 0.0)
        self.assertEqual(self.new_records(), [("health", "e1", "ailing", 0)])
        self.now = FIRST_AILING_PAUSE
        self.assertEqual(self.new_records(), [("health", "e1", "well", 0)])

    def test_a_router_that_joins_and_is_lost_is_recorded(self) -> None:
        peer = router("r1")
        meet(self.state, peer)
        self.assertEqual(self.new_records(), [("router", "r1", "live", 0)])
        self.state.note_unreachable("r1")
        self.assertEqual(self.new_records(), [("router", "r1", "out of reach", 0)])

    def test_loss_and_return_of_the_platform_are_recorded(self) -> None:
        self.state.platform_error = "no answer in 2.5 s"
        self.assertEqual(self.new_records(), [("platform", "store", "lost", 0)])
        self.state.platform_error = ""
        self.assertEqual(self.new_records(), [("platform", "store", "answering", 0)])

    def test_records_of_one_round_are_bounded_and_the_rest_counted(self) -> None:
        for index in range(MAX_RECORDS_PER_ROUND + 20):
            self.set_upstream(f"e{index}", index + 1)
        found = self.new_records()
        self.assertEqual(len(found), MAX_RECORDS_PER_ROUND + 1)
        self.assertEqual(found[-1], ("records", "", "20 left out", 0))

    def test_a_change_of_the_process_is_recorded(self) -> None:
        self.record_list.records.clear()
        self.recorder.record_process("draining", "2 requests in flight")
        self.assertEqual(
            self.record_list.records,
            [StateChange("process", "r0", "draining", why="2 requests in flight")],
        )


class PlatformLostTest(unittest.TestCase):
    def test_sync_notes_when_the_platform_is_lost_and_back(self) -> None:
        async def main() -> tuple[str, str]:
            platform = PlatformInMemory()
            await publish(platform, FIRST)
            platform.faults.arm("outage", count=12)
            state = router("r0")
            state.refresh_members()
            task = asyncio.ensure_future(new_sync(state, platform, None).run())
            await asyncio.sleep(0.1)
            during = state.platform_error
            await asyncio.sleep(30)
            task.cancel()
            return during, state.platform_error

        self.assertEqual(run_virtually(main()), ("outage", ""))

    def test_a_router_that_stops_watching_clears_the_platform_error(self) -> None:
        states = [router(f"r{index}") for index in range(2)]
        for state, peer in (states, states[::-1]):
            meet(state, peer)
        state = next(each for each in states if not each.is_watcher())

        async def main() -> str:
            platform = PlatformInMemory()
            platform.faults.arm("outage", count=12)
            task = asyncio.ensure_future(new_sync(state, platform, None).run())
            await asyncio.sleep(30)
            task.cancel()
            return state.platform_error

        self.assertEqual(run_virtually(main()), "")


class SentenceTest(unittest.TestCase):
    def test_records_read_as_sentences(self) -> None:
        rows = (
            (StateChange("upstream", "e0", "live", 5, "new"), "Upstream e0 is live as of 5 (new)."),
            (StateChange("configuration", "", "in force", 2), "Configuration is in force as of 2."),
            (StateChange("router", "r1", "gone"), "Router r1 is gone."),
        )
        for record, expected in rows:
            self.assertEqual(_sentence(record), expected)
