from __future__ import annotations

import copy
import hashlib
import unittest
from typing import Any
from unittest.mock import patch

import msgspec

from pondhatch.configuration import FleetConfiguration, Route, ServiceDefaults, UnusableRoute
from pondhatch.platform._configuration import ConfigurationReader, decode_configuration
from pondhatch.platform._entries import read_entry
from pondhatch.platform.tests._wire import CONFIGURATION

DEFAULTS = ServiceDefaults(load_bound=1.7, load_slack=3)


def configuration_of(value: Any, base: FleetConfiguration | None = None) -> FleetConfiguration:
    return (base or FleetConfiguration()).with_snapshot(decode_configuration(value, DEFAULTS))


def key_hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


class ChangeStormTest(unittest.TestCase):
    """Guards against changes of a large configuration, several a second, that pause all streams.

    Work repeated for each entry blocks the event loop: computing the fields of the structs anew,
    0.2 ms an entry, makes each change of 450 routes a pause of 107 ms.
    """

    def test_struct_fields_are_computed_once_for_any_number_of_entries(self) -> None:
        decode_configuration(CONFIGURATION, DEFAULTS)
        many = copy.deepcopy(CONFIGURATION)
        many["Routes"] += [
            {**route, "Name": f"{route['Name']}-{index}", "PathPrefix": f"/{index}/"}
            for route in CONFIGURATION["Routes"]
            for index in range(100)
        ]
        with patch("msgspec.structs.fields", side_effect=AssertionError) as fields:
            snapshot = decode_configuration(many, DEFAULTS)
        fields.assert_not_called()
        self.assertGreater(len(snapshot.edits), 300)

    def test_only_changed_entries_are_read_again(self) -> None:
        reader = ConfigurationReader(DEFAULTS)
        first = reader.decode(CONFIGURATION)
        changed = copy.deepcopy(CONFIGURATION)
        changed["Routes"][0]["TimeoutMs"] += 1
        with patch("pondhatch.platform._entries.read_entry", wraps=read_entry) as read:
            second = reader.decode(changed)
        self.assertEqual([call.args[1] for call in read.call_args_list], [changed["Routes"][0]])
        self.assertEqual(second, decode_configuration(changed, DEFAULTS))
        self.assertNotEqual(second.edits, first.edits)

    def test_duplicate_and_removed_entries_decode_as_without_a_cache(self) -> None:
        reader = ConfigurationReader(DEFAULTS)
        reader.decode(CONFIGURATION)
        twice = copy.deepcopy(CONFIGURATION)
        twice["Routes"].append(copy.deepcopy(twice["Routes"][0]))
        fewer = copy.deepcopy(CONFIGURATION)
        del fewer["Routes"][0], fewer["Tenants"][0]
        nobody = {**copy.deepcopy(CONFIGURATION), "Tenants": None}
        for index, value in enumerate((twice, fewer, nobody, CONFIGURATION, twice)):
            with self.subTest(index=index):
                self.assertEqual(reader.decode(value), decode_configuration(value, DEFAULTS))


class WholeConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.configuration = configuration_of(CONFIGURATION)

    def test_routes_are_as_the_operator_configured_them(self) -> None:
        rows = (
            ("/notes/1", "r-notes", "resumed", True, 2, 0),
            ("/briefs/1?x=/notes/", "r-briefs", "never", True, 1, 1),
            ("/proofs/a/b", "r-proofs", "never", False, 1, 2),
            ("/elsewhere", "r-assets", "any", False, 2, 2),
        )
        for path, name, repeats, streams, tries, priority in rows:
            with self.subTest(path=path):
                route = self.configuration.routes.find("desk.example", path)
                assert isinstance(route, Route)
                spec = route.spec
                self.assertEqual(route.name, name)
                self.assertEqual(
                    (spec.repeats, spec.streams, spec.most_tries, spec.priority),
                    (repeats, streams, tries, priority),
                )
        self.assertIsNone(self.configuration.routes.find("other.example", "/notes/1"))

    def test_times_are_converted_to_seconds(self) -> None:
        spec = self.configuration.routes.by_name["r-notes"]
        self.assertEqual((spec.timeout, spec.objective, spec.longest_pause), (8.0, 0.4, 0.3))

    def test_weights_split_a_routes_requests(self) -> None:
        route = self.configuration.routes.find("desk.example", "/briefs/")
        assert isinstance(route, Route)
        drawn = [route.choose_service(index / 100) for index in range(100)]
        self.assertEqual(drawn.count("lang"), 90)

    def test_only_the_hashes_of_keys_are_kept(self) -> None:
        keys = ("key-1", "key-2", "key-3", "key-4")
        found = [self.configuration.account_of(key_hash(key)) for key in keys]
        self.assertEqual(found, ["pina", "pina", "rosa", None])
        held = b"".join(self.configuration.raw_by_entry.values())
        self.assertNotIn(b"key-1", held)

    def test_an_accounts_own_priority_overrides_the_routes(self) -> None:
        policies = self.configuration.policy_by_account
        self.assertEqual((policies["pina"].priority, policies["rosa"].priority), (1, None))
        self.assertNotIn("gone", policies)

    def test_services_get_the_default_load_bounds(self) -> None:
        lang, portal = (self.configuration.service_by_name[name] for name in ("lang", "portal"))
        self.assertEqual((lang.kind, lang.load_bound, lang.load_slack), ("model", 1.7, 3))
        self.assertEqual(portal.kind, "plain")

    def test_reads_the_bounds_on_callers(self) -> None:
        bounds = self.configuration.caller_bounds
        assert bounds is not None
        self.assertEqual((bounds.header_bytes, bounds.header_seconds), (16384, 3.0))


class ChangedConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.changed = copy.deepcopy(CONFIGURATION)
        self.changed["Version"] = 12

    def test_removed_keys_and_routes_are_removed(self) -> None:
        self.changed["Tenants"][0]["ApiKeys"] = ["key-2"]
        del self.changed["Routes"][2]
        configuration = configuration_of(self.changed, configuration_of(CONFIGURATION))
        self.assertEqual(configuration.version, 12)
        self.assertIsNone(configuration.account_of(key_hash("key-1")))
        self.assertEqual(configuration.account_of(key_hash("key-2")), "pina")
        route = configuration.routes.find("desk.example", "/proofs/a")
        assert isinstance(route, Route)
        self.assertEqual(route.name, "r-assets")

    def test_a_change_in_place_equals_the_same_read_anew(self) -> None:
        self.changed["Routes"][0]["Service"] = "portal"
        self.changed["Tenants"].pop(0)
        over = configuration_of(self.changed, configuration_of(CONFIGURATION))
        anew = configuration_of(self.changed)
        for field in ("routes", "service_by_name", "policy_by_account", "account_by_key_hash"):
            self.assertEqual(getattr(over, field), getattr(anew, field), field)

    def test_a_route_to_an_unknown_service_is_a_misfit_and_serves_no_requests(self) -> None:
        self.changed["Routes"][0]["Service"] = "nowhere"
        configuration = configuration_of(self.changed)
        self.assertEqual(set(configuration.misfits_by_entry), {("route", "r-notes")})
        self.assertNotIn("r-notes", configuration.routes.by_name)
        # The route of a shorter prefix does not get its requests either.
        self.assertIsInstance(configuration.routes.find("desk.example", "/notes/1"), UnusableRoute)
        others = {
            name for name in configuration_of(CONFIGURATION).routes.by_name if name != "r-notes"
        }
        self.assertEqual(set(configuration.routes.by_name), others)

    def test_what_is_no_configuration_is_an_error(self) -> None:
        for value in ({}, {"Version": "7"}, {"Version": 7, "Routes": {}}, None):
            with self.subTest(value=value), self.assertRaises(msgspec.ValidationError):
                decode_configuration(value, DEFAULTS)

    def test_an_unreadable_route_is_a_misfit_and_serves_no_requests(self) -> None:
        self.changed["Routes"][0]["Type"] = "sometimes"
        configuration = configuration_of(self.changed, configuration_of(CONFIGURATION))
        (misfit,) = configuration.misfits_by_entry["route", "r-notes#1"]
        self.assertIn("sometimes", misfit.expected)
        self.assertIsInstance(configuration.routes.find("desk.example", "/notes/1"), UnusableRoute)
        self.assertNotIn("r-notes", configuration.routes.by_name)

    def test_an_unreadable_route_without_a_prefix_makes_its_host_unusable(self) -> None:
        self.changed["Routes"].append({"Name": "x", "Host": "other.example"})
        configuration = configuration_of(self.changed)
        self.assertIsInstance(configuration.routes.find("other.example", "/any/1"), UnusableRoute)
        self.assertIsInstance(configuration.routes.find("desk.example", "/notes/1"), Route)

    def test_a_corrected_entry_is_in_force(self) -> None:
        self.changed["Routes"][0]["Type"] = "sometimes"
        corrected = {**copy.deepcopy(CONFIGURATION), "Version": 13}
        configuration = configuration_of(corrected, configuration_of(self.changed))
        self.assertEqual((configuration.version, configuration.misfits_by_entry), (13, {}))
        self.assertEqual(configuration.routes, configuration_of(corrected).routes)

    def test_an_unreadable_optional_field_leaves_its_entry_usable(self) -> None:
        route = {"Priority": "high", "MaxAttempts": [], "Sticky": 1, "Public": "yes"}
        self.changed["Routes"][0].update(route)
        self.changed["Tenants"][0]["Priority"] = "high"
        configuration = configuration_of(self.changed)
        spec = configuration.routes.by_name["r-notes"]
        self.assertEqual((spec.priority, spec.most_tries, spec.public), (5, 1, False))
        self.assertEqual(configuration.account_of(key_hash("key-1")), "pina")
        self.assertEqual(
            set(configuration.misfits_by_entry), {("route", "r-notes"), ("account", "pina")}
        )
        (misfit,) = configuration.misfits_by_entry["route", "r-notes"]
        for field in route:
            self.assertIn(field, misfit.expected)

    def test_a_null_field_has_its_default_and_a_whole_number_may_have_a_decimal_point(self) -> None:
        route = {"Priority": None, "MaxAttempts": 2.0, "ItlTargetMs": None, "Public": None}
        self.changed["Routes"][0].update(route, TimeoutMs=None, TargetLatencyMs=0)
        self.changed["Services"][0]["EngineId"] = {"Moves": None}
        self.changed["Tenants"][2]["ApiKeys"] = None
        configuration = configuration_of(self.changed)
        self.assertEqual(configuration.misfits_by_entry, {})
        spec = configuration.routes.by_name["r-notes"]
        self.assertEqual((spec.priority, spec.most_tries, spec.timeout), (5, 2, 120.0))
        self.assertEqual(configuration.service_by_name["lang"].kind, "model")

    def test_limits_are_read_one_by_one(self) -> None:
        self.changed["Limits"]["HeaderTimeoutMs"] = "long"
        configuration = configuration_of(self.changed)
        bounds = configuration.caller_bounds
        assert bounds is not None
        self.assertEqual((bounds.body_bytes, bounds.header_seconds), (4194304, None))
        self.assertEqual(set(configuration.misfits_by_entry), {("bounds", "callers")})

    def test_a_prefix_without_its_final_slash_is_unusable_as_if_it_had_one(self) -> None:
        self.changed["Routes"][2]["PathPrefix"] = "/proofs"
        configuration = configuration_of(self.changed)
        self.assertIsInstance(configuration.routes.find("desk.example", "/proofs/a"), UnusableRoute)
        self.assertIsInstance(configuration.routes.find("desk.example", "/x"), Route)

    def test_an_account_name_with_a_line_break_is_a_misfit(self) -> None:
        self.changed["Tenants"][0]["Name"] = "pina\nX-Own: 1"
        configuration = configuration_of(self.changed)
        self.assertEqual(set(configuration.misfits_by_entry), {("account", "pina\nX-Own: 1")})
        self.assertIsNone(configuration.account_of(key_hash("key-1")))

    def test_unreadable_tenants_do_not_make_routes_public(self) -> None:
        self.changed["Tenants"] = [None, {"Name": "pina", "ApiKeys": 3}]
        configuration = configuration_of(self.changed)
        route = configuration.routes.by_name["r-notes"]
        self.assertFalse(route.public)
        self.assertIsNone(configuration.account_of(key_hash("key-1")))


