"""Problems in operators' files are reported with file, line, field and expectation."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from pondhatch.configuration import (
    ColdSettings,
    ConfigurationError,
    Edit,
    FleetConfiguration,
    RetrySettings,
    Settings,
    VmSettings,
    changed_edits,
    checked_configuration,
    load_fleet_key,
    load_settings,
    read_files,
)
from pondhatch.configuration._settings import MAX_NAME_LENGTH
from pondhatch.membership import Address, Alive, MembershipLimits, Phase, Seal
from pondhatch.membership._datagrams import datagram_to
from pondhatch.membership._records import FullSyncPart

#: Largest payload of a UDP packet over IPv4, in bytes.
UDP_BYTES = 65_507

VALID = """\
services:
  lang:
    kind: model
    models: [writer]
templates:
  studio:
    parameters:
      rate: {type: number, minimum: 1, maximum: 10}
      level: {type: string, choices: [low, high], default: low}
    account:
      services: [lang]
      requests_per_second: $rate
      burst: 5
      concurrency: 5
accounts:
  atelier:
    template: studio
    key_hashes: ["%s"]
    parameters: {rate: 5}
""" % ("a" * 64)

SETTINGS = """\
name: r1
hall: h1
callers: {host: 127.0.0.1, port: 8000}
peers: {host: 127.0.0.1, port: 8001}
admin: {host: 127.0.0.1, port: 8002}
platform: http://127.0.0.1:8003
fleet_key_file: fleet.key
"""

#: (replaced text, replacement, line, field, part of the expectation)
INVALID_FILES = [
    ("models: [writer]", "models: [writer]\n    colour: red", 5, "services.lang.colour", "unknown"),
    ("models: [writer]", "models: writer", 4, "services.lang.models", "valid"),
    ("kind: model", "kind: modal", 3, "services.lang.kind", "'model' or 'plain'"),
    ("rate: 5", "rate: 50", 19, "accounts.atelier.parameters.rate", "at most 10, found 50"),
    ("rate: 5", 'rate: "5"', 19, "accounts.atelier.parameters.rate", "a number"),
    ("rate: 5", "rate: true", 19, "accounts.atelier.parameters.rate", "a number"),
    ("{rate: 5}", "{}", 19, "accounts.atelier.parameters", "missing parameter 'rate'"),
    ("rate: 5", "rate: 5, x: 1", 19, "accounts.atelier.parameters.x", "unknown parameter"),
    ("rate: 5", "rate: 5, level: mid", 19, "accounts.atelier.parameters.level", "low, high"),
    ("template: studio", "template: stadio", 17, "accounts.atelier.template", "of: studio"),
    ("services: [lang]", "services: [long]", 17, "accounts.atelier.template", "of: lang"),
    ("$rate", "$rote", 12, "templates.studio.account.requests_per_second", "undefined parameter"),
    ("burst: 5", "burst: 0", 17, "accounts.atelier.template", "account.burst"),
    ("  atelier:", "  Atelier:", 16, "accounts.Atelier", "a name that matches"),
    ("    kind: model\n", "", 2, "services.lang.kind", "missing"),
    ("kind: model", "kind: model\n    kind: plain", 4, "services.lang.kind", "each key once"),
    ("services:\n  lang", "services:\n  - lang", 1, "services", "object"),
    ("kind: model", "kind: [model", 4, "", "expected YAML"),
    ("default: low", "default: mid", 9, "templates.studio.parameters.level.default", "low, high"),
]


class FilesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def apply(self, text: str) -> FleetConfiguration:
        path = self.folder / "fleet.yaml"
        path.write_text(text)
        entries = read_files([path])
        return checked_configuration(FleetConfiguration(), entries, entries.edits)

    def test_a_valid_file(self) -> None:
        configuration = self.apply(VALID)
        self.assertEqual(configuration.account_of("a" * 64), "atelier")
        self.assertEqual(configuration.policy_by_account["atelier"].requests_per_second, 5)
        self.assertIsNone(configuration.account_of("b" * 64))

    def test_each_problem_is_one_line_with_file_line_and_field(self) -> None:
        for old, new, line, field, expected_text in INVALID_FILES:
            with self.subTest(new=new):
                self.assertIn(old, VALID)
                with self.assertRaises(ConfigurationError) as raised:
                    self.apply(VALID.replace(old, new, 1))
                problems = raised.exception.problems
                self.assertEqual(len(problems), 1, problems)
                self.assertEqual(Path(problems[0].file).name, "fleet.yaml")
                self.assertEqual((problems[0].line, problems[0].field), (line, field))
                self.assertIn(expected_text, problems[0].expected)
                self.assertEqual(len(str(problems[0]).splitlines()), 1)

    def test_all_problems_are_reported_at_once(self) -> None:
        wrong = VALID.replace("kind: model", "kind: x").replace("burst: 5", "burst: 5\n      y: 1")
        with self.assertRaises(ConfigurationError) as raised:
            self.apply(wrong.replace("key_hashes", "keys"))
        self.assertEqual(len(raised.exception.problems), 3)

    def test_an_entry_defined_in_two_files(self) -> None:
        for name in ("one.yaml", "two.yaml"):
            (self.folder / name).write_text(VALID)
        with self.assertRaisesRegex(ConfigurationError, "already defined in"):
            read_files([self.folder])

    def test_two_accounts_with_one_key(self) -> None:
        second = VALID[VALID.index("  atelier") :].replace("atelier", "another")
        with self.assertRaisesRegex(ConfigurationError, "a key of its own, found that of"):
            self.apply(VALID + second)

    def test_a_missing_file(self) -> None:
        with self.assertRaisesRegex(ConfigurationError, "expected a readable"):
            read_files([self.folder / "none.yaml"])

    def test_only_changed_entries_become_edits(self) -> None:
        configuration = self.apply(VALID)
        entries = read_files([self.folder / "fleet.yaml"])
        self.assertEqual(changed_edits(configuration, entries, prune=True), ())
        (self.folder / "fleet.yaml").write_text(VALID[: VALID.index("accounts:")])
        pruned = changed_edits(configuration, read_files([self.folder / "fleet.yaml"]), prune=True)
        self.assertEqual(pruned, (Edit("account", "atelier"),))


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def load(self, text: str) -> object:
        path = self.folder / "router.yaml"
        path.write_text(text)
        return load_settings(path)

    def test_invalid_settings(self) -> None:
        cases = [
            ("hall: h1", "", "hall", "missing"),
            ("port: 8000", "port: 99999", "callers.port", "less than or equal to 65535"),
            ("8001", "0", "peers.port", "greater than or equal to 1"),
            ("host: 127.0.0.1, port: 8000", "host: here, port: 1", "callers.host", "match"),
            ("port: 8000", "port: 8000, certificate: a.pem", "callers", "both certificate"),
            ("host: 127.0.0.1, port: 8002", "host: 10.0.0.1", "admin.host", "match"),
            ("port: 8001", "port: 8001, authority: a.pem", "peers", "all of certificate"),
            ("name: r1", "name: r1\nsurname: x", "surname", "unknown key"),
            ("name: r1", 'name: ""', "name", "length greater than or equal to 1"),
            ("name: r1", "name: 1", "name", "str"),
            ("hall: h1", f"hall: {'h' * 256}", "hall", "length less than or equal to 255"),
            ("name: r1", "name: r1\nretries: {share: -0.1}", "retries.share", "greater than"),
            ("name: r1", "name: r1\nretries: {slack: 1x1}", "retries.slack", "float"),
            ("name: r1", "name: r1\ncold: {overshoot: -1}", "cold.overshoot", "greater than"),
            ("name: r1", "name: r1\nmemory: {megabytes: 0}", "memory.megabytes", "greater than"),
            ("name: r1", "name: r1\nmemory: {held_share: 2}", "memory.held_share", "less than"),
            ("name: r1", "name: r1\nvm: {cpu_quota: 0}", "vm.cpu_quota", "greater than"),
            ("name: r1", "name: r1\nvm: {link_mbps: wide}", "vm.link_mbps", "float"),
            ("name: r1", "name: r1\nregions: {h1: 3}", "regions.h1", "str"),
            ("name: r1", "name: r1\nregions: north", "regions", "expected"),
        ]
        for old, new, field, expected_text in cases:
            with self.subTest(new=new), self.assertRaises(ConfigurationError) as raised:
                self.load(SETTINGS.replace(old, new, 1))
            problems = raised.exception.problems
            self.assertEqual([problem.field for problem in problems], [field])
            self.assertIn(expected_text, problems[0].expected)

    def test_settings_left_empty_take_their_defaults(self) -> None:
        left_empty = "\nretries:\n  share:\n  slack: 56\ncold:\n  overshoot:\n  slack:\nregions:\n"
        settings = self.load(SETTINGS + left_empty)
        assert isinstance(settings, Settings)
        self.assertEqual(settings.retries, RetrySettings(None, 56.0))
        self.assertEqual((settings.cold, settings.regions), (ColdSettings(), None))

    def test_the_held_bytes_bound_is_a_share_of_the_memory(self) -> None:
        for megabytes, share, expected in (
            ("512", "0.125", 64 * 1024 * 1024),
            ("1e+3", "1", 1000 * 1024 * 1024),
            ("1e-09", "0.5", 1),
            ("", "0.125", None),
            ("512", "", None),
            ("", "", None),
        ):
            with self.subTest(megabytes=megabytes, share=share):
                filled = f"\nmemory:\n  megabytes: {megabytes}\n  held_share: {share}\n"
                settings = self.load(SETTINGS + filled)
                assert isinstance(settings, Settings)
                self.assertEqual(settings.held_bytes_bound, expected)

    def test_vm_settings_may_be_filled_in_or_left_empty(self) -> None:
        for quota, cores, link, expected in (
            ("0.5", "2.15", "100", VmSettings(0.5, 2.15, 100.0)),
            ("5e-01", "", "", VmSettings(0.5)),
            ("", "", "", VmSettings()),
        ):
            with self.subTest(expected=expected):
                filled = f"\nvm:\n  cpu_quota: {quota}\n  cores: {cores}\n  link_mbps: {link}\n"
                settings = self.load(SETTINGS + filled)
                assert isinstance(settings, Settings)
                self.assertEqual(settings.vm, expected)

    def test_router_and_hall_names_take_any_form(self) -> None:
        for name in ("Edge_1", "edge.1", "Boa Viagem", "s\u00e3o", "e" * 64, "\u6771" * 255, "-"):
            with self.subTest(name=name):
                written = json.dumps(name)
                text = SETTINGS.replace("r1", written, 1).replace("h1", written, 1)
                settings = self.load(text)
                assert isinstance(settings, Settings)
                self.assertEqual((settings.name, settings.hall), (name, name))

    def test_numbers_are_read_in_any_json_form(self) -> None:
        for number in (0, 0.2, 1.5, 1e-05, 1e9, 1e22):
            with self.subTest(number=number):
                written = json.dumps(number)
                both = f"  {{}}: {written}\n  slack: {written}\n"
                filled = "retries:\n" + both.format("share") + "cold:\n" + both.format("overshoot")
                settings = self.load(f"{SETTINGS}\n{filled}")
                assert isinstance(settings, Settings)
                self.assertEqual(settings.retries, RetrySettings(number, number))
                self.assertEqual(settings.cold, ColdSettings(number, number))

    def test_the_longest_names_fit_the_packets_between_routers(self) -> None:
        longest = "\U0001d11e" * MAX_NAME_LENGTH
        limits = MembershipLimits()
        big = 1 << 62
        alive = Alive((1 << 32) - 1, big, Phase.LIVE, longest, "ff" * 20, 65535, longest)
        part = FullSyncPart(alive.router, True, (alive,) * limits.sync_part_rumors)
        sealed = Seal(b"k" * 16).sign(datagram_to(Address("", 0), part).payload)
        self.assertLessEqual(len(sealed), UDP_BYTES)

    def test_a_short_or_missing_fleet_key(self) -> None:
        key = self.folder / "fleet.key"
        settings = load_settings(self.write_with_key(key))
        with self.assertRaisesRegex(ConfigurationError, "fleet_key_file: expected a readable"):
            load_fleet_key(settings)
        key.write_text("short")
        with self.assertRaisesRegex(ConfigurationError, "at least 16 bytes"):
            load_fleet_key(settings)
        key.write_text("long enough to be one\n")
        self.assertEqual(load_fleet_key(settings), b"long enough to be one")

    def write_with_key(self, key: Path) -> Path:
        path = self.folder / "router.yaml"
        path.write_text(SETTINGS.replace("fleet.key", str(key)))
        return path
