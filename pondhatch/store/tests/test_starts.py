"""An upstream that starts again under its id: nothing known of the earlier start is used for it."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pondhatch.placement import Notice, name_of_start, ranked, upstream_id_of, winner
from pondhatch.router._upstream_changes import FLEET_START_SECONDS
from pondhatch.router.tests.test_sync import FIRST, router
from pondhatch.store import (
    LEAVING,
    LIVE,
    Listed,
    StoredObject,
    Upstream,
    UpstreamList,
    WatchEvent,
)

NOW = FLEET_START_SECONDS + 10


def value(name: str, start: int, state: str = LIVE) -> dict[str, Any]:
    """Return an entry as the adapter gives it."""
    upstream = Upstream(name, "lang", "http://10.0.0.1:80", "h1", state, slots=8, start=start)
    return dict(msgspec.to_builtins(upstream))


def heard(version: int, name: str, start: int, state: str = LIVE) -> WatchEvent:
    return WatchEvent("set", version, name, value(name, start, state))


def listed(version: int, *starts: tuple[str, int]) -> Listed:
    objects = [StoredObject("upstream", name, version, value(name, at)) for name, at in starts]
    return Listed(version, tuple(objects))


class StartedAgainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = router("r0")
        self.state.apply_change(FIRST)
        self.state.refresh_members()
        self.now = 0.0
        self.state.clock = lambda: self.now
        self.state.apply_listed_upstreams(listed(3, ("e0", 100), ("e1", 100)))
        self.now = NOW
        self.before = self.name("e0")

    def name(self, upstream_id: str) -> str:
        entry = self.state.upstreams.newest(upstream_id)
        assert entry is not None
        return entry.upstream.name

    def test_it_has_another_name_and_answers_to_the_same_id(self) -> None:
        self.state.apply_upstream_event(heard(5, "e0", 200))
        after = self.name("e0")
        self.assertNotEqual(after, self.before)
        target = self.state.target(after)
        assert target is not None
        self.assertEqual((target.instance, target.intake.accepts_new), ("e0", True))
        ended = self.state.target(self.before)
        self.assertTrue(ended is None or not ended.intake.accepts_new)
        self.assertEqual(len(self.state.live_upstreams("lang")), 2)

    def test_what_was_taken_to_be_so_of_the_earlier_start_ends_with_it(self) -> None:
        self.state.note_served(7, self.before)
        self.state.apply_notice(self.before, Notice(is_leaving=True))
        self.state.gate.try_grant(self.before, NOW, 1.0, 0, 1, 1, 0)
        self.state.apply_upstream_event(heard(5, "e0", 200))
        after = self.name("e0")
        self.assertNotEqual(self.state.last_served(7), after)
        self.assertFalse(self.state.notices.is_leaving(after, NOW))
        self.assertEqual(self.state.gate.in_flight(after, NOW), 0)
        target = self.state.target(after)
        assert target is not None
        self.assertTrue(target.intake.accepts_new)

    def test_it_joined_lately_and_has_not_vanished(self) -> None:
        self.state.apply_upstream_event(heard(5, "e0", 200))
        self.assertTrue(self.state.is_young(self.name("e0")))
        self.assertFalse(self.state.vanished)

    def test_one_that_lapsed_and_is_back_with_its_start_is_the_same(self) -> None:
        self.state.apply_upstream_event(WatchEvent("removed", 5, "e0"))
        self.state.apply_upstream_event(heard(6, "e0", 100))
        self.assertEqual(self.name("e0"), self.before)
        self.assertFalse(self.state.is_young(self.before))

    def test_one_that_lapsed_and_is_back_with_another_start_is_in_no_doubt(self) -> None:
        for name in ("e0", "e1"):
            self.state.apply_upstream_event(WatchEvent("removed", 5, name))
        self.assertEqual(len(self.state.live_upstreams("lang")), 2)
        for at, name in enumerate(("e0", "e1")):
            self.state.apply_upstream_event(heard(6 + at, name, 200))
        self.assertFalse(self.state.vanished)
        self.assertEqual(set(self.state.live_upstreams("lang")), {self.name("e0"), self.name("e1")})

    def test_a_late_word_of_the_earlier_start_brings_it_not_back(self) -> None:
        self.state.apply_upstream_event(heard(9, "e0", 200))
        after = self.name("e0")
        self.assertFalse(self.state.apply_upstream_event(heard(7, "e0", 100)))
        self.assertEqual(self.name("e0"), after)

    def test_a_start_whose_clock_stepped_back_is_the_newer_one_all_the_same(self) -> None:
        self.state.apply_upstream_event(heard(9, "e0", 50))
        self.assertEqual(self.name("e0"), "e0~50")

    def test_one_that_leaves_and_does_not_say_when_it_started_is_the_one_known(self) -> None:
        self.state.apply_upstream_event(heard(9, "e0", 0, LEAVING))
        self.assertEqual(self.name("e0"), self.before)
        self.assertEqual(len(self.state.live_upstreams("lang")), 1)

    def test_where_nobody_says_the_start_the_id_is_the_name(self) -> None:
        self.state.apply_upstream_event(heard(9, "e5", 0))
        self.assertEqual(self.name("e5"), "e5")
        target = self.state.target("e5")
        assert target is not None
        self.assertEqual(target.instance, "")

    def test_a_peer_hears_of_it_under_its_id_and_knows_the_same(self) -> None:
        peer = UpstreamList()
        peer.take(self.state.upstreams.since(0))
        self.state.apply_upstream_event(heard(5, "e0", 200))
        update = self.state.upstreams.since(3)
        self.assertEqual([each.upstream.name for each in update.entries], ["e0"])
        peer.take(update)
        self.assertEqual(
            [each.name for each in peer.of_service("lang")],
            [each.name for each in self.state.upstreams.of_service("lang")],
        )


class HomesTest(unittest.TestCase):
    def test_the_chats_of_one_that_starts_again_stay_where_they_are(self) -> None:
        ids = [f"e{at}" for at in range(9)]
        before = [name_of_start(each, 100) for each in ids]
        after = [name_of_start("e4", 200) if each == "e4~100" else each for each in before]
        for chat in map(str, range(200)):
            homes = [winner(chat, names) for names in (before, after)]
            self.assertEqual(upstream_id_of(homes[0] or ""), upstream_id_of(homes[1] or ""))
            self.assertEqual(
                [upstream_id_of(each) for each in ranked(chat, before)], list(ranked(chat, ids))
            )


class AnyOrderTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("e0", "e1")),
                st.sampled_from((0, 100, 200)),
                st.sampled_from((LIVE, LEAVING, "removed", "unreadable")),
            ),
            min_size=1,
            max_size=10,
        ),
        st.randoms(use_true_random=False),
    )
    def test_routers_that_hear_in_any_order_know_the_same_starts(
        self, steps: list[tuple[str, int, str]], rng: Any
    ) -> None:
        """Each router takes in parts of what the others hold, in any order and twice."""
        watcher = UpstreamList()
        updates = []
        for at, (name, start, state) in enumerate(steps):
            version = at + 1
            if state == "removed":
                watcher.remove(name, version)
            elif state == "unreadable":
                watcher.hold_back(name, version)
            else:
                upstream = Upstream(name, "lang", "http://x", "h1", state, start=start)
                watcher.set(upstream, version)
            updates.append(watcher.since(rng.randint(0, version)))
        peer = UpstreamList()
        shuffled = [*updates, *updates]
        rng.shuffle(shuffled)
        for update in [*shuffled, watcher.since(0)]:
            peer.take(update)
        self.assertEqual(peer.of_service("lang"), watcher.of_service("lang"))
        for name in ("e0", "e1"):
            self.assertEqual(peer.newest(name), watcher.newest(name))
