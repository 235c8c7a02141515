"""Every change of what a router takes to be so leaves one record."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from fakes._entries import SERVICE, TEMPLATE
from fakes._platform_in_memory import PlatformInMemory
from fakes._virtual_loop import run_virtually
from pondhatch.configuration import Edit, Fleet, Misfit, Rejected, Snapshot, publish
from pondhatch.configuration.tests.test_fleet import account, change
from pondhatch.observing import Believed, Record
from pondhatch.observing._records import _sentence
from pondhatch.placement._health import FAILURES, FIRST_PASSED_OVER
from pondhatch.router import Beliefs
from pondhatch.router._beliefs import MOST_A_ROUND
from pondhatch.router.tests.test_sync import FIRST, meet, router, syncing
from pondhatch.store import LEAVING, Upstream, WatchEvent


class Kept:
    def __init__(self) -> None:
        self.records: list[Record] = []

    def note(self, record: Record) -> None:
        self.records.append(record)


class BeliefsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.state = router("r0")
        self.state.clock = lambda: self.now
        self.state.refresh()
        self.kept = Kept()
        self.beliefs = Beliefs(self.state, self.kept)
        self.looked()

    def looked(self) -> list[tuple[str, str, str, int]]:
        """Return what one look records: about what, which, what it is now, as of what."""
        self.kept.records.clear()
        self.beliefs.look()
        found = [each for each in self.kept.records if isinstance(each, Believed)]
        return [(each.about, each.name, each.now, each.version) for each in found]

    def upstream(self, name: str, version: int, state: str = "live") -> None:
        upstream = Upstream(name, "lang", "http://10.0.0.1:80", "h1", state)
        self.state.take_upstream_event(
            WatchEvent("set", version, name, msgspec.to_builtins(upstream))
        )

    def test_nothing_new_leaves_nothing(self) -> None:
        self.assertEqual(self.looked(), [])

    def test_a_configuration(self) -> None:
        self.state.take_change(FIRST)
        self.assertEqual(self.looked(), [("configuration", "", "in force", 1)])
        self.state.take_change(change(2, account("a")))
        self.assertEqual(self.looked(), [("configuration", "", "in force", 2)])
        self.assertEqual(self.looked(), [])

    def test_a_configuration_that_cannot_be_read(self) -> None:
        self.state.refused = Rejected(((("document", "main"), Misfit((), "none at all")),))
        self.assertEqual(self.looked(), [("configuration", "", "refused", 0)])
        self.state.refused = Rejected(((("document", "main"), Misfit((), "none at all")),))
        self.assertEqual(self.looked(), [])
        self.state.take_fleet(Fleet(version=5))
        self.assertEqual(
            self.looked(),
            [("configuration", "", "in force", 5), ("configuration", "", "taken again", 0)],
        )

    def test_an_entry_that_is_not_in_force_as_it_stands(self) -> None:
        wrong = Edit("account", "a", {"template": "none", "key_hashes": ["0" * 64]})
        self.state.take_fleet(Fleet.from_snapshot(Snapshot(3, (SERVICE, TEMPLATE, wrong))))
        self.assertEqual(
            self.looked(),
            [("configuration", "", "in force", 3), ("entry", "account a", "misfit", 3)],
        )
        (told,) = [each for each in self.kept.records if getattr(each, "about", "") == "entry"]
        self.assertIn("undefined template 'none'", str(told))
        self.assertEqual(self.looked(), [])
        self.state.take_fleet(Fleet.from_snapshot(Snapshot(4, (SERVICE, TEMPLATE))))
        self.assertEqual(
            self.looked(),
            [("configuration", "", "in force", 4), ("entry", "account a", "mended or gone", 4)],
        )

    def test_an_upstream_from_its_coming_to_its_going(self) -> None:
        self.upstream("e0", 5)
        self.assertEqual(self.looked(), [("upstream", "e0", "live", 5)])
        self.upstream("e0", 6, LEAVING)
        self.assertEqual(self.looked(), [("upstream", "e0", "leaving", 6)])
        self.state.take_upstream_event(WatchEvent("removed", 7, "e0"))
        self.assertEqual(self.looked(), [("upstream", "e0", "removed", 7)])

    def test_an_upstreams_health(self) -> None:
        for _ in range(FAILURES):
            self.state.health.failed("e0", 0.0)
        self.assertEqual(self.looked(), [("health", "e0", "down", 0)])
        self.state.health.answered("e0")
        self.assertEqual(self.looked(), [("health", "e0", "well", 0)])
        for _ in range(5):
            self.state.health.erred("e1", 0.0)
        self.assertEqual(self.looked(), [("health", "e1", "ailing", 0)])
        self.now = FIRST_PASSED_OVER
        self.assertEqual(self.looked(), [("health", "e1", "well", 0)])

    def test_a_router_that_comes_and_goes(self) -> None:
        peer = router("r1")
        meet(self.state, peer)
        self.assertEqual(self.looked(), [("router", "r1", "live", 0)])
        self.state.note_unreachable("r1")
        self.assertEqual(self.looked(), [("router", "r1", "out of reach", 0)])

    def test_the_platform_lost_and_answering_again(self) -> None:
        self.state.platform_lost = "no answer in 2.5 s"
        self.assertEqual(self.looked(), [("platform", "store", "lost", 0)])
        self.state.platform_lost = ""
        self.assertEqual(self.looked(), [("platform", "store", "answering", 0)])

    def test_a_flood_is_bounded_and_counted(self) -> None:
        for at in range(MOST_A_ROUND + 20):
            self.upstream(f"e{at}", at + 1)
        found = self.looked()
        self.assertEqual(len(found), MOST_A_ROUND + 1)
        self.assertEqual(found[-1], ("records", "", "20 left out", 0))

    def test_the_process(self) -> None:
        self.kept.records.clear()
        self.beliefs.note_process("draining", "2 requests in flight")
        self.assertEqual(
            self.kept.records, [Believed("process", "r0", "draining", why="2 requests in flight")]
        )


class PlatformLostTest(unittest.TestCase):
    def test_keeping_up_tells_when_the_platform_is_lost_and_back(self) -> None:
        async def main() -> tuple[str, str]:
            platform = PlatformInMemory()
            await publish(platform, FIRST)
            platform.faults.arm("outage", count=12)
            state = router("r0")
            state.refresh()
            task = asyncio.ensure_future(syncing(state, platform, None).run())
            await asyncio.sleep(0.1)
            during = state.platform_lost
            await asyncio.sleep(30)
            task.cancel()
            return during, state.platform_lost

        self.assertEqual(run_virtually(main()), ("outage", ""))

    def test_one_that_gives_its_watch_up_does_not_go_on_saying_so(self) -> None:
        states = [router(f"r{at}") for at in range(2)]
        for state, peer in (states, states[::-1]):
            meet(state, peer)
        state = next(each for each in states if not each.is_watcher())

        async def main() -> str:
            platform = PlatformInMemory()
            platform.faults.arm("outage", count=12)
            task = asyncio.ensure_future(syncing(state, platform, None).run())
            await asyncio.sleep(30)
            task.cancel()
            return state.platform_lost

        self.assertEqual(run_virtually(main()), "")


class SentenceTest(unittest.TestCase):
    def test_beliefs_read_as_sentences_for_people(self) -> None:
        rows = (
            (Believed("upstream", "e0", "live", 5, "new"), "Upstream e0 is live as of 5 (new)."),
            (Believed("configuration", "", "in force", 2), "Configuration is in force as of 2."),
            (Believed("router", "r1", "gone"), "Router r1 is gone."),
        )
        for belief, expected in rows:
            self.assertEqual(_sentence(belief), expected)
