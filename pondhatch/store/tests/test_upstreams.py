from __future__ import annotations

import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from pondhatch.store import REMOVED, Upstream, UpstreamEntry, UpstreamList, UpstreamUpdate
from pondhatch.store._upstreams import MAX_REMOVED


def upstream(name: str, state: str = "live") -> Upstream:
    return Upstream(name, "lang", "http://10.0.0.1:1", "h1", state)


class UpstreamListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.upstreams = UpstreamList()
        for index in range(3):
            self.upstreams.set(upstream(f"e{index}"), index + 1)

    def test_a_peer_gets_only_the_entries_that_it_lacks(self) -> None:
        update = self.upstreams.update_since(2)
        self.assertEqual([each.upstream.name for each in update.entries], ["e2"])
        self.assertEqual((update.version, update.whole), (3, False))

    def test_removals_reach_peers_that_are_behind(self) -> None:
        peer = UpstreamList()
        peer.apply_update(self.upstreams.update_since(0))
        self.upstreams.remove("e1", 9)
        peer.apply_update(self.upstreams.update_since(3))
        self.assertIsNone(peer.upstream("e1"))
        self.assertEqual(peer.entry_by_name["e1"].upstream.state, REMOVED)

    def test_a_listing_removes_missing_entries_even_at_its_newest_entrys_version(self) -> None:
        held = UpstreamList()
        for number in (1, 2):
            held.set(Upstream(f"e{number}", "lang", "http://x", "h1"), number)
        newest = UpstreamEntry(Upstream("e3", "lang", "http://x", "h1"), 5)
        held.apply_update(UpstreamUpdate(5, (newest,), whole=True))
        self.assertEqual([each.name for each in held.of_service("lang")], ["e3"])

    def test_a_removed_upstream_may_come_back(self) -> None:
        self.upstreams.remove("e1", 9)
        self.assertFalse(self.upstreams.set(upstream("e1"), 8))
        self.assertTrue(self.upstreams.set(upstream("e1"), 10))
        self.assertIsNotNone(self.upstreams.upstream("e1"))

    def test_a_peer_older_than_the_kept_removals_gets_the_whole_list(self) -> None:
        version = 10
        for index in range(MAX_REMOVED + 5):
            self.upstreams.set(upstream(f"gone-{index}"), version)
            self.upstreams.remove(f"gone-{index}", version + 1)
            version += 2
        self.assertTrue(self.upstreams.update_since(4).whole)
        self.assertFalse(self.upstreams.update_since(version - 10).whole)
        self.assertLessEqual(len(self.upstreams.entry_by_name), MAX_REMOVED + 3)

    def test_applying_a_listing_scans_the_whole_list_once(self) -> None:
        entries = tuple(UpstreamEntry(upstream(f"n{index}"), 20 + index) for index in range(50))
        drop = UpstreamList._drop_oldest_removed
        with patch.object(UpstreamList, "_drop_oldest_removed", autospec=True) as dropped:
            dropped.side_effect = drop
            self.upstreams.apply_update(UpstreamUpdate(80, entries, whole=True))
        self.assertEqual(dropped.call_count, 1)
        self.assertEqual(len(self.upstreams.of_service("lang")), 50)
        self.assertIsNone(self.upstreams.upstream("e0"))

    @settings(max_examples=200, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from(("live", "leaving"))), max_size=12
        ),
        st.randoms(use_true_random=False),
    )
    def test_changes_in_any_order_end_in_the_newest_state(
        self, steps: list[tuple[str, str]], rng: object
    ) -> None:
        changes = [(upstream(name, state), at + 1) for at, (name, state) in enumerate(steps)]
        shuffled = list(changes) * 2
        rng.shuffle(shuffled)  # type: ignore[attr-defined]
        in_order, out_of_order = UpstreamList(), UpstreamList()
        for each, version in changes:
            in_order.set(each, version)
        for each, version in shuffled:
            out_of_order.set(each, version)
        self.assertEqual(in_order.entry_by_name, out_of_order.entry_by_name)
