"""Guards against routers rejecting a whole configuration that the platform has accepted.

If routers check it against bounds of their own, such as 16 API keys an account, an account with 17
keeps that version and all later ones out of force: running routers answer 404 on added routes and
401 on added keys, and restarted ones, which have no configuration at all, serve nobody.
"""

from __future__ import annotations

import copy
import unittest
from typing import Any

from pondhatch.configuration import FleetConfiguration, Route
from pondhatch.platform.tests._wire import CONFIGURATION
from pondhatch.platform.tests.test_configuration import configuration_of, key_hash

ADDED_KEY = "key-added"
ADDED_ROUTE = {**CONFIGURATION["Routes"][2], "Name": "r-added", "PathPrefix": "/added/"}


def next_version(changes: dict[str, Any]) -> dict[str, Any]:
    """Return the next configuration: one more route and key, and some parts replaced."""
    value = copy.deepcopy(CONFIGURATION)
    value["Version"] = 12
    value["Routes"].append(ADDED_ROUTE)
    value["Tenants"].append({"Name": "added", "ApiKeys": [ADDED_KEY]})
    for part, entries in changes.items():
        value[part] = [*value[part], *entries] if isinstance(entries, list) else entries
    return value


class AcceptedConfigurationTest(unittest.TestCase):
    def assert_others_in_force(self, configuration: FleetConfiguration) -> None:
        """Check that the configuration's other entries are in force."""
        self.assertEqual(configuration.version, 12)
        for path, name in (("/added/1", "r-added"), ("/notes/1", "r-notes")):
            route = configuration.routes.find("desk.example", path)
            self.assertEqual(route.name if isinstance(route, Route) else None, name)
        accounts = [
            configuration.account_of(key_hash(key)) for key in (ADDED_KEY, "key-1", "key-2")
        ]
        self.assertEqual(accounts, ["added", "pina", "pina"])
        self.assertIn("lang", configuration.service_by_name)

    def test_no_bound_of_the_router_rejects_an_entry(self) -> None:
        keys = [f"many-{index}" for index in range(200)]
        route = {**ADDED_ROUTE, "Name": "r-other", "PathPrefix": "/other/"}
        shares = [{"Service": "lang", "Weight": 0}, {"Service": "portal", "Weight": 1}]
        rows: tuple[dict[str, Any], ...] = (
            {"Tenants": [{"Name": "other", "ApiKeys": keys}]},
            {"Tenants": [{"Name": "other", "ApiKeys": keys, "Priority": 12}]},
            {"Tenants": [{"Name": "Other Studio, Ltd.", "ApiKeys": keys}]},
            {"Routes": [{**route, "Priority": 12}]},
            {"Routes": [{**route, "MaxAttempts": 0}]},
            {"Routes": [{**route, "Service": None, "Backends": shares}]},
            {
                "Services": [{"Name": "Archive_App.v2" * 6}],
                "Routes": [{**route, "Service": "Archive_App.v2" * 6}],
            },
            {"Limits": {**CONFIGURATION["Limits"], "MaxHeaderBytes": 512}},
        )
        for changes in rows:
            with self.subTest(changes=changes):
                before = configuration_of(CONFIGURATION)
                for base in (before, FleetConfiguration()):
                    configuration = configuration_of(next_version(changes), base)
                    self.assert_others_in_force(configuration)
                    if "Tenants" in changes:
                        name = changes["Tenants"][0]["Name"]
                        self.assertEqual(configuration.account_of(key_hash(keys[-1])), name)
                    if "Routes" in changes:
                        found = configuration.routes.find("desk.example", "/other/1")
                        self.assertEqual(
                            found.name if isinstance(found, Route) else None, "r-other"
                        )

    def test_an_unusable_entry_rejects_no_other(self) -> None:
        route = {**ADDED_ROUTE, "Name": "r-other", "PathPrefix": "/other/"}
        rows: tuple[dict[str, Any], ...] = (
            {"Routes": [{**route, "Type": "sometimes"}]},
            {"Routes": [{"Name": "r-other"}]},
            {"Routes": [{**route, "Service": "nowhere"}]},
            {"Routes": [{**route, "TimeoutMs": -1}]},
            {"Routes": [{**route, "PathPrefix": ADDED_ROUTE["PathPrefix"]}]},
            {"Routes": ["no route"]},
            {"Tenants": [{"Name": "other", "ApiKeys": "no list"}]},
            {"Tenants": [{"Name": "other", "ApiKeys": ["a"], "Priority": "high"}]},
            {"Tenants": [{"Name": "zeca", "ApiKeys": ["key-1", "key-zeca"]}]},
            {"Tenants": [None]},
            {"Services": [{"Name": "other", "EngineId": "no object"}]},
            {"Services": [{"HealthPath": "/healthz"}]},
            {"Limits": {"MaxHeaderBytes": "many"}},
        )
        for changes in rows:
            with self.subTest(changes=changes):
                for base in (configuration_of(CONFIGURATION), FleetConfiguration()):
                    self.assert_others_in_force(configuration_of(next_version(changes), base))
