"""Guards against a peer's older list bringing back upstreams that the platform lists no more."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pondhatch.router._upstream_changes import UpstreamChanges
from pondhatch.router.tests.test_sync import FIRST, router
from pondhatch.store import (
    LIVE,
    SETTLE_SECONDS,
    Listed,
    Position,
    StoredObject,
    Upstream,
    UpstreamEntry,
    UpstreamList,
    UpstreamUpdate,
    VanishedUpstreams,
    WatchEvent,
    position_of,
)

SERVICE = "lang"


def upstream(name: str, start: int = 0) -> Upstream:
    return Upstream(name, SERVICE, "http://10.0.0.1:80", "h1", LIVE, start=start)


def value(name: str, start: int = 0) -> dict[str, Any]:
    return dict(msgspec.to_builtins(upstream(name, start)))


def listed(version: Position, **version_by_name: Position) -> Listed:
    objects = [
        StoredObject("upstream", name, at, value(name)) for name, at in version_by_name.items()
    ]
    return Listed(version, tuple(objects))


def held_by_peer(version: Position, **version_by_name: Position) -> UpstreamUpdate:
    """Return the list of a peer that knows these upstreams as live."""
    entries = [UpstreamEntry(upstream(name), at) for name, at in version_by_name.items()]
    return UpstreamUpdate(version, tuple(entries), whole=False)


def new_changes() -> UpstreamChanges:
    return UpstreamChanges(UpstreamList(), VanishedUpstreams())


def live_ids(changes: UpstreamChanges) -> list[str]:
    return sorted(each.id for each in changes.upstreams.of_service(SERVICE))


class OlderListTest(unittest.TestCase):
    """A router that starts lists the platform, which an upstream has left, then asks a peer."""

    def setUp(self) -> None:
        self.changes = new_changes()
        self.changes.apply_listing(listed(9, a=1, b=2), 0.0)

    # Guards against requests to an upstream that left, as a peer that was cut off still lists it.
    def test_an_upstream_that_the_platform_lists_no_more_is_not_taken_from_a_peer(self) -> None:
        self.changes.apply_update(held_by_peer(5, a=1, b=2, gone=3), 0.5)
        self.assertEqual(live_ids(self.changes), ["a", "b"])

    # Guards against keeping an upstream that left, as a peer told of the listing's version first.
    def test_a_listing_that_is_no_newer_than_the_list_removes_what_it_lacks(self) -> None:
        for version in (9, 12):
            with self.subTest(version=version):
                behind = new_changes()
                behind.apply_update(held_by_peer(5, a=1, b=2, gone=3), 0.0)
                behind.apply_update(held_by_peer(version, new=8), 0.5)
                behind.apply_listing(listed(9, a=1, b=2, new=8), 1.0)
                self.assertEqual(live_ids(behind), ["a", "b", "new"])

    # Guards against a peer that was cut off learning the newer version without the removal.
    def test_a_peer_that_named_an_upstream_that_left_learns_that_it_did(self) -> None:
        behind = new_changes()
        behind.apply_update(held_by_peer(5, a=1, b=2, gone=3), 0.0)
        self.changes.apply_update(behind.since(0, 0.5), 0.5)
        behind.apply_update(self.changes.since(5, 1.0), 1.0)
        self.assertEqual(live_ids(behind), ["a", "b"])

    # Guards against routers that only hear of others never learning what a late listing removed.
    def test_what_a_late_listing_removed_reaches_a_peer_with_the_next_change(self) -> None:
        first, second = new_changes(), new_changes()
        for each in (first, second):
            each.apply_update(held_by_peer(9, a=1, b=2, gone=3), 0.0)
        first.apply_listing(listed(9, a=1, b=2), 0.5)
        first.apply_event(WatchEvent("set", 11, "new", value("new")), 1.0)
        second.apply_update(first.since(9, 1.0), 1.0)
        self.assertEqual(live_ids(second), ["a", "b", "new"])

    def test_an_upstream_that_joins_anew_after_the_listing_is_taken_from_a_peer(self) -> None:
        self.changes.apply_update(held_by_peer(5, gone=3), 0.5)
        self.changes.apply_update(held_by_peer(12, gone=11), 0.6)
        self.assertEqual(live_ids(self.changes), ["a", "b", "gone"])

    def test_an_older_start_from_a_peer_does_not_end_the_listed_one(self) -> None:
        objects = (StoredObject("upstream", "a", 8, value("a", 200)),)
        self.changes.apply_listing(Listed(10, objects), 0.1)
        older = UpstreamEntry(upstream("a", 100), 3)
        self.changes.apply_update(UpstreamUpdate(5, (older,), whole=False), 0.5)
        self.assertEqual([each.start for each in self.changes.upstreams.of_service(SERVICE)], [200])

    def test_an_upstream_whose_listed_entry_cannot_be_read_is_not_taken_as_gone(self) -> None:
        objects = (StoredObject("upstream", "odd", 7, {"name": "odd"}),)
        changes = new_changes()
        changes.apply_listing(Listed(9, objects), 0.0)
        changes.apply_update(held_by_peer(5, odd=3), 0.5)
        self.assertIsNotNone(changes.upstreams.upstream("odd"))

    # Guards against an entry that could not be read shielding its upstream after it left.
    def test_an_upstream_whose_unreadable_entry_went_is_not_taken_from_a_peer(self) -> None:
        changes = new_changes()
        changes.apply_listing(
            Listed(9, (StoredObject("upstream", "odd", 7, {"name": "odd"}),)), 0.0
        )
        changes.apply_event(WatchEvent("removed", 10, "odd"), 0.2)
        changes.apply_update(held_by_peer(5, odd=3), 0.5)
        self.assertIsNone(changes.upstreams.upstream("odd"))

    def test_a_listing_with_missing_pages_rules_nothing_out(self) -> None:
        changes = new_changes()
        changes.apply_listing(msgspec.structs.replace(listed(9, a=1), is_whole=False), 0.0)
        changes.apply_update(held_by_peer(5, a=1, b=2), 0.5)
        self.assertEqual(live_ids(changes), ["a", "b"])


class LapsedTest(unittest.TestCase):
    """A router starts just as the platform is back, and most entries have lapsed meanwhile."""

    # Guards against refusing work while entries lapse, and against sending it for longer.
    def test_upstreams_that_a_peer_still_lists_get_work_until_they_would_be_back(self) -> None:
        now = 0.0
        state = router("r0")
        state.clock = lambda: now
        state.apply_change(FIRST)
        state.refresh_members()
        state.apply_listed_upstreams(listed(9, a=1))
        state.apply_upstreams(held_by_peer(5, a=1, b=2, c=3, d=4))
        self.assertEqual(state.live_upstreams(SERVICE), ("a", "b", "c", "d"))
        now = 0.5
        state.apply_upstream_event(WatchEvent("set", 11, "b", value("b")))
        self.assertEqual(state.live_upstreams(SERVICE), ("a", "b", "c", "d"))
        now = 2.0
        state.tick()
        self.assertEqual(state.live_upstreams(SERVICE), ("a", "b"))


class RestoredTest(unittest.TestCase):
    """A router starts after the platform was restored, and a peer lists more than the copy."""

    def setUp(self) -> None:
        self.changes = new_changes()
        self.changes.apply_listing(listed(position_of(2, 100), a=position_of(2, 90)), 0.0)

    # Guards against routers that start while an era settles keeping what was never written again.
    def test_what_a_peer_of_that_era_still_lists_stays_until_the_era_has_settled(self) -> None:
        peer = held_by_peer(position_of(2, 100), a=position_of(2, 90), joined=position_of(1, 150))
        self.changes.apply_update(peer, 0.5)
        self.assertEqual(live_ids(self.changes), ["a", "joined"])
        self.changes.remove_unconfirmed(SETTLE_SECONDS + 0.1)
        self.assertEqual(live_ids(self.changes), ["a"])

    def test_what_is_written_again_stays(self) -> None:
        peer = held_by_peer(position_of(2, 100), a=position_of(2, 90), joined=position_of(1, 150))
        self.changes.apply_update(peer, 0.5)
        again = WatchEvent("set", position_of(2, 104), "joined", value("joined"))
        self.changes.apply_event(again, 1.0)
        self.changes.remove_unconfirmed(SETTLE_SECONDS + 0.1)
        self.assertEqual(live_ids(self.changes), ["a", "joined"])

    # Guards against a peer that has not read the platform since its restore.
    def test_the_list_of_a_peer_of_an_earlier_era_brings_nothing_back(self) -> None:
        self.changes.apply_update(held_by_peer(position_of(1, 150), gone=position_of(1, 120)), 0.5)
        self.assertEqual(live_ids(self.changes), ["a"])

    # Guards against an entry of an earlier era that arrives once the era has settled.
    def test_nothing_of_an_earlier_era_is_taken_once_the_era_has_settled(self) -> None:
        peer = held_by_peer(position_of(2, 100), gone=position_of(1, 120))
        self.changes.apply_update(peer, SETTLE_SECONDS + 0.1)
        self.assertEqual(live_ids(self.changes), ["a"])


class ModelledPlatform:
    """The platform's entries and revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.entry_by_name: dict[str, UpstreamEntry] = {}

    def write(self, name: str) -> WatchEvent:
        """Write an upstream again, or with a start of its own where it is not listed."""
        self.revision += 1
        held = self.entry_by_name.get(name)
        start = held.upstream.start if held is not None else self.revision
        self.entry_by_name[name] = UpstreamEntry(upstream(name, start), self.revision)
        return WatchEvent("set", self.revision, name, value(name, start))

    def remove(self, name: str) -> WatchEvent:
        self.revision += 1
        del self.entry_by_name[name]
        return WatchEvent("removed", self.revision, name)

    def listed(self) -> Listed:
        objects = [
            StoredObject("upstream", name, each.version, value(name, each.upstream.start))
            for name, each in self.entry_by_name.items()
        ]
        return Listed(self.revision, tuple(objects))

    def names(self) -> list[str]:
        """Return the names of all listed upstreams, each that of its start."""
        return sorted(each.upstream.named_by_start().name for each in self.entry_by_name.values())


