from __future__ import annotations

import unittest

from pondhatch.router._upstream_changes import EraSettling, UpstreamChanges
from pondhatch.store import (
    LIVE,
    REMOVED,
    SETTLE_SECONDS,
    Listed,
    StoredObject,
    UpstreamList,
    VanishedUpstreams,
    WatchEvent,
    position_of,
)


def listed(era: int, revision: int, **revision_by_name: int) -> Listed:
    objects = tuple(
        StoredObject("upstream", name, position_of(era, entry_revision), value(name))
        for name, entry_revision in revision_by_name.items()
    )
    return Listed(position_of(era, revision), objects)


def value(name: str) -> dict[str, str]:
    return {"name": name, "service": "s", "url": "http://10.0.0.1:80", "hall": "h", "state": LIVE}


class EraSettlingTest(unittest.TestCase):
    def test_the_first_known_era_does_not_settle(self) -> None:
        settling = EraSettling()
        self.assertFalse(settling.is_settling(position_of(3, 1), 0.0))
        settling.record_position(position_of(3, 1), 0.0)
        self.assertFalse(settling.is_settling(position_of(3, 9), 0.1))
        self.assertFalse(settling.poll_settled(100.0))

    def test_the_end_of_settling_is_reported_once(self) -> None:
        settling = EraSettling()
        settling.record_position(position_of(1, 130), 0.0)
        self.assertTrue(settling.is_settling(position_of(2, 100), 5.0))
        settling.record_position(position_of(2, 100), 5.0)
        self.assertTrue(settling.is_settling(position_of(2, 101), 5.5))
        found = [
            settling.poll_settled(5.0 + at) for at in (0.0, SETTLE_SECONDS, SETTLE_SECONDS + 1)
        ]
        self.assertEqual(found, [False, True, False])


class UpstreamListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.changes = UpstreamChanges(UpstreamList(), VanishedUpstreams())
        self.changes.apply_listing(listed(1, 140, a=90, b=140), 0.0)

    def state(self, name: str) -> str:
        return self.changes.upstreams.entry_by_name[name].upstream.state

    def test_an_upstream_that_a_new_era_lacks_stays_if_it_is_written_again(self) -> None:
        self.changes.apply_listing(listed(2, 100, a=90), 10.0)
        self.assertEqual(self.state("b"), LIVE)
        self.assertFalse(self.changes.remove_unconfirmed(10.0 + SETTLE_SECONDS / 2))
        event = WatchEvent("set", position_of(2, 101), "b", value("b"))
        self.changes.apply_event(event, 10.5)
        self.assertFalse(self.changes.remove_unconfirmed(10.0 + SETTLE_SECONDS))
        self.assertEqual(self.state("b"), LIVE)

    def test_an_upstream_that_is_not_written_again_is_removed_once_the_era_has_settled(
        self,
    ) -> None:
        self.changes.apply_listing(listed(2, 100, a=90), 10.0)
        self.assertTrue(self.changes.remove_unconfirmed(10.0 + SETTLE_SECONDS))
        self.assertEqual((self.state("a"), self.state("b")), (LIVE, REMOVED))

    # Guards against keeping for good what left while the era settled and no watch reported it.
    def test_a_removal_seen_only_in_a_listing_takes_effect_once_the_era_has_settled(self) -> None:
        self.changes.apply_listing(listed(2, 100, a=90, b=95), 10.0)
        self.changes.apply_listing(listed(2, 110, a=90), 11.0)
        self.assertTrue(self.changes.remove_unconfirmed(10.0 + SETTLE_SECONDS))
        self.assertEqual((self.state("a"), self.state("b")), (LIVE, REMOVED))

    def test_what_is_written_again_after_such_a_listing_stays(self) -> None:
        self.changes.apply_listing(listed(2, 100, a=90, b=95), 10.0)
        self.changes.apply_listing(listed(2, 110, a=90), 11.0)
        event = WatchEvent("set", position_of(2, 112), "b", value("b"))
        self.changes.apply_event(event, 11.5)
        self.changes.remove_unconfirmed(10.0 + SETTLE_SECONDS)
        self.assertEqual((self.state("a"), self.state("b")), (LIVE, LIVE))

    def test_a_removal_in_a_settled_era_takes_effect_at_once(self) -> None:
        self.changes.apply_listing(listed(2, 100, a=90, b=95), 10.0)
        self.changes.remove_unconfirmed(10.0 + SETTLE_SECONDS)
        self.changes.apply_listing(listed(2, 110, a=90), 20.0)
        self.assertEqual(self.state("b"), REMOVED)

    def test_an_event_of_an_earlier_era_changes_nothing(self) -> None:
        self.changes.apply_listing(listed(2, 100, a=90, b=95), 10.0)
        removed = WatchEvent("removed", position_of(1, 900), "a")
        self.assertFalse(self.changes.apply_event(removed, 11.0))
        self.assertEqual(self.state("a"), LIVE)
