from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from pondhatch.cli._settings_file import SettingsFile
from pondhatch.configuration import Settings, load_settings

SETTINGS = """
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
        self.path.write_text(SETTINGS)
        self.current = load_settings(self.path)
        self.file = SettingsFile(self.path)

    def change(self, old: str, new: str) -> Settings | None:
        self.path.write_text(SETTINGS.replace(old, new))
        return self.file.reload(self.current)

    def test_an_address_may_be_given_as_one_string(self) -> None:
        callers = self.current.callers
        self.assertEqual((callers.host, callers.port), ("127.0.0.1", 7001))

    def test_a_change_is_noticed_once_without_a_signal(self) -> None:
        self.assertFalse(self.file.has_changed())
        self.path.write_text(SETTINGS + "# more\n")
        self.assertTrue(self.file.has_changed())
        self.file.reload(self.current)
        self.assertFalse(self.file.has_changed())

    def test_a_reloadable_setting_takes_effect_at_once(self) -> None:
        reloaded = self.change("accept_seconds: 1", "accept_seconds: 5")
        assert reloaded is not None
        self.assertEqual(reloaded.drain.accept_seconds, 5)

    def test_other_settings_keep_their_value_until_the_next_start(self) -> None:
        reloaded = self.change("7002", "7999")
        assert reloaded is not None
        self.assertEqual(reloaded.peers.port, 7002)

    def test_an_invalid_file_changes_nothing(self) -> None:
        self.assertIsNone(self.change("hall: h1", "hall: [h1"))
        self.assertIsNone(self.change("accept_seconds: 1", "accept_seconds: soon"))

    def test_a_missing_file_changes_nothing(self) -> None:
        self.path.unlink()
        self.assertTrue(self.file.has_changed())
        self.assertIsNone(self.file.reload(self.current))
        self.assertFalse(self.file.has_changed())
