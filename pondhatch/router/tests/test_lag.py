"""Guards what operators see of a router whose configuration is behind: lag, records and log."""

from __future__ import annotations

import asyncio
import unittest

from loguru import logger

from fakes._virtual_loop import run_virtually
from pondhatch.configuration.tests.test_fleet import account, change
from pondhatch.membership import Member
from pondhatch.observing import StateChange
from pondhatch.router._lag import ConfigurationLag
from pondhatch.router._state_recorder import StateRecorder
from pondhatch.router.tests.test_state_recorder import RecordList
from pondhatch.router.tests.test_sync import FIRST, HeldByPeer, meet, new_peer_sync, router


class ConfigurationLagTest(unittest.TestCase):
    def test_it_counts_from_when_a_newer_version_is_first_known(self) -> None:
        lag = ConfigurationLag()
        for at, in_force, newest, expected in (
            (1.0, 3, 3, 0.0),
            (2.0, 3, 4, 0.0),
            (3.0, 3, 5, 1.0),
            (4.0, 4, 5, 2.0),
            (5.0, 5, 5, 0.0),
            (6.0, 5, 5, 0.0),
        ):
            lag.record_versions(in_force, newest, at)
            self.assertEqual(lag.seconds(at), expected, at)

    def test_a_newer_version_at_a_peer_counts(self) -> None:
        now = 0.0
        peer, state = router("r1"), router("r0")
        state.clock = lambda: now
        peer.apply_change(FIRST)
        meet(state, peer)
        for now, expected in ((1.0, 0.0), (3.5, 2.5)):
            state.tick()
            self.assertEqual(state.lag.seconds(now), expected)
        state.apply_change(FIRST)
        state.tick()
        self.assertEqual(state.lag.seconds(now), 0.0)


class ConfigurationSourceTest(unittest.TestCase):
    def test_the_record_names_the_source_of_a_version(self) -> None:
        peer, state = router("r1"), router("r0")
        for each in (FIRST, change(2, account("a"))):
            peer.apply_change(each)
        record_list = RecordList()
        recorder = StateRecorder(state, record_list)
        state.apply_change(FIRST)
        recorder.record_changes()
        state.apply_update(peer.update_since(1), peer.name)
        recorder.record_changes()
        whys = [each.why for each in record_list.records if isinstance(each, StateChange)]
        self.assertEqual(whys, ["the first, from the platform", "follows 1, from r1"])


class PullLogTest(unittest.TestCase):
    """Guards the log lines of slow and lost pulls, which name the peer and the seconds."""

    def log_lines(self, seconds: float, lost: bool) -> list[str]:
        peer, state = router("r1"), router("r0")
        peer.apply_change(FIRST)
        meet(state, peer)
        found: list[str] = []
        handler_id = logger.add(found.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, handler_id)

        async def pull(member: Member, configuration: int, upstreams: int) -> HeldByPeer | None:
            await asyncio.sleep(seconds)
            return None if lost else HeldByPeer(peer, configuration, upstreams)

        async def main() -> None:
            loop = asyncio.get_running_loop()
            state.clock = loop.time
            await new_peer_sync(state, pull).on_peer_ahead()
            # A slow pull goes on in the background.
            await asyncio.sleep(2.0)

        run_virtually(main())
        return [line.strip() for line in found]

    def test_lost_and_slow_pulls_are_logged(self) -> None:
        self.assertEqual(self.log_lines(0.1, lost=False), [])
        self.assertEqual(
            self.log_lines(1.25, lost=False), ["Router r1, which is ahead, took 1.25 s to answer."]
        )
        self.assertEqual(
            self.log_lines(2.0, lost=True),
            ["The pull from router r1, which is ahead, failed after 2.00 s."],
        )
