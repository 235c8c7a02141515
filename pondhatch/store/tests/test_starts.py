"""Guards against applying state of an earlier start to an upstream that restarts with its id."""

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
    """Return an entry's value as the platform's adapter returns it."""
    upstream = Upstream(name, "lang", "http://10.0.0.1:80", "h1", state, slots=8, start=start)
    return dict(msgspec.to_builtins(upstream))


def set_event(version: int, name: str, start: int, state: str = LIVE) -> WatchEvent:
    return WatchEvent("set", version, name, value(name, start, state))


def listed(version: int, *starts: tuple[str, int]) -> Listed:
    objects = [
        StoredObject("upstream", name, version, value(name, start)) for name, start in starts
    ]
    return Listed(version, tuple(objects))


class RestartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = router("r0")
        self.state.apply_change(FIRST)
        self.state.refresh_members()
        self.now = 0.0
        self.state.clock = lambda: self.now
        self.state.apply_listed_upstreams(listed(3, ("e0", 100), ("e1", 100)))
        self.now = NOW
        self.old_name = self.current_name("e0")

    def current_name(self, upstream_id: str) -> str:
        entry = self.state.upstreams.newest_start(upstream_id)
        assert entry is not None
        return entry.upstream.name

    def test_a_restart_gets_another_name_and_keeps_its_id(self) -> None:
        self.state.apply_upstream_event(set_event(5, "e0", 200))
        after = self.current_name("e0")
        self.assertNotEqual(after, self.old_name)
        target = self.state.target(after)
        assert target is not None
        self.assertEqual((target.instance, target.intake.accepts_new), ("e0", True))
        ended = self.state.target(self.old_name)
        self.assertTrue(ended is None or not ended.intake.accepts_new)
        self.assertEqual(len(self.state.live_upstreams("lang")), 2)

    def test_state_of_the_earlier_start_is_dropped(self) -> None:
        self.state.note_served(7, self.old_name)
        self.state.apply_notice(self.old_name, Notice(is_leaving=True))
        self.state.gate.try_grant(self.old_name, NOW, 1.0, 0, 1, 1, 0)
        self.state.apply_upstream_event(set_event(5, "e0", 200))
        after = self.current_name("e0")
        self.assertNotEqual(self.state.last_served(7), after)
        self.assertFalse(self.state.notices.is_leaving(after, NOW))
        self.assertEqual(self.state.gate.in_flight(after, NOW), 0)
        target = self.state.target(after)
        assert target is not None
        self.assertTrue(target.intake.accepts_new)

    def test_a_restart_is_young_and_not_vanished(self) -> None:
        self.state.apply_upstream_event(set_event(5, "e0", 200))
        self.assertTrue(self.state.is_young(self.current_name("e0")))
        self.assertFalse(self.state.vanished)

    def test_a_lapsed_entry_that_returns_with_its_start_is_the_same(self) -> None:
        self.state.apply_upstream_event(WatchEvent("removed", 5, "e0"))
        self.state.apply_upstream_event(set_event(6, "e0", 100))
        self.assertEqual(self.current_name("e0"), self.old_name)
        self.assertFalse(self.state.is_young(self.old_name))

    def test_a_lapsed_entry_that_returns_with_another_start_is_not_in_doubt(self) -> None:
        for name in ("e0", "e1"):
            self.state.apply_upstream_event(WatchEvent("removed", 5, name))
        self.assertEqual(len(self.state.live_upstreams("lang")), 2)
        for index, name in enumerate(("e0", "e1")):
            self.state.apply_upstream_event(set_event(6 + index, name, 200))
        self.assertFalse(self.state.vanished)
        self.assertEqual(
            set(self.state.live_upstreams("lang")),
            {self.current_name("e0"), self.current_name("e1")},
        )

    def test_a_late_event_of_the_earlier_start_is_ignored(self) -> None:
        self.state.apply_upstream_event(set_event(9, "e0", 200))
        after = self.current_name("e0")
        self.assertFalse(self.state.apply_upstream_event(set_event(7, "e0", 100)))
        self.assertEqual(self.current_name("e0"), after)

    def test_a_start_after_a_clock_step_back_is_the_newer_one(self) -> None:
        self.state.apply_upstream_event(set_event(9, "e0", 50))
        self.assertEqual(self.current_name("e0"), "e0~50")

    def test_a_leaving_entry_without_a_start_is_the_known_start(self) -> None:
        self.state.apply_upstream_event(set_event(9, "e0", 0, LEAVING))
        self.assertEqual(self.current_name("e0"), self.old_name)
        self.assertEqual(len(self.state.live_upstreams("lang")), 1)

    def test_an_entry_without_a_start_is_named_by_its_id(self) -> None:
        self.state.apply_upstream_event(set_event(9, "e5", 0))
        self.assertEqual(self.current_name("e5"), "e5")
        target = self.state.target("e5")
        assert target is not None
        self.assertEqual(target.instance, "")

    def test_a_peer_receives_a_restart_under_its_id_and_names_it_alike(self) -> None:
        peer = UpstreamList()
        peer.apply_update(self.state.upstreams.update_since(0))
        self.state.apply_upstream_event(set_event(5, "e0", 200))
        update = self.state.upstreams.update_since(3)
        self.assertEqual([each.upstream.name for each in update.entries], ["e0"])
        peer.apply_update(update)
        self.assertEqual(
            [each.name for each in peer.of_service("lang")],
            [each.name for each in self.state.upstreams.of_service("lang")],
        )


class HomesTest(unittest.TestCase):
    def test_a_restarted_engine_keeps_its_chats(self) -> None:
        ids = [f"e{index}" for index in range(9)]
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
    def test_updates_in_any_order_converge_on_the_same_starts(
        self, steps: list[tuple[str, int, str]], rng: Any
    ) -> None:
        """The peer applies partial updates of the watcher in any order, each of them twice."""
        watcher = UpstreamList()
        updates = []
        for at, (name, start, state) in enumerate(steps):
            version = at + 1
            if state == "removed":
                watcher.remove(name, version)
            elif state == "unreadable":
                watcher.mark_unreadable(name, version)
            else:
                upstream = Upstream(name, "lang", "http://x", "h1", state, start=start)
                watcher.set(upstream, version)
            updates.append(watcher.update_since(rng.randint(0, version)))
        peer = UpstreamList()
        shuffled = [*updates, *updates]
        rng.shuffle(shuffled)
        for update in [*shuffled, watcher.update_since(0)]:
            peer.apply_update(update)
        self.assertEqual(peer.of_service("lang"), watcher.of_service("lang"))
        for name in ("e0", "e1"):
            self.assertEqual(peer.newest_start(name), watcher.newest_start(name))
