"""Guards against stale entries after a platform is restored from an older copy.

The restored platform hands out the same revisions again, and lists upstreams as of the copy.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondhatch.store import (
    LEAVING,
    LIVE,
    REMOVED,
    Upstream,
    UpstreamEntry,
    UpstreamList,
    UpstreamUpdate,
    era_of,
    position_of,
    revision_of,
)


def upstream(name: str, state: str = LIVE, start: int = 0) -> Upstream:
    return Upstream(name, "s", f"http://10.0.0.1:{len(name)}", "h1", state, start=start)


def entry(name: str, era: int, revision: int, state: str = LIVE) -> UpstreamEntry:
    return UpstreamEntry(upstream(name, state), position_of(era, revision))


def listing(era: int, revision: int, *entries: UpstreamEntry) -> UpstreamUpdate:
    return UpstreamUpdate(position_of(era, revision), entries, whole=True)


class PositionTest(unittest.TestCase):
    @given(st.tuples(st.integers(0, 100), st.integers(0, 2**40 - 1)), st.data())
    def test_positions_order_by_era_and_then_revision(
        self, one: tuple[int, int], data: st.DataObject
    ) -> None:
        other = data.draw(st.tuples(st.integers(0, 100), st.integers(0, 2**40 - 1)))
        first, second = position_of(*one), position_of(*other)
        self.assertEqual(first < second, one < other)
        self.assertEqual((era_of(first), revision_of(first)), one)

    def test_a_position_without_an_era_is_the_revision(self) -> None:
        self.assertEqual(position_of(0, 130), 130)


class NewEraTest(unittest.TestCase):
    def setUp(self) -> None:
        self.upstreams = UpstreamList()
        held = [entry("a", 1, 90), entry("b", 1, 140), entry("c", 1, 131), entry("d", 1, 50)]
        self.upstreams.apply_update(listing(1, 140, *held))

    def states(self) -> dict[str, str]:
        entries = self.upstreams.entry_by_name.items()
        return {name: each.upstream.state for name, each in entries}

    def test_a_write_with_a_lower_revision_of_a_newer_era_is_applied(self) -> None:
        self.upstreams.apply_update(listing(2, 100, entry("a", 2, 90), entry("b", 2, 95)), True)
        self.assertTrue(self.upstreams.set(upstream("b", LEAVING), position_of(2, 104)))
        self.assertFalse(self.upstreams.set(upstream("b"), position_of(1, 141)))
        self.assertEqual(self.states()["b"], LEAVING)

    def test_an_upstream_missing_from_the_copy_stays_until_the_era_has_settled(self) -> None:
        self.upstreams.apply_update(listing(2, 100, entry("a", 2, 90), entry("b", 2, 95)), True)
        self.assertEqual(set(self.states().values()), {LIVE})
        self.upstreams.set(upstream("c"), position_of(2, 101))
        self.assertTrue(self.upstreams.remove_unconfirmed())
        self.assertEqual(self.states(), {"a": LIVE, "b": LIVE, "c": LIVE, "d": REMOVED})
        self.assertFalse(self.upstreams.remove_unconfirmed())

    def test_an_upstream_that_left_since_the_copy_is_not_revived(self) -> None:
        self.upstreams.remove("a", position_of(1, 141))
        self.upstreams.set(upstream("b", LEAVING), position_of(1, 142))
        copied = [entry(name, 2, 90) for name in "abcd"]
        self.upstreams.apply_update(listing(2, 100, *copied), True)
        self.assertEqual(self.states(), {"a": REMOVED, "b": LEAVING, "c": LIVE, "d": LIVE})
        self.upstreams.remove_unconfirmed()
        self.assertEqual(self.states(), {"a": REMOVED, "b": REMOVED, "c": LIVE, "d": LIVE})

    def test_writes_of_upstreams_apply_while_the_era_settles(self) -> None:
        self.upstreams.apply_update(listing(2, 100, *(entry(name, 2, 90) for name in "abcd")), True)
        self.upstreams.remove("a", position_of(2, 101))
        self.upstreams.set(upstream("b", LEAVING), position_of(2, 102))
        again = [entry("a", 2, 90), entry("b", 2, 102, LEAVING)]
        self.upstreams.apply_update(listing(2, 103, *again), True)
        self.assertEqual(self.states(), {"a": REMOVED, "b": LEAVING, "c": LIVE, "d": LIVE})

    def test_a_restarted_upstream_is_a_new_entry(self) -> None:
        self.upstreams.set(upstream("e", start=5), position_of(1, 150))
        self.upstreams.remove("e", position_of(1, 151))
        started = UpstreamEntry(upstream("e", start=9), position_of(2, 102))
        self.upstreams.apply_update(listing(2, 102, started), True)
        self.assertEqual(self.states()["e~9"], LIVE)

    def test_a_peer_converges_on_the_same_list(self) -> None:
        peer = UpstreamList()
        peer.apply_update(self.upstreams.update_since(0))
        held = peer.version
        self.upstreams.apply_update(listing(2, 100, entry("a", 2, 90), entry("b", 2, 95)), True)
        self.assertGreater(self.upstreams.version, held)
        peer.apply_update(self.upstreams.update_since(held), True)
        for each in (self.upstreams, peer):
            each.remove_unconfirmed()
        self.assertEqual(peer.entry_by_name, self.upstreams.entry_by_name)