class ModelledFleet:
    """Routers that each watch the platform unless they are cut off from it."""

    def __init__(self, routers: int) -> None:
        self.platform = ModelledPlatform()
        self.routers = [new_changes() for _ in range(routers)]
        self.cut_off: set[int] = set()

    def toggle(self, name: str) -> None:
        """Let an upstream join, or leave where it is listed."""
        is_listed = name in self.platform.entry_by_name
        self._tell(self.platform.remove(name) if is_listed else self.platform.write(name))

    def write_another(self, name: str) -> None:
        """Write an upstream again, or another object where it is not listed."""
        if name in self.platform.entry_by_name:
            self._tell(self.platform.write(name))
        else:
            self.platform.revision += 1

    def cut(self, number: int) -> None:
        self.cut_off.add(number)

    def heal(self, number: int) -> None:
        self.cut_off.discard(number)
        self.routers[number].apply_listing(self.platform.listed(), 0.0)

    def restart(self, number: int, peer: int) -> None:
        self.routers[number] = new_changes()
        if number not in self.cut_off:
            self.heal(number)
        if peer != number:
            self.pull(number, peer, True)

    def pull(self, number: int, peer: int, whole: bool) -> None:
        own = self.routers[number]
        version = 0 if whole else own.upstreams.version
        own.apply_update(self.routers[peer].since(version, 0.0), 0.0)

    def _tell(self, event: WatchEvent) -> None:
        for number, each in enumerate(self.routers):
            if number not in self.cut_off:
                each.apply_event(event, 0.0)


