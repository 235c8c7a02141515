from __future__ import annotations

import unittest

from pondhatch.configuration import (
    Edit,
    FleetConfiguration,
    Rejected,
    Route,
    RouteSpec,
    RouteTable,
    RouteTarget,
    Snapshot,
)


def route(host: str, prefix: str, *targets: tuple[str, float]) -> RouteSpec:
    route_targets = tuple(RouteTarget(*each) for each in targets or (("s", 1.0),))
    return RouteSpec(host, prefix, route_targets)


class RouteTableTest(unittest.TestCase):
    table = RouteTable.of(
        {
            "root": route("a.example", "/"),
            "notes": route("a.example", "/notes/"),
            "deep": route("a.example", "/notes/deep/er/"),
            "other": route("b.example", "/notes/"),
        }
    )

    def test_the_longest_matching_prefix_is_chosen(self) -> None:
        rows = (
            ("a.example", "/notes/1", "notes"),
            ("a.example", "/notes/", "notes"),
            ("a.example", "/notes", "root"),
            ("a.example", "/notesome/x", "root"),
            ("a.example", "/notes/deep/er/x/y", "deep"),
            ("a.example", "/notes/deep/x", "notes"),
            ("a.example", "/?q=/notes/deep/er/", "root"),
            ("A.Example", "/notes/1?x", "notes"),
            ("a.example:8080", "/notes/1", "notes"),
            ("b.example", "/notes/1", "other"),
            ("b.example", "/", None),
            ("c.example", "/notes/1", None),
            ("", "/notes/1", None),
        )
        for host, path, name in rows:
            with self.subTest(host=host, path=path):
                found = self.table.find(host, path)
                self.assertEqual(found.name if isinstance(found, Route) else None, name)

    def test_services_are_chosen_in_proportion_to_the_weights(self) -> None:
        found = RouteTable.of({"r": route("a", "/", ("x", 1), ("y", 3))}).find("a", "/")
        assert isinstance(found, Route)
        drawn = [found.choose_service(index / 1000) for index in range(1000)]
        self.assertEqual((drawn.count("x"), drawn.count("y")), (250, 750))
        self.assertEqual(found.choose_service(1.0), "y")

    def test_a_target_of_weight_zero_gets_no_requests(self) -> None:
        found = RouteTable.of({"r": route("a", "/", ("x", 1), ("y", 0))}).find("a", "/")
        assert isinstance(found, Route)
        drawn = [found.choose_service(index / 1000) for index in range(1001)]
        self.assertEqual(drawn.count("x"), 1001)

    def test_an_unusable_route_does_not_fall_back_to_a_shorter_prefix(self) -> None:
        routes = {"root": route("a", "/"), "deep": route("a", "/n/deep/")}
        table = RouteTable.of(routes, frozenset({("A", "/n/"), ("a", "/n/deep/")}))
        rows = (("/x", "root"), ("/n/1", None), ("/n/deep/1", "deep"))
        for path, name in rows:
            with self.subTest(path=path):
                found = table.find("a", path)
                self.assertIsNotNone(found)
                self.assertEqual(found.name if isinstance(found, Route) else None, name)


SERVICE = Edit("service", "lang", {"kind": "model", "models": ["m"]})


def route_edit(name: str, **changes: object) -> Edit:
    plain = {"host": "a.example", "path_prefix": "/n/", "targets": [{"service": "lang"}]}
    return Edit("route", name, {**plain, **changes})


class RoutesInAConfigurationTest(unittest.TestCase):
    def test_a_misfit_names_the_entry_and_field(self) -> None:
        rows = (
            ((route_edit("r", targets=[{"service": "x"}]),), ("route", "r"), "service"),
            ((route_edit("r", path_prefix="n"),), ("route", "r"), "path_prefix"),
            ((route_edit("r", targets=[]),), ("route", "r"), "targets"),
            ((route_edit("r"), route_edit("s", host="A.example")), ("route", "s"), "path_prefix"),
            ((route_edit("r", most_tries=0),), ("route", "r"), "most_tries"),
        )
        for edits, entry, field in rows:
            with self.subTest(entry=entry, field=field):
                found = FleetConfiguration().with_edits((SERVICE, *edits))
                assert isinstance(found, Rejected)
                self.assertEqual(found.misfits[0][0], entry)
                self.assertIn(field, str(found))

    def test_a_snapshot_replaces_all_entries_before_it(self) -> None:
        first = FleetConfiguration().with_snapshot(
            Snapshot(3, (SERVICE, route_edit("r"), route_edit("s", host="b")))
        )
        assert isinstance(first, FleetConfiguration)
        second = first.with_snapshot(Snapshot(8, (SERVICE, route_edit("s", host="b"))))
        assert isinstance(second, FleetConfiguration)
        self.assertEqual((second.version, set(second.routes.by_name)), (8, {"s"}))
        self.assertIsNone(second.routes.find("a.example", "/n/"))
        self.assertIs(
            first.with_snapshot(Snapshot(9, second.snapshot().edits)).__class__, FleetConfiguration
        )
