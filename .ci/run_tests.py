"""Run every test and end with the line ``N passed, N failed``.

Tests named in KNOWN-RED.txt may fail: they are printed, and do not count as
failed. A known red test that passes fails the run, so that the list stays true.
``--soak`` runs the histories with many more examples under a fresh seed.
"""

from __future__ import annotations

import os
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FOLDERS = ("pondhatch", "fakes", "bench")
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def _cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for each in suite:
        if isinstance(each, unittest.TestSuite):
            yield from _cases(each)
        else:
            yield each


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(":", 1)[0].strip() for line in lines if line.strip()}


def _suite() -> unittest.TestSuite:
    loader = unittest.TestLoader()
    found = [loader.discover(str(ROOT / folder), top_level_dir=str(ROOT)) for folder in FOLDERS]
    return unittest.TestSuite(found)


def main() -> int:
    """Return 0 where nothing failed but what is known to."""
    if "--soak" in sys.argv:
        os.environ["PONDHATCH_SOAK"] = "1"
    sys.path.insert(0, str(ROOT))
    from pondhatch.kernel import install_reactor

    install_reactor()
    suite = _suite()
    names = {case.id() for case in _cases(suite)}
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = {case.id().split(" ")[0] for case, _ in [*result.failures, *result.errors]}
    bad |= {case.id() for case in result.unexpectedSuccesses}
    red = _known_red()
    for name in sorted(red & bad):
        print(f"known red: {name}")
    healed = sorted(red - bad)
    for name in healed:
        print(f"listed as known red, but it passes or is gone: {name}")
    failed = len(bad - red) + len(healed)
    print(f"{len(names) - len(bad) - len(result.skipped)} passed, {failed} failed")
    return 0 if failed == 0 and names else 1


if __name__ == "__main__":
    sys.exit(main())