class RegionsAndCapacityTest(unittest.TestCase):
    """Restrictions to regions, and the capacities of services and their engines."""

    def edited(self, kind: str, at: int, **fields: Any) -> FleetConfiguration:
        value = copy.deepcopy(CONFIGURATION)
        value[kind][at].update(fields)
        return configuration_of(value)

    def test_a_route_is_restricted_to_its_regions(self) -> None:
        configuration = self.edited("Routes", 0, AllowedRegions=["north", "south"])
        self.assertEqual(configuration.routes.by_name["r-notes"].regions, ("north", "south"))
        self.assertIsNone(configuration.routes.by_name["r-proofs"].regions)

    def test_an_account_restricted_to_regions_keeps_its_priority(self) -> None:
        configuration = self.edited("Tenants", 0, AllowedRegions=["São Paulo"])
        restricted, unrestricted = (
            configuration.policy_by_account["pina"],
            configuration.policy_by_account["rosa"],
        )
        self.assertEqual((restricted.regions, restricted.priority), (("São Paulo",), 1))
        self.assertEqual((unrestricted.regions, unrestricted.priority), (None, None))
        self.assertFalse(configuration.misfits_by_entry)

    def test_unreadable_regions_lift_no_restriction(self) -> None:
        for value in ([], "north", [3], [""], {"north": True}, 7):
            with self.subTest(value=value):
                configuration = self.edited("Routes", 0, AllowedRegions=value)
                self.assertIsInstance(
                    configuration.routes.find("desk.example", "/notes/a"), UnusableRoute
                )
                configuration = self.edited("Tenants", 0, AllowedRegions=value)
                self.assertIsNone(configuration.account_of(key_hash("key-1")))
                self.assertFalse(configuration.is_fully_applied("account"))

    def test_null_regions_are_no_misfit(self) -> None:
        configuration = self.edited("Routes", 0, AllowedRegions=None)
        self.assertIsNone(configuration.routes.by_name["r-notes"].regions)
        self.assertFalse(configuration.misfits_by_entry)

    def test_a_service_has_its_connection_limit_only_where_configured(self) -> None:
        for value, expected in ((64, 64), (64.0, 64), (0, None), (-1, None), ("x", None)):
            with self.subTest(value=value):
                configuration = self.edited("Services", 0, MaxConnections=value)
                self.assertEqual(configuration.service_by_name["lang"].max_connections, expected)
                self.assertEqual(bool(configuration.misfits_by_entry), value == "x")
        edits = decode_configuration(CONFIGURATION, DEFAULTS).edits
        values = [each.value for each in edits if each.kind == "service"]
        self.assertFalse(any("max_connections" in (value or {}) for value in values))

    def test_a_service_has_its_rate_for_cold_engines(self) -> None:
        rows = ((13.0, 13.0), (0.0, None), (0, None), (None, None))
        for value, expected in rows:
            with self.subTest(value=value):
                configuration = self.edited("Services", 0, ColdPerS=value)
                self.assertEqual(configuration.service_by_name["lang"].cold_pace, expected)

    def test_a_service_has_the_token_capacity_of_its_engines(self) -> None:
        for value, expected in (
            (90_000, 90_000),
            (9e4, 90_000),
            (0, None),
            ("x", None),
            (-1, None),
        ):
            with self.subTest(value=value):
                configuration = self.edited("Services", 0, EngineId={"KvCapacityTokens": value})
                self.assertEqual(configuration.service_by_name["lang"].engine_tokens, expected)
        self.assertIsNone(configuration_of(CONFIGURATION).service_by_name["portal"].engine_tokens)
