from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from pondhatch.cli._settings_file import SettingsFile
from pondhatch.configuration import Settings, load_settings

PLAIN = """
name: r0
hall: h1
callers: {address: "127.0.0.1:7001"}
peers: {host: 127.0.0.1, port: 7002}
admin: {host: 127.0.0.1, port: 7003}
platform: http://127.0.0.1:7004
drain: {accept_seconds: 1}
"""


class SettingsFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "router.yaml"
        self.path.write_text(PLAIN)
        self.in_force = load_settings(self.path)
        self.file = SettingsFile(self.path)

    def change(self, old: str, new: str) -> Settings | None:
        self.path.write_text(PLAIN.replace(old, new))
        return self.file.reloaded(self.in_force)

    def test_addresses_may_be_given_whole(self) -> None:
        callers = self.in_force.callers
        self.assertEqual((callers.host, callers.port), ("127.0.0.1", 7001))

    def test_a_change_is_noticed_without_a_signal_and_once(self) -> None:
        self.assertFalse(self.file.changed())
        self.path.write_text(PLAIN + "# more\n")
        self.assertTrue(self.file.changed())
        self.file.reloaded(self.in_force)
        self.assertFalse(self.file.changed())

    def test_what_a_running_router_can_take_in_is_in_force_at_once(self) -> None:
        reloaded = self.change("accept_seconds: 1", "accept_seconds: 5")
        assert reloaded is not None
        self.assertEqual(reloaded.drain.accept_seconds, 5)

    def test_the_rest_waits_for_the_next_start(self) -> None:
        reloaded = self.change("7002", "7999")
        assert reloaded is not None
        self.assertEqual(reloaded.peers.port, 7002)

    def test_a_wrong_file_changes_nothing(self) -> None:
        self.assertIsNone(self.change("hall: h1", "hall: [h1"))
        self.assertIsNone(self.change("accept_seconds: 1", "accept_seconds: soon"))

    def test_a_file_that_is_gone_changes_nothing(self) -> None:
        self.path.unlink()
        self.assertTrue(self.file.changed())
        self.assertIsNone(self.file.reloaded(self.in_force))
        self.assertFalse(self.file.changed())
