"""What differs between two versions of a configuration, told to a peer that is behind."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from fakes._entries import SERVICE, TEMPLATE
from pondhatch.configuration import Difference, Edit, Fleet, Snapshot
from pondhatch.configuration._latest import MOST_KEPT, LatestChanges
from pondhatch.configuration.tests.test_fleet import START, account, change, followed

#: Rates of some accounts; 0 stands for an entry that cannot be used.
RATES = st.dictionaries(st.sampled_from("abcdef"), st.sampled_from([0.0, 1.0, 2.0]), max_size=6)


def document(version: int, rates: dict[str, float]) -> Snapshot:
    """Return a version of a configuration that is written whole."""
    accounts = (account(name, rate or -1.0) for name, rate in sorted(rates.items()))
    return Snapshot(version, (SERVICE, TEMPLATE, *accounts))


def travelled(difference: Difference | None) -> Difference:
    """Return a difference as it comes over the wire."""
    assert difference is not None
    return msgspec.msgpack.decode(msgspec.msgpack.encode(difference), type=Difference)


class DifferenceTest(unittest.TestCase):
    @given(st.lists(RATES, min_size=2, max_size=8), st.data())
    def test_it_makes_of_any_version_since_what_the_newest_is(
        self, documents: list[dict[str, float]], data: st.DataObject
    ) -> None:
        at_version = [Fleet.from_snapshot(document(3, documents[0]))]
        for at, rates in enumerate(documents[1:]):
            at_version.append(at_version[-1].replaced_by(document(5 + 2 * at, rates)))
        newest = at_version[-1]
        asked = data.draw(st.integers(0, len(documents) - 1))
        now = data.draw(st.integers(asked, len(documents) - 1))
        # The taker has other steps behind it than the giver.
        taker = Fleet.from_snapshot(at_version[now].snapshot())
        told = travelled(newest.difference_since(at_version[asked].version))
        made = taker.with_difference(told)
        assert made is not None
        for field in ("version", "raw_by_entry", "policy_by_account", "account_by_key_hash"):
            self.assertEqual(getattr(made, field), getattr(newest, field), field)
        self.assertEqual(made.misfits_by_entry, newest.misfits_by_entry)
        self.assertEqual(made.fingerprint, newest.fingerprint)

    def test_what_is_older_than_all_that_is_known_gets_none(self) -> None:
        fleet = Fleet.from_snapshot(document(7, {"a": 1.0})).replaced_by(document(9, {}))
        self.assertIsNone(fleet.difference_since(0))
        self.assertIsNone(fleet.difference_since(6))
        self.assertIsNotNone(fleet.difference_since(7))

    def test_it_does_not_fit_what_is_older(self) -> None:
        taker = Fleet.from_snapshot(document(3, {"a": 1.0}))
        giver = taker.replaced_by(document(5, {"b": 1.0})).replaced_by(document(7, {"c": 1.0}))
        self.assertIsNone(taker.with_difference(travelled(giver.difference_since(5))))

    def test_it_does_not_fit_entries_that_are_read_in_another_way(self) -> None:
        giver = Fleet.from_snapshot(document(3, {"a": 1.0})).replaced_by(document(5, {"b": 1.0}))
        assert isinstance(SERVICE.value, dict)
        service = Edit("service", SERVICE.name, {**SERVICE.value, "load_slack": 3})
        other = Fleet.from_snapshot(Snapshot(3, (service, TEMPLATE, account("a", 1.0))))
        told = travelled(giver.difference_since(3))
        self.assertIsNone(other.with_difference(told))
        self.assertEqual(other.replaced_by(giver.snapshot()).fingerprint, giver.fingerprint)

    def test_a_log_of_changes_is_told_in_the_same_way(self) -> None:
        void = change(3, account("c", rate=-1.0))
        giver = followed(followed(START, change(2, account("b"))).voided(void), change(4))
        made = START.with_difference(travelled(giver.difference_since(1)))
        assert made is not None
        self.assertEqual((made.version, set(made.policy_by_account)), (4, {"a", "b"}))
        # Peers that follow the log are still told each change.
        self.assertEqual([each.version for each in giver.changes_since(1) or ()], [2, 3, 4])

    def test_the_fingerprint_is_of_the_entries_alone(self) -> None:
        first = Fleet.from_snapshot(document(3, {"a": 1.0, "b": 2.0}))
        back = first.replaced_by(document(5, {})).replaced_by(document(7, {"b": 2.0, "a": 1.0}))
        self.assertEqual(first.fingerprint, back.fingerprint)
        self.assertNotEqual(first.fingerprint, first.replaced_by(document(9, {})).fingerprint)
        edited = first.with_edits((account("a", 1.0),))
        assert isinstance(edited, Fleet)
        self.assertEqual(edited.fingerprint, replace(first, version=9).fingerprint)


class LatestChangesTest(unittest.TestCase):
    def test_it_names_what_changed_after_a_version(self) -> None:
        latest = LatestChanges(3)
        for version, name in ((5, "a"), (7, "b"), (9, "a")):
            latest = latest.followed_by([("route", name)], version)
        self.assertEqual(latest.after(3), {("route", "a"), ("route", "b")})
        self.assertEqual(latest.after(7), {("route", "a")})
        self.assertEqual(latest.after(9), frozenset())
        self.assertIsNone(latest.after(2))

    def test_it_is_bounded_and_forgets_whole_versions(self) -> None:
        latest = LatestChanges(1)
        per_version = 1000
        for version in range(2, 12):
            names = [f"{version}-{at}" for at in range(per_version)]
            latest = latest.followed_by([("route", name) for name in names], version)
            self.assertLessEqual(len(latest.version_by_entry), MOST_KEPT)
        self.assertEqual(latest.since, 7)
        self.assertIsNone(latest.after(6))
        self.assertEqual(len(latest.after(7) or ()), 4 * per_version)

    def test_one_version_that_is_too_large_leaves_nothing_known_before_it(self) -> None:
        many = [("route", str(at)) for at in range(MOST_KEPT + 1)]
        latest = LatestChanges(1).followed_by(many, 2)
        self.assertEqual((latest.since, dict(latest.version_by_entry)), (2, {}))
