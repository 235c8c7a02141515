"""Entries of an accepted configuration that cannot be used: contained, told, and mended."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from fakes._entries import SERVICE, TEMPLATE
from pondhatch.configuration import UNREADABLE, Edit, Fleet, Rejected, Snapshot
from pondhatch.configuration.tests.test_fleet import account, change
from pondhatch.configuration.tests.test_routes import route_edit

PLAIN = Edit("service", "portal", {"kind": "plain"})
#: Ways to write entries; of one name at most one is in a configuration.
WAYS: tuple[Edit, ...] = (
    SERVICE,
    Edit("service", "lang", {UNREADABLE: "a word that is not known"}),
    PLAIN,
    Edit("service", "portal", {"kind": "model", "models": ["writer"]}),
    TEMPLATE,
    Edit("template", "studio", {"account": {"services": ["$nothing"]}}),
    Edit("template", "studio", {UNREADABLE: "a word that is not known"}),
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
    Edit("route", "t", {"host": "a.example", UNREADABLE: "a word that is not known"}),
    Edit("bounds", "callers", {UNREADABLE: "a word that is not known"}),
    Edit("flavour", "new", {"kind": "of a later version"}),
)


@st.composite
def configurations(draw: st.DrawFn) -> tuple[Edit, ...]:
    """Draw entries, each name once."""
    drawn = draw(st.lists(st.sampled_from(WAYS), max_size=10))
    return tuple({(edit.kind, edit.name): edit for edit in drawn}.values())


def parts(fleet: Fleet) -> dict[str, Any]:
    """Return all that is in force."""
    return {
        "services": list(fleet.service_by_name.items()),
        "routes": fleet.routes,
        "bounds": fleet.caller_bounds,
        "templates": fleet.template_by_name,
        "policies": fleet.policy_by_account,
        "keys": fleet.account_by_key_hash,
        "raw": fleet.raw_by_entry,
        "misfits": {key: set(found) for key, found in fleet.misfits_by_entry.items()},
    }


class AcceptedTest(unittest.TestCase):
    @given(st.lists(configurations(), min_size=1, max_size=5))
    def test_the_same_is_in_force_at_whoever_saw_it_come_and_whoever_starts(
        self, accepted: list[tuple[Edit, ...]]
    ) -> None:
        fleet = Fleet()
        for version, edits in enumerate(accepted, 1):
            fleet = fleet.replaced_by(Snapshot(version, edits))
        self.assertEqual(parts(fleet), parts(Fleet.from_snapshot(fleet.snapshot())))
        self.assertEqual(fleet.version, len(accepted))

    @given(configurations(), configurations())
    def test_an_entry_that_cannot_be_used_changes_nothing_for_the_others(
        self, good: tuple[Edit, ...], bad: tuple[Edit, ...]
    ) -> None:
        alone = Fleet.from_snapshot(Snapshot(1, good))
        if alone.misfits_by_entry:
            return
        names = {(edit.kind, edit.name) for edit in good}
        unusable = tuple(edit for edit in bad if UNREADABLE in (edit.value or {}))
        added = tuple(edit for edit in unusable if (edit.kind, edit.name) not in names)
        both = Fleet.from_snapshot(Snapshot(1, (*good, *added)))
        self.assertEqual(both.service_by_name, alone.service_by_name)
        self.assertEqual(both.routes.by_name, alone.routes.by_name)
        self.assertEqual(both.policy_by_account, alone.policy_by_account)
        self.assertEqual(both.account_by_key_hash, alone.account_by_key_hash)
        self.assertEqual(set(both.misfits_by_entry), {(e.kind, e.name) for e in added})

    def test_of_two_accounts_with_one_key_the_first_by_name_has_it_until_it_goes(self) -> None:
        shared = b"shared".hex().ljust(64, "0")
        both = (SERVICE, TEMPLATE, account("b", key="shared"), account("a", key="shared"))
        fleet = Fleet.from_snapshot(Snapshot(1, both[:3])).replaced_by(Snapshot(2, both))
        self.assertEqual(fleet.account_of(shared), "a")
        self.assertEqual(set(fleet.misfits_by_entry), {("account", "b")})
        later = fleet.replaced_by(Snapshot(3, both[:3]))
        self.assertEqual((later.account_of(shared), later.misfits_by_entry), ("b", {}))

    def test_an_account_may_use_the_services_that_are_there(self) -> None:
        edits = (PLAIN, TEMPLATE, account("a"))
        first = Fleet.from_snapshot(Snapshot(1, edits))
        self.assertEqual(first.policy_by_account["a"].services, ())
        later = first.replaced_by(Snapshot(2, (*edits, SERVICE)))
        self.assertEqual(later.policy_by_account["a"].services, ("lang",))
        self.assertEqual(later.misfits_by_entry, {})

    def test_a_route_whose_service_comes_later_is_then_whole(self) -> None:
        targets = [{"service": "lang"}, {"service": "portal"}]
        edits = (SERVICE, route_edit("r", targets=targets))
        first = Fleet.from_snapshot(Snapshot(1, edits))
        self.assertEqual([each.service for each in first.routes.by_name["r"].targets], ["lang"])
        self.assertFalse(first.is_whole("route"))
        later = first.replaced_by(Snapshot(2, (*edits, PLAIN)))
        self.assertEqual(len(later.routes.by_name["r"].targets), 2)
        self.assertTrue(later.is_whole("route"))


class ChangesAfterThemTest(unittest.TestCase):
    """A log of changes goes on over entries that were wrong before."""

    def test_what_was_wrong_before_holds_no_change_back(self) -> None:
        twin = Edit("service", "twin", SERVICE.value)
        wrong = Edit("account", "x", {UNREADABLE: "a word that is not known"})
        start = Fleet.from_snapshot(Snapshot(1, (SERVICE, TEMPLATE, twin, wrong)))
        self.assertEqual(len(start.misfits_by_entry), 2)
        later = start.with_change(change(2, account("a")))
        assert isinstance(later, Fleet)
        self.assertIn("a", later.policy_by_account)
        self.assertEqual(later.misfits_by_entry, start.misfits_by_entry)

    def test_nor_where_its_text_changes_with_what_there_is(self) -> None:
        lost = Edit("account", "x", {"template": "none", "key_hashes": ["0" * 64]})
        start = Fleet.from_snapshot(Snapshot(1, (SERVICE, TEMPLATE, lost)))
        other = Edit("template", "other", TEMPLATE.value)
        self.assertIsInstance(start.with_change(change(2, other)), Fleet)

    def test_a_change_that_is_wrong_itself_is_still_none_at_all(self) -> None:
        wrong = Edit("account", "x", {UNREADABLE: "a word that is not known"})
        start = Fleet.from_snapshot(Snapshot(1, (SERVICE, TEMPLATE, wrong)))
        for edits in ((account("a"), account("b", rate=-1.0)), (account("a"), wrong)):
            with self.subTest(edits=edits):
                self.assertIsInstance(start.with_change(change(2, *edits)), Rejected)
