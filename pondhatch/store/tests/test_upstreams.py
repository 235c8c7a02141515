from __future__ import annotations

import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from pondhatch.store import REMOVED, Upstream, UpstreamEntry, UpstreamList, UpstreamUpdate
from pondhatch.store._upstreams import KEPT_REMOVED


def upstream(name: str, state: str = "live") -> Upstream:
    return Upstream(name, "lang", "http://10.0.0.1:1", "h1", state)


class UpstreamListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.known = UpstreamList()
        for at in range(3):
            self.known.set(upstream(f"e{at}"), at + 1)

    def test_a_peer_gets_just_what_it_lacks(self) -> None:
        update = self.known.since(2)
        self.assertEqual([each.upstream.name for each in update.entries], ["e2"])
        self.assertEqual((update.version, update.whole), (3, False))

    def test_removals_reach_peers_that_are_behind(self) -> None:
        peer = UpstreamList()
        peer.take(self.known.since(0))
        self.known.remove("e1", 9)
        peer.take(self.known.since(3))
        self.assertIsNone(peer.upstream("e1"))
        self.assertEqual(peer.entry_by_name["e1"].upstream.state, REMOVED)

    def test_a_listing_removes_what_it_lacks_though_its_newest_entry_made_its_version(self) -> None:
        held = UpstreamList()
        for at in (1, 2):
            held.set(Upstream(f"e{at}", "lang", "http://x", "h1"), at)
        newest = UpstreamEntry(Upstream("e3", "lang", "http://x", "h1"), 5)
        held.take(UpstreamUpdate(5, (newest,), whole=True))
        self.assertEqual([each.name for each in held.of_service("lang")], ["e3"])

    def test_one_that_was_removed_may_come_back(self) -> None:
        self.known.remove("e1", 9)
        self.assertFalse(self.known.set(upstream("e1"), 8))
        self.assertTrue(self.known.set(upstream("e1"), 10))
        self.assertIsNotNone(self.known.upstream("e1"))

    def test_whoever_is_too_far_behind_for_the_kept_removals_gets_all(self) -> None:
        version = 10
        for at in range(KEPT_REMOVED + 5):
            self.known.set(upstream(f"gone-{at}"), version)
            self.known.remove(f"gone-{at}", version + 1)
            version += 2
        self.assertTrue(self.known.since(4).whole)
        self.assertFalse(self.known.since(version - 10).whole)
        self.assertLessEqual(len(self.known.entry_by_name), KEPT_REMOVED + 3)

    def test_a_listing_goes_through_the_whole_list_once_however_long_it_is(self) -> None:
        entries = tuple(UpstreamEntry(upstream(f"n{at}"), 20 + at) for at in range(50))
        drop = UpstreamList._drop_oldest_removed
        with patch.object(UpstreamList, "_drop_oldest_removed", autospec=True) as dropped:
            dropped.side_effect = drop
            self.known.take(UpstreamUpdate(80, entries, whole=True))
        self.assertEqual(dropped.call_count, 1)
        self.assertEqual(len(self.known.of_service("lang")), 50)
        self.assertIsNone(self.known.upstream("e0"))

    @settings(max_examples=200, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from(("live", "leaving"))), max_size=12
        ),
        st.randoms(use_true_random=False),
    )
    def test_any_order_of_news_ends_in_the_newest_state(
        self, steps: list[tuple[str, str]], rng: object
    ) -> None:
        news = [(upstream(name, state), at + 1) for at, (name, state) in enumerate(steps)]
        shuffled = list(news) * 2
        rng.shuffle(shuffled)  # type: ignore[attr-defined]
        in_order, out_of_order = UpstreamList(), UpstreamList()
        for each, version in news:
            in_order.set(each, version)
        for each, version in shuffled:
            out_of_order.set(each, version)
        self.assertEqual(in_order.entry_by_name, out_of_order.entry_by_name)
