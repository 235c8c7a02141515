"""Which halls are evacuated, through listings, watches, peers and eras in any order."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pondhatch.store import (
    SETTLE_SECONDS,
    Evacuations,
    EvacuationUpdate,
    HallWord,
    Listed,
    StoredObject,
    WatchEvent,
    position_of,
)


def listed(version: int, *halls: str) -> Listed:
    objects = tuple(StoredObject("evacuation", hall, version, {}) for hall in halls)
    return Listed(version, objects)


def began(hall: str, version: int) -> WatchEvent:
    return WatchEvent("set", version, hall, {})


def ended(hall: str, version: int) -> WatchEvent:
    return WatchEvent("removed", version, hall)


class EvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.known = Evacuations()

    def test_nothing_is_known_before_somebody_tells(self) -> None:
        self.assertFalse(self.known.is_known)
        self.assertEqual(self.known.version, 0)
        self.assertIsNone(self.known.told())
        self.assertTrue(self.known.take_listing(listed(5), 0.0))
        self.assertEqual((self.known.is_known, self.known.halls), (True, frozenset()))

    def test_routers_that_know_that_there_is_none_do_not_take_each_other_to_be_ahead(self) -> None:
        other = Evacuations()
        self.known.take_listing(listed(5), 0.0)
        other.take_listing(listed(9), 0.0)
        self.assertEqual(self.known.version, other.version)

    def test_an_end_that_comes_before_its_beginning_holds(self) -> None:
        self.known.take_listing(listed(5), 0.0)
        self.known.take_event(ended("h1", 9))
        self.known.take_event(began("h1", 7))
        self.assertEqual(self.known.halls, frozenset())

    def test_what_a_listing_no_longer_shows_is_over(self) -> None:
        self.known.take_listing(listed(5, "h1", "h2"), 0.0)
        self.assertTrue(self.known.take_listing(listed(8, "h2"), 0.0))
        self.assertEqual(self.known.halls, {"h2"})

    def test_a_listing_from_before_ends_nothing_that_came_since(self) -> None:
        since_90 = StoredObject("evacuation", "h1", 90, {})
        self.known.take_listing(Listed(100, (since_90,)), 0.0)
        self.known.take_listing(listed(80), 0.0)
        self.assertEqual(self.known.halls, {"h1"})

    def test_a_part_of_a_listing_ends_nothing(self) -> None:
        self.known.take_listing(listed(5, "h1"), 0.0)
        self.known.take_listing(Listed(8, (), is_whole=False), 0.0)
        self.assertEqual(self.known.halls, {"h1"})

    def test_what_cannot_be_read_holds(self) -> None:
        self.known.take_listing(Listed(5, (), frozenset({"h1"})), 0.0)
        self.known.take_event(WatchEvent("unreadable", 6, "h2"))
        self.assertEqual(self.known.halls, {"h1", "h2"})

    def test_an_object_may_stay_and_say_that_it_is_over(self) -> None:
        self.known.take_event(began("h1", 5))
        self.known.take_event(WatchEvent("set", 6, "h1", {"in_force": False}))
        self.assertEqual(self.known.halls, frozenset())

    def test_a_peer_that_missed_the_end_does_not_bring_it_back(self) -> None:
        self.known.take_listing(listed(20), 0.0)
        self.known.take(EvacuationUpdate({"h1": HallWord(True, 10)}), 0.0)
        self.assertEqual(self.known.halls, frozenset())
        # And the peer learns that it is over.
        behind = Evacuations()
        behind.take(EvacuationUpdate({"h1": HallWord(True, 10)}), 0.0)
        self.assertGreater(self.known.version, behind.version)
        told = self.known.told()
        assert told is not None
        behind.take(told, 0.0)
        self.assertEqual(behind.halls, frozenset())

    def test_a_store_back_from_a_copy_ends_none_before_it_was_written_again(self) -> None:
        self.known.take_listing(listed(position_of(1, 50), "h1", "h2"), 0.0)
        self.known.take_listing(listed(position_of(2, 40)), 10.0)
        self.assertEqual(self.known.halls, {"h1", "h2"})
        self.known.take_event(began("h1", position_of(2, 41)))
        self.assertFalse(self.known.settle(10.0 + SETTLE_SECONDS / 2))
        self.assertTrue(self.known.settle(10.0 + SETTLE_SECONDS))
        self.assertEqual(self.known.halls, {"h1"})

    def test_one_that_read_the_copy_alone_takes_a_peers_older_word_until_the_era_settles(
        self,
    ) -> None:
        self.known.take_listing(listed(position_of(2, 40)), 10.0)
        self.known.take(EvacuationUpdate({"h1": HallWord(True, position_of(1, 50))}), 10.5)
        self.assertEqual(self.known.halls, {"h1"})
        self.known.settle(10.5 + SETTLE_SECONDS)
        self.assertEqual(self.known.halls, frozenset())

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from(["h1", "h2"]), st.booleans()), max_size=6),
        st.randoms(use_true_random=False),
    )
    def test_words_in_any_order_by_any_way_come_to_the_same(
        self, words: list[tuple[str, bool]], order: object
    ) -> None:
        events = [
            began(hall, at) if in_force else ended(hall, at)
            for at, (hall, in_force) in enumerate(words, 1)
        ]
        last = dict(words)
        shuffled = list(events)
        order.shuffle(shuffled)  # type: ignore[attr-defined]
        watcher, peer = Evacuations(), Evacuations()
        watcher.take_listing(listed(0), 0.0)
        for event in shuffled:
            watcher.take_event(event)
            told = watcher.told()
            assert told is not None
            peer.take(told, 0.0)
        expected = {hall for hall, in_force in last.items() if in_force}
        self.assertEqual((watcher.halls, peer.halls), (expected, expected))
