"""Guards against names of the platform in code outside its adapter."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from pondhatch.platform import _names

PACKAGE = Path(__file__).resolve().parents[2]
#: Headers of HTTP itself, which any code may name.
COMMON = frozenset({"Authorization", "Retry-After"})
#: Fields of the platform's objects and settings.
OBJECT_FIELDS = (
    "PathPrefix",
    "TargetLatencyMs",
    "TimeoutMs",
    "ApiKeys",
    "MaxAttempts",
    "ColdRemainingMs",
    "ColdPerS",
    "AllowedRegions",
    "evacuations/",
    "SinceRev",
    "StaleOk",
    "KvUsedTokens",
    "ItlTargetMs",
    "PortRange",
    "Frontend",
)


def names() -> set[str]:
    """Return the headers that the adapter names."""
    constants = vars(_names).items()
    texts = {value for name, value in constants if name.isupper() and isinstance(value, str)}
    return {text for text in texts if "-" in text} - COMMON


class NameIsolationTest(unittest.TestCase):
    def test_no_platform_name_occurs_outside_the_adapter(self) -> None:
        self.assertGreater(len(names()), 5)
        pattern = re.compile("|".join(map(re.escape, (*sorted(names()), *OBJECT_FIELDS))))
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if "tests" not in path.parts and "platform" not in path.parts
            for match in pattern.finditer(path.read_text())
        ]
        self.assertEqual(found, [])
