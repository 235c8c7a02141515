"""What shows of a router whose configuration is behind."""

from __future__ import annotations

import asyncio
import unittest

from loguru import logger

from fakes._virtual_loop import run_virtually
from pondhatch.configuration.tests.test_fleet import account, change
from pondhatch.membership import Member
from pondhatch.observing import Believed
from pondhatch.router._lag import ConfigurationLag
from pondhatch.router._state_recorder import StateRecorder
from pondhatch.router.tests.test_beliefs import Kept
from pondhatch.router.tests.test_sync import FIRST, Lacking, meet, pulling, router


class LagTest(unittest.TestCase):
    def test_it_counts_from_the_first_word_of_a_newer_version(self) -> None:
        lag = ConfigurationLag()
        for at, in_force, newest, expected in (
            (1.0, 3, 3, 0.0),
            (2.0, 3, 4, 0.0),
            (3.0, 3, 5, 1.0),
            (4.0, 4, 5, 2.0),
            (5.0, 5, 5, 0.0),
            (6.0, 5, 5, 0.0),
        ):
            lag.note(in_force, newest, at)
            self.assertEqual(lag.seconds(at), expected, at)

    def test_a_router_knows_of_it_from_its_peers(self) -> None:
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


class SourceTest(unittest.TestCase):
    def test_the_record_names_who_gave_a_version(self) -> None:
        peer, state = router("r1"), router("r0")
        for each in (FIRST, change(2, account("a"))):
            peer.apply_change(each)
        kept = Kept()
        beliefs = StateRecorder(state, kept)
        state.apply_change(FIRST)
        beliefs.record_changes()
        state.apply_update(peer.update_since(1), peer.name)
        beliefs.record_changes()
        whys = [each.why for each in kept.records if isinstance(each, Believed)]
        self.assertEqual(whys, ["the first, from the platform", "follows 1, from r1"])


class PullLinesTest(unittest.TestCase):
    """A pull that is slow or lost is told, with whom was asked and for how long."""

    def lines(self, seconds: float, lost: bool) -> list[str]:
        peer, state = router("r1"), router("r0")
        peer.apply_change(FIRST)
        meet(state, peer)
        found: list[str] = []
        number = logger.add(found.append, level="INFO", format="{message}")
        self.addCleanup(logger.remove, number)

        async def pull(member: Member, configuration: int, upstreams: int) -> Lacking | None:
            await asyncio.sleep(seconds)
            return None if lost else Lacking(peer, configuration, upstreams)

        async def main() -> None:
            loop = asyncio.get_running_loop()
            state.clock = loop.time
            await pulling(state, pull).on_peer_ahead()
            # A slow one is waited for in the background.
            await asyncio.sleep(2.0)

        run_virtually(main())
        return [line.strip() for line in found]

    def test_what_was_lost_and_what_was_slow_is_told(self) -> None:
        self.assertEqual(self.lines(0.1, lost=False), [])
        self.assertEqual(
            self.lines(1.25, lost=False), ["Router r1, which is ahead, took 1.25 s to answer."]
        )
        self.assertEqual(
            self.lines(2.0, lost=True), ["Router r1, which is ahead, gave nothing in 2.00 s."]
        )
