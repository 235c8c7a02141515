"""Differences between two versions of a configuration, as sent to a peer that is behind."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from fakes._entries import SERVICE, TEMPLATE
from pondhatch.configuration import Difference, Edit, FleetConfiguration, Snapshot
from pondhatch.configuration._entry_versions import MAX_ENTRIES, EntryVersions
from pondhatch.configuration.tests.test_fleet import START, account, change, with_changes

#: Rates of some accounts; 0 stands for an invalid entry.
RATES = st.dictionaries(st.sampled_from("abcdef"), st.sampled_from([0.0, 1.0, 2.0]), max_size=6)


def snapshot_of_rates(version: int, rates: dict[str, float]) -> Snapshot:
    """Return a snapshot with one account per rate."""
    accounts = (account(name, rate or -1.0) for name, rate in sorted(rates.items()))
    return Snapshot(version, (SERVICE, TEMPLATE, *accounts))


def over_the_wire(difference: Difference | None) -> Difference:
    """Return a difference after encoding and decoding it."""
    assert difference is not None
    return msgspec.msgpack.decode(msgspec.msgpack.encode(difference), type=Difference)


class DifferenceTest(unittest.TestCase):
    @given(st.lists(RATES, min_size=2, max_size=8), st.data())
    def test_a_difference_brings_any_later_version_to_the_newest(
        self, documents: list[dict[str, float]], data: st.DataObject
    ) -> None:
        giver_versions = [FleetConfiguration.from_snapshot(snapshot_of_rates(3, documents[0]))]
        for at, rates in enumerate(documents[1:]):
            giver_versions.append(
                giver_versions[-1].with_snapshot(snapshot_of_rates(5 + 2 * at, rates))
            )
        newest = giver_versions[-1]
        since = data.draw(st.integers(0, len(documents) - 1))
        taker_index = data.draw(st.integers(since, len(documents) - 1))
        # The taker reaches its version by a snapshot, the giver step by step.
        taker = FleetConfiguration.from_snapshot(giver_versions[taker_index].snapshot())
        difference = over_the_wire(newest.difference_since(giver_versions[since].version))
        updated = taker.with_difference(difference)
        assert updated is not None
        for field in ("version", "raw_by_entry", "policy_by_account", "account_by_key_hash"):
            self.assertEqual(getattr(updated, field), getattr(newest, field), field)
        self.assertEqual(updated.misfits_by_entry, newest.misfits_by_entry)
        self.assertEqual(updated.fingerprint, newest.fingerprint)

    def test_no_difference_since_a_version_older_than_the_known_ones(self) -> None:
        configuration = FleetConfiguration.from_snapshot(
            snapshot_of_rates(7, {"a": 1.0})
        ).with_snapshot(snapshot_of_rates(9, {}))
        self.assertIsNone(configuration.difference_since(0))
        self.assertIsNone(configuration.difference_since(6))
        self.assertIsNotNone(configuration.difference_since(7))

    def test_a_difference_does_not_apply_to_a_version_older_than_its_base(self) -> None:
        taker = FleetConfiguration.from_snapshot(snapshot_of_rates(3, {"a": 1.0}))
        giver = taker.with_snapshot(snapshot_of_rates(5, {"b": 1.0})).with_snapshot(
            snapshot_of_rates(7, {"c": 1.0})
        )
        self.assertIsNone(taker.with_difference(over_the_wire(giver.difference_since(5))))

    def test_a_difference_does_not_apply_where_the_fingerprint_differs(self) -> None:
        giver = FleetConfiguration.from_snapshot(snapshot_of_rates(3, {"a": 1.0})).with_snapshot(
            snapshot_of_rates(5, {"b": 1.0})
        )
        assert isinstance(SERVICE.value, dict)
        service = Edit("service", SERVICE.name, {**SERVICE.value, "load_slack": 3})
        other = FleetConfiguration.from_snapshot(
            Snapshot(3, (service, TEMPLATE, account("a", 1.0)))
        )
        difference = over_the_wire(giver.difference_since(3))
        self.assertIsNone(other.with_difference(difference))
        self.assertEqual(other.with_snapshot(giver.snapshot()).fingerprint, giver.fingerprint)

    def test_a_difference_also_covers_a_log_of_changes(self) -> None:
        rejected = change(3, account("c", rate=-1.0))
        giver = with_changes(
            with_changes(START, change(2, account("b"))).with_skipped_change(rejected), change(4)
        )
        updated = START.with_difference(over_the_wire(giver.difference_since(1)))
        assert updated is not None
        self.assertEqual((updated.version, set(updated.policy_by_account)), (4, {"a", "b"}))
        # Peers that follow the log still get each change.
        self.assertEqual([each.version for each in giver.changes_since(1) or ()], [2, 3, 4])

    def test_the_fingerprint_depends_on_the_entries_only(self) -> None:
        first = FleetConfiguration.from_snapshot(snapshot_of_rates(3, {"a": 1.0, "b": 2.0}))
        back = first.with_snapshot(snapshot_of_rates(5, {})).with_snapshot(
            snapshot_of_rates(7, {"b": 2.0, "a": 1.0})
        )
        self.assertEqual(first.fingerprint, back.fingerprint)
        self.assertNotEqual(
            first.fingerprint, first.with_snapshot(snapshot_of_rates(9, {})).fingerprint
        )
        edited = first.with_edits((account("a", 1.0),))
        assert isinstance(edited, FleetConfiguration)
        self.assertEqual(edited.fingerprint, replace(first, version=9).fingerprint)


class EntryVersionsTest(unittest.TestCase):
    def test_changed_since_returns_the_entries_changed_after_a_version(self) -> None:
        versions = EntryVersions(3)
        for version, name in ((5, "a"), (7, "b"), (9, "a")):
            versions = versions.with_changed([("route", name)], version)
        self.assertEqual(versions.changed_since(3), {("route", "a"), ("route", "b")})
        self.assertEqual(versions.changed_since(7), {("route", "a")})
        self.assertEqual(versions.changed_since(9), frozenset())
        self.assertIsNone(versions.changed_since(2))

    def test_it_is_bounded_and_drops_whole_versions(self) -> None:
        versions = EntryVersions(1)
        per_version = 1000
        for version in range(2, 12):
            names = [f"{version}-{index}" for index in range(per_version)]
            versions = versions.with_changed([("route", name) for name in names], version)
            self.assertLessEqual(len(versions.version_by_entry), MAX_ENTRIES)
        self.assertEqual(versions.since, 7)
        self.assertIsNone(versions.changed_since(6))
        self.assertEqual(len(versions.changed_since(7) or ()), 4 * per_version)

    def test_a_version_above_the_bound_drops_all_versions_before_it(self) -> None:
        many = [("route", str(index)) for index in range(MAX_ENTRIES + 1)]
        versions = EntryVersions(1).with_changed(many, 2)
        self.assertEqual((versions.since, dict(versions.version_by_entry)), (2, {}))
