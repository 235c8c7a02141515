"""Invalid entries of an accepted configuration do not affect others, and can be repaired."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from fakes._entries import SERVICE, TEMPLATE
from pondhatch.configuration import UNREADABLE_KEY, Edit, FleetConfiguration, Rejected, Snapshot
from pondhatch.configuration.tests.test_fleet import account, change
from pondhatch.configuration.tests.test_routes import route_edit

PLAIN_SERVICE = Edit("service", "portal", {"kind": "plain"})
#: Variants of entries; a configuration has at most one of each kind and name.
ENTRY_VARIANTS: tuple[Edit, ...] = (
    SERVICE,
    Edit("service", "lang", {UNREADABLE_KEY: "a word that is not known"}),
    PLAIN_SERVICE,
    Edit("service", "portal", {"kind": "model", "models": ["writer"]}),
    TEMPLATE,
    Edit("template", "studio", {"account": {"services": ["$nothing"]}}),
    Edit("template", "studio", {UNREADABLE_KEY: "a word that is not known"}),
    account("a"),
    account("a", key="shared"),
    account("a", rate=-1.0),
    account("b"),
    account("b", key="shared"),
    Edit("account", "b", {"template": "none", "key_hashes": ["0" * 64]}),
    account("c", key="shared"),
    account("c", key="a"),
    route_edit("r"),
    route_edit("r", targets=[{"service": "lang"}, {"service": "portal"}]),
    route_edit("s"),
    route_edit("s", targets=[{"service": "portal"}]),
    route_edit("s", path_prefix="no prefix"),
    route_edit("t", targets=[{"service": "nowhere"}]),
    Edit("route", "t", {"host": "a.example", UNREADABLE_KEY: "a word that is not known"}),
    Edit("bounds", "callers", {UNREADABLE_KEY: "a word that is not known"}),
    Edit("flavour", "new", {"kind": "of a later version"}),
)


@st.composite
def configurations(draw: st.DrawFn) -> tuple[Edit, ...]:
    """Draw entries, each kind and name at most once."""
    drawn = draw(st.lists(st.sampled_from(ENTRY_VARIANTS), max_size=10))
    return tuple({(edit.kind, edit.name): edit for edit in drawn}.values())


def content(configuration: FleetConfiguration) -> dict[str, Any]:
    """Return the applied entries, the entries as written and the misfits, without versions."""
    return {
        "services": list(configuration.service_by_name.items()),
        "routes": configuration.routes,
        "bounds": configuration.caller_bounds,
        "templates": configuration.template_by_name,
        "policies": configuration.policy_by_account,
        "keys": configuration.account_by_key_hash,
        "raw": configuration.raw_by_entry,
        "misfits": {key: set(found) for key, found in configuration.misfits_by_entry.items()},
    }


class SnapshotTest(unittest.TestCase):
    @given(st.lists(configurations(), min_size=1, max_size=5))
    def test_following_each_version_gives_the_same_as_starting_from_the_last(
        self, accepted: list[tuple[Edit, ...]]
    ) -> None:
        fleet = FleetConfiguration()
        for version, edits in enumerate(accepted, 1):
            fleet = fleet.with_snapshot(Snapshot(version, edits))
        self.assertEqual(
            content(fleet), content(FleetConfiguration.from_snapshot(fleet.snapshot()))
        )
        self.assertEqual(fleet.version, len(accepted))

    @given(configurations(), configurations())
    def test_an_unreadable_entry_does_not_affect_the_others(
        self, good: tuple[Edit, ...], bad: tuple[Edit, ...]
    ) -> None:
        alone = FleetConfiguration.from_snapshot(Snapshot(1, good))
        if alone.misfits_by_entry:
            return
        names = {(edit.kind, edit.name) for edit in good}
        unreadable = tuple(edit for edit in bad if UNREADABLE_KEY in (edit.value or {}))
        added = tuple(edit for edit in unreadable if (edit.kind, edit.name) not in names)
        both = FleetConfiguration.from_snapshot(Snapshot(1, (*good, *added)))
        self.assertEqual(both.service_by_name, alone.service_by_name)
        self.assertEqual(both.routes.by_name, alone.routes.by_name)
        self.assertEqual(both.policy_by_account, alone.policy_by_account)
        self.assertEqual(both.account_by_key_hash, alone.account_by_key_hash)
        self.assertEqual(set(both.misfits_by_entry), {(e.kind, e.name) for e in added})

    def test_a_shared_key_belongs_to_the_first_account_by_name_until_it_is_removed(self) -> None:
        shared = b"shared".hex().ljust(64, "0")
        both = (SERVICE, TEMPLATE, account("b", key="shared"), account("a", key="shared"))
        configuration = FleetConfiguration.from_snapshot(Snapshot(1, both[:3])).with_snapshot(
            Snapshot(2, both)
        )
        self.assertEqual(configuration.account_of(shared), "a")
        self.assertEqual(set(configuration.misfits_by_entry), {("account", "b")})
        later = configuration.with_snapshot(Snapshot(3, both[:3]))
        self.assertEqual((later.account_of(shared), later.misfits_by_entry), ("b", {}))

    def test_an_account_keeps_those_of_its_services_that_are_defined(self) -> None:
        edits = (PLAIN_SERVICE, TEMPLATE, account("a"))
        first = FleetConfiguration.from_snapshot(Snapshot(1, edits))
        self.assertEqual(first.policy_by_account["a"].services, ())
        later = first.with_snapshot(Snapshot(2, (*edits, SERVICE)))
        self.assertEqual(later.policy_by_account["a"].services, ("lang",))
        self.assertEqual(later.misfits_by_entry, {})

    def test_a_route_gains_a_target_whose_service_is_defined_later(self) -> None:
        targets = [{"service": "lang"}, {"service": "portal"}]
        edits = (SERVICE, route_edit("r", targets=targets))
        first = FleetConfiguration.from_snapshot(Snapshot(1, edits))
        self.assertEqual([each.service for each in first.routes.by_name["r"].targets], ["lang"])
        self.assertFalse(first.is_fully_applied("route"))
        later = first.with_snapshot(Snapshot(2, (*edits, PLAIN_SERVICE)))
        self.assertEqual(len(later.routes.by_name["r"].targets), 2)
        self.assertTrue(later.is_fully_applied("route"))


class ChangesAfterMisfitsTest(unittest.TestCase):
    """Entries that were invalid before do not block later changes of the log."""

    def test_earlier_misfits_do_not_reject_a_change(self) -> None:
        twin = Edit("service", "twin", SERVICE.value)
        wrong = Edit("account", "x", {UNREADABLE_KEY: "a word that is not known"})
        start = FleetConfiguration.from_snapshot(Snapshot(1, (SERVICE, TEMPLATE, twin, wrong)))
        self.assertEqual(len(start.misfits_by_entry), 2)
        later = start.with_change(change(2, account("a")))
        assert isinstance(later, FleetConfiguration)
        self.assertIn("a", later.policy_by_account)
        self.assertEqual(later.misfits_by_entry, start.misfits_by_entry)

    def test_earlier_misfits_whose_text_changes_do_not_reject_a_change(self) -> None:
        dangling = Edit("account", "x", {"template": "none", "key_hashes": ["0" * 64]})
        start = FleetConfiguration.from_snapshot(Snapshot(1, (SERVICE, TEMPLATE, dangling)))
        other = Edit("template", "other", TEMPLATE.value)
        self.assertIsInstance(start.with_change(change(2, other)), FleetConfiguration)

    def test_a_change_with_a_misfit_of_its_own_is_rejected_whole(self) -> None:
        wrong = Edit("account", "x", {UNREADABLE_KEY: "a word that is not known"})
        start = FleetConfiguration.from_snapshot(Snapshot(1, (SERVICE, TEMPLATE, wrong)))
        for edits in ((account("a"), account("b", rate=-1.0)), (account("a"), wrong)):
            with self.subTest(edits=edits):
                self.assertIsInstance(start.with_change(change(2, *edits)), Rejected)
