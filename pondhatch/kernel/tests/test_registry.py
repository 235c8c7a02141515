from __future__ import annotations

import unittest

from pondhatch.kernel import Plugin, Registry, RegistryError


class Loads:
    """A view."""


class Other:
    """Another view."""


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = Registry()

        @self.registry.register("placement", "reads-loads")
        class ReadsLoads(Plugin):
            DEPENDENCIES = (Loads,)

        self.plugin = ReadsLoads

    def test_a_plugin_gets_only_its_declared_views(self) -> None:
        loads = Loads()
        built = self.registry.build("placement", "reads-loads", {Loads: loads, Other: Other()})
        self.assertIs(built.view(Loads), loads)
        with self.assertRaisesRegex(RegistryError, "does not declare Other"):
            built.view(Other)

    def test_errors_name_what_is_missing(self) -> None:
        cases = [
            ("placement", "nothing", "known: reads-loads"),
            ("limits", "nothing", "known: none"),
            ("placement", "reads-loads", "needs Loads"),
        ]
        for kind, name, message in cases:
            with self.subTest(name=name), self.assertRaisesRegex(RegistryError, message):
                self.registry.build(kind, name, {})

    def test_a_name_registered_twice_is_an_error(self) -> None:
        with self.assertRaisesRegex(RegistryError, "registered twice"):
            self.registry.register("placement", "reads-loads")(self.plugin)
