"""Guards against lost or revived evacuations.

Listings, watch events and updates of peers may arrive in any order, across eras of the store.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pondhatch.store import (
    SETTLE_SECONDS,
    Evacuations,
    EvacuationUpdate,
    HallEvacuation,
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
        self.evacuations = Evacuations()

    def test_nothing_is_known_before_a_listing_or_a_peer(self) -> None:
        self.assertFalse(self.evacuations.is_known)
        self.assertEqual(self.evacuations.version, 0)
        self.assertIsNone(self.evacuations.as_update())
        self.assertTrue(self.evacuations.apply_listing(listed(5), 0.0))
        self.assertEqual((self.evacuations.is_known, self.evacuations.halls), (True, frozenset()))

    def test_routers_without_evacuations_have_the_same_version(self) -> None:
        other = Evacuations()
        self.evacuations.apply_listing(listed(5), 0.0)
        other.apply_listing(listed(9), 0.0)
        self.assertEqual(self.evacuations.version, other.version)

    def test_an_end_received_before_its_beginning_wins(self) -> None:
        self.evacuations.apply_listing(listed(5), 0.0)
        self.evacuations.apply_event(ended("h1", 9))
        self.evacuations.apply_event(began("h1", 7))
        self.assertEqual(self.evacuations.halls, frozenset())

    def test_an_evacuation_missing_from_a_listing_has_ended(self) -> None:
        self.evacuations.apply_listing(listed(5, "h1", "h2"), 0.0)
        self.assertTrue(self.evacuations.apply_listing(listed(8, "h2"), 0.0))
        self.assertEqual(self.evacuations.halls, {"h2"})

    def test_an_older_listing_ends_no_later_evacuation(self) -> None:
        since_90 = StoredObject("evacuation", "h1", 90, {})
        self.evacuations.apply_listing(Listed(100, (since_90,)), 0.0)
        self.evacuations.apply_listing(listed(80), 0.0)
        self.assertEqual(self.evacuations.halls, {"h1"})

    def test_a_partial_listing_ends_nothing(self) -> None:
        self.evacuations.apply_listing(listed(5, "h1"), 0.0)
        self.evacuations.apply_listing(Listed(8, (), is_whole=False), 0.0)
        self.assertEqual(self.evacuations.halls, {"h1"})

    def test_an_unreadable_evacuation_is_in_force(self) -> None:
        self.evacuations.apply_listing(Listed(5, (), frozenset({"h1"})), 0.0)
        self.evacuations.apply_event(WatchEvent("unreadable", 6, "h2"))
        self.assertEqual(self.evacuations.halls, {"h1", "h2"})

    def test_an_object_can_end_its_evacuation_and_stay(self) -> None:
        self.evacuations.apply_event(began("h1", 5))
        self.evacuations.apply_event(WatchEvent("set", 6, "h1", {"in_force": False}))
        self.assertEqual(self.evacuations.halls, frozenset())

    def test_a_peer_that_missed_the_end_does_not_revive_the_evacuation(self) -> None:
        self.evacuations.apply_listing(listed(20), 0.0)
        self.evacuations.apply_update(EvacuationUpdate({"h1": HallEvacuation(True, 10)}), 0.0)
        self.assertEqual(self.evacuations.halls, frozenset())
        # The peer learns in turn that it has ended.
        behind = Evacuations()
        behind.apply_update(EvacuationUpdate({"h1": HallEvacuation(True, 10)}), 0.0)
        self.assertGreater(self.evacuations.version, behind.version)
        update = self.evacuations.as_update()
        assert update is not None
        behind.apply_update(update, 0.0)
        self.assertEqual(behind.halls, frozenset())

    def test_a_restored_store_ends_no_evacuation_before_the_era_has_settled(self) -> None:
        self.evacuations.apply_listing(listed(position_of(1, 50), "h1", "h2"), 0.0)
        self.evacuations.apply_listing(listed(position_of(2, 40)), 10.0)
        self.assertEqual(self.evacuations.halls, {"h1", "h2"})
        self.evacuations.apply_event(began("h1", position_of(2, 41)))
        self.assertFalse(self.evacuations.end_unconfirmed(10.0 + SETTLE_SECONDS / 2))
        self.assertTrue(self.evacuations.end_unconfirmed(10.0 + SETTLE_SECONDS))
        self.assertEqual(self.evacuations.halls, {"h1"})

    def test_a_peers_older_evacuation_holds_until_the_era_has_settled(
        self,
    ) -> None:
        self.evacuations.apply_listing(listed(position_of(2, 40)), 10.0)
        self.evacuations.apply_update(
            EvacuationUpdate({"h1": HallEvacuation(True, position_of(1, 50))}), 10.5
        )
        self.assertEqual(self.evacuations.halls, {"h1"})
        self.evacuations.end_unconfirmed(10.5 + SETTLE_SECONDS)
        self.assertEqual(self.evacuations.halls, frozenset())

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.tuples(st.sampled_from(["h1", "h2"]), st.booleans()), max_size=6),
        st.randoms(use_true_random=False),
    )
    def test_events_in_any_order_converge(
        self, changes: list[tuple[str, bool]], order: object
    ) -> None:
        events = [
            began(hall, at) if in_force else ended(hall, at)
            for at, (hall, in_force) in enumerate(changes, 1)
        ]
        last = dict(changes)
        shuffled = list(events)
        order.shuffle(shuffled)  # type: ignore[attr-defined]
        watcher, peer = Evacuations(), Evacuations()
        watcher.apply_listing(listed(0), 0.0)
        for event in shuffled:
            watcher.apply_event(event)
            update = watcher.as_update()
            assert update is not None
            peer.apply_update(update, 0.0)
        expected = {hall for hall, in_force in last.items() if in_force}
        self.assertEqual((watcher.halls, peer.halls), (expected, expected))
