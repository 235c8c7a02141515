from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from fakes._entries import SERVICE, TEMPLATE
from pondhatch.configuration import Change, Edit, FleetConfiguration, Rejected, VersionGap


def account(name: str, rate: float = 1.0, key: str = "") -> Edit:
    hashed = (key or name).encode().hex().ljust(64, "0")[:64]
    value = {"template": "studio", "key_hashes": [hashed], "parameters": {"rate": rate}}
    return Edit("account", name, value)


def change(version: int, *edits: Edit) -> Change:
    return Change(version, f"id-{version}", "ana", 0.0, "", edits)


def with_changes(configuration: FleetConfiguration, *changes: Change) -> FleetConfiguration:
    for each in changes:
        following = configuration.with_change(each)
        if not isinstance(following, FleetConfiguration):
            raise AssertionError(following)
        configuration = following
    return configuration


START = with_changes(FleetConfiguration(), change(1, SERVICE, TEMPLATE, account("a")))


class FleetConfigurationTest(unittest.TestCase):
    def test_a_change_is_all_or_nothing(self) -> None:
        rejected = START.with_change(change(2, account("b"), account("c", rate=-1.0)))
        self.assertIsInstance(rejected, Rejected)
        self.assertEqual(set(START.policy_by_account), {"a"})

    def test_a_rejected_change_is_skipped_and_the_next_one_follows(self) -> None:
        skipped = START.with_skipped_change(change(2, account("c", rate=-1.0)))
        later = with_changes(skipped, change(3, account("d")))
        self.assertEqual((later.version, set(later.policy_by_account)), (3, {"a", "d"}))

    def test_a_change_that_skips_or_repeats_a_version_is_a_gap(self) -> None:
        for version in (1, 3):
            self.assertEqual(START.with_change(change(version)), VersionGap(1, version))

    def test_a_template_change_applies_to_its_accounts(self) -> None:
        assert isinstance(TEMPLATE.value, dict)
        body = {**TEMPLATE.value["account"], "burst": 9}
        later = with_changes(
            START, change(2, Edit("template", "studio", {**TEMPLATE.value, "account": body}))
        )
        self.assertEqual(later.policy_by_account["a"].burst, 9)

    def test_an_entry_that_others_refer_to_cannot_be_removed(self) -> None:
        for edit in (Edit("template", "studio"), Edit("service", "lang")):
            with self.subTest(edit=edit):
                self.assertIsInstance(START.with_change(change(2, edit)), Rejected)

    def test_a_key_may_move_between_accounts_in_one_change(self) -> None:
        later = with_changes(START, change(2, account("a", key="new"), account("b", key="a")))
        self.assertEqual(later.account_of(b"a".hex().ljust(64, "0")), "b")

    def test_a_removed_account_loses_its_key(self) -> None:
        later = with_changes(START, change(2, Edit("account", "a")))
        self.assertEqual((later.policy_by_account, later.account_by_key_hash), ({}, {}))

    def test_two_services_cannot_claim_one_model(self) -> None:
        twin = Edit("service", "twin", SERVICE.value)
        self.assertIsInstance(START.with_change(change(2, twin)), Rejected)

    @given(st.lists(st.tuples(st.sampled_from("abcd"), st.floats(0.5, 9)), max_size=12))
    def test_a_snapshot_restores_the_configuration_after_changes(
        self, steps: list[tuple[str, float]]
    ) -> None:
        fleet = START
        for name, rate in steps:
            fleet = with_changes(fleet, change(fleet.version + 1, account(name, rate)))
        restored = FleetConfiguration.from_snapshot(fleet.snapshot())
        assert isinstance(restored, FleetConfiguration)
        self.assertEqual(restored.version, fleet.version)
        self.assertEqual(restored.policy_by_account, fleet.policy_by_account)
        self.assertEqual(restored.account_by_key_hash, fleet.account_by_key_hash)

    def test_changes_since_a_version_are_those_after_it(self) -> None:
        later = with_changes(START, change(2, account("b")), change(3, account("c")))
        self.assertEqual([c.version for c in later.changes_since(1) or ()], [2, 3])
        self.assertEqual(later.changes_since(3), ())
        restored = FleetConfiguration.from_snapshot(later.snapshot())
        assert isinstance(restored, FleetConfiguration)
        self.assertIsNone(restored.changes_since(1))