NAMES = ("a", "b", "c")
NUMBERS = st.integers(0, 3)
STEPS = st.one_of(
    st.tuples(st.sampled_from(("toggle", "write_another")), st.sampled_from(NAMES)),
    st.tuples(st.sampled_from(("cut", "heal")), NUMBERS),
    st.tuples(st.just("restart"), NUMBERS, NUMBERS),
    st.tuples(st.just("pull"), NUMBERS, NUMBERS, st.booleans()),
)


class HistoryTest(unittest.TestCase):
    # Guards against any order of cuts, starts and pulls in which an older list wins.
    @settings(max_examples=400, deadline=None)
    @example(2, [("cut", 1), ("toggle", "a"), ("restart", 0, 1)])
    @given(st.integers(2, 4), st.lists(STEPS, min_size=3, max_size=30))
    def test_a_router_that_reads_the_platform_lists_just_what_it_lists(
        self, count: int, steps: list[tuple[Any, ...]]
    ) -> None:
        fleet = ModelledFleet(count)
        for each in NAMES:
            fleet.toggle(each)
        for name, *arguments in steps:
            numbers = [each % count if isinstance(each, int) else each for each in arguments[:2]]
            getattr(fleet, name)(*numbers, *arguments[2:])
            for number in set(range(count)) - fleet.cut_off:
                live = fleet.routers[number].upstreams.of_service(SERVICE)
                self.assertEqual([each.name for each in live], fleet.platform.names())
