from __future__ import annotations

import unittest

from pondhatch.router._upstream_changes import Settling, UpstreamChanges
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
        StoredObject("upstream", name, position_of(era, at), value(name))
        for name, at in revision_by_name.items()
    )
    return Listed(position_of(era, revision), objects)


def value(name: str) -> dict[str, str]:
    return {"name": name, "service": "s", "url": "http://10.0.0.1:80", "hall": "h", "state": LIVE}


class SettlingTest(unittest.TestCase):
    def test_the_first_era_that_is_heard_of_follows_no_other(self) -> None:
        settling = Settling()
        self.assertFalse(settling.begins(position_of(3, 1), 0.0))
        settling.note(position_of(3, 1), 0.0)
        self.assertFalse(settling.begins(position_of(3, 9), 0.1))
        self.assertFalse(settling.is_over(100.0))

    def test_it_is_over_once(self) -> None:
        settling = Settling()
        settling.note(position_of(1, 130), 0.0)
        self.assertTrue(settling.begins(position_of(2, 100), 5.0))
        settling.note(position_of(2, 100), 5.0)
        self.assertTrue(settling.begins(position_of(2, 101), 5.5))
        found = [settling.is_over(5.0 + at) for at in (0.0, SETTLE_SECONDS, SETTLE_SECONDS + 1)]
        self.assertEqual(found, [False, True, False])


class ListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.changes = UpstreamChanges(UpstreamList(), VanishedUpstreams())
        self.changes.take_listing(listed(1, 140, a=90, b=140), 0.0)

    def state(self, name: str) -> str:
        return self.changes.upstreams.entry_by_name[name].upstream.state

    def test_a_watch_or_a_listing_that_tells_of_it_first(self) -> None:
        self.changes.take_listing(listed(2, 100, a=90), 10.0)
        self.assertEqual(self.state("b"), LIVE)
        self.assertFalse(self.changes.settle(10.0 + SETTLE_SECONDS / 2))
        event = WatchEvent("set", position_of(2, 101), "b", value("b"))
        self.changes.take_event(event, 10.5)
        self.assertFalse(self.changes.settle(10.0 + SETTLE_SECONDS))
        self.assertEqual(self.state("b"), LIVE)

    def test_who_does_not_write_itself_again_is_gone_once_it_has_settled(self) -> None:
        self.changes.take_listing(listed(2, 100, a=90), 10.0)
        self.assertTrue(self.changes.settle(10.0 + SETTLE_SECONDS))
        self.assertEqual((self.state("a"), self.state("b")), (LIVE, REMOVED))

    def test_a_removal_in_a_settled_era_is_one_at_once(self) -> None:
        self.changes.take_listing(listed(2, 100, a=90, b=95), 10.0)
        self.changes.settle(10.0 + SETTLE_SECONDS)
        self.changes.take_listing(listed(2, 110, a=90), 20.0)
        self.assertEqual(self.state("b"), REMOVED)

    def test_a_word_of_an_era_that_is_over_changes_nothing(self) -> None:
        self.changes.take_listing(listed(2, 100, a=90, b=95), 10.0)
        removed = WatchEvent("removed", position_of(1, 900), "a")
        self.assertFalse(self.changes.take_event(removed, 11.0))
        self.assertEqual(self.state("a"), LIVE)
