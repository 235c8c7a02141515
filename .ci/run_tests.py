"""Run every test, side by side, and end with the line ``N passed, N failed``.

Each test class runs in a process of its own, half as many at a time as there are
processors; the longest known ones begin first. Tests named in KNOWN-RED.txt may fail:
they are printed, and do not count as failed. A known red test that passes fails the
run, so that the list stays true. Where its entry says that it fails only sometimes, it
may pass and is printed; the run then fails only if the test is gone or skipped. A line that
begins with ``case`` stands for something else that is known to fail: a script, a command of
the soak, or what no script was kept of. It is printed and not run.
``--soak`` runs the histories with many more examples under a fresh seed.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FOLDERS = ("pondhatch", "fakes", "bench", "soak")
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: After a test's id in KNOWN-RED.txt: it fails in some runs and passes in others.
SOMETIMES = "(sometimes)"
#: Begins a line of KNOWN-RED.txt that is no test; what it names follows.
CASE = "case "
#: Begins a case that a seed of the soak shows.
SOAK_COMMAND = "python -m soak -"
#: Begins a case that nothing in the tree shows.
NO_SCRIPT = "no script kept"
#: Set in every test's process, as where a submission is tested: Hypothesis then draws the same
#: examples each time, and fails no test for the time that drawing one took, which a busy
#: machine alone decides.
SAME_EACH_TIME = {"CI": "true"}
#: Set in the environment of a run with many more examples.
SOAK = "PONDHATCH_SOAK"
#: Begins the run of one class in a process of its own; a class and a file follow.
ONE_CLASS = "--one-class"
#: Parts of names of the classes that take longest, whole fleets and histories.
SLOW = ("fakes.", "soak.", "histor", "authority")


@dataclass(frozen=True)
class ClassResult:
    """What became of one class's tests."""

    ran: int
    skipped: int
    #: Ids of those that failed.
    bad: tuple[str, ...]
    output: str
    #: Ids of all that ran to an end.
    ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class KnownRed:
    """What KNOWN-RED.txt lists."""

    #: By the id of a test that may fail: whether it fails only sometimes.
    sometimes_by_test: dict[str, bool]
    #: What each case names.
    cases: tuple[str, ...]
    #: Cases that name nothing that is there.
    faulty_lines: tuple[str, ...]


def _cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for each in suite:
        if isinstance(each, unittest.TestSuite):
            yield from _cases(each)
        else:
            yield each


def read_known_red(text: str, root: Path) -> KnownRed:
    """Return what the lines of KNOWN-RED.txt list; scripts are looked for below ``root``."""
    sometimes_by_test: dict[str, bool] = {}
    cases, faulty_lines = [], []
    for line in filter(str.strip, text.splitlines()):
        head = line.split(":", 1)[0].strip()
        if not line.startswith(CASE):
            sometimes_by_test[head.removesuffix(SOMETIMES).strip()] = head.endswith(SOMETIMES)
        elif _is_case(name := head.removeprefix(CASE.strip()).strip(), root):
            cases.append(name)
        else:
            faulty_lines.append(line)
    return KnownRed(sometimes_by_test, tuple(cases), tuple(faulty_lines))


def _is_case(name: str, root: Path) -> bool:
    """Return whether a name is a script below ``root``, a command, or says that there is none."""
    if name.startswith((SOAK_COMMAND, NO_SCRIPT)):
        return True
    script = (root / name).resolve()
    return script.is_relative_to(root.resolve()) and script.is_file() and os.access(script, os.X_OK)


def _class_names() -> list[str]:
    """Return the names of all test classes, the slow ones first."""
    loader = unittest.TestLoader()
    found = [loader.discover(str(ROOT / folder), top_level_dir=str(ROOT)) for folder in FOLDERS]
    names = {_class_of(case) for case in _cases(unittest.TestSuite(found))}
    return sorted(names, key=lambda name: (not any(part in name for part in SLOW), name))


def _class_of(case: unittest.TestCase) -> str:
    if type(case).__module__ == "unittest.loader":
        return case.id()  # A module that cannot be imported; its run says why.
    return f"{type(case).__module__}.{type(case).__qualname__}"


def _run_class(name: str, report: Path) -> None:
    """Run one class here, and write what became of it."""
    suite = unittest.TestLoader().loadTestsFromName(name)
    ids = [case.id() for case in _cases(suite)]
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = {case.id().split(" ")[0] for case, _ in [*result.failures, *result.errors]}
    bad |= {case.id() for case in result.unexpectedSuccesses}
    skipped = {case.id() for case, _ in result.skipped}
    found = {
        "ran": len(ids),
        "skipped": len(result.skipped),
        "bad": sorted(bad),
        "ids": [each for each in ids if each not in skipped],
    }
    report.write_text(json.dumps(found))


def _start_class(name: str) -> ClassResult:
    """Run one class in a process of its own."""
    with tempfile.TemporaryDirectory(prefix="pondhatch-test-") as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, __file__, ONE_CLASS, name, str(report)]
        # A soak draws anew.
        environment = os.environ | ({} if SOAK in os.environ else SAME_EACH_TIME)
        ended = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False
        )
        output = ended.stdout + ended.stderr
        if not report.exists():
            return ClassResult(1, 0, (name,), output + f"\n{name}: its process ended early\n")
        found = json.loads(report.read_text())
        bad, ids = tuple(found["bad"]), tuple(found["ids"])
        return ClassResult(found["ran"], found["skipped"], bad, output, ids)


def main() -> int:
    """Return 0 where nothing failed but what is known to."""
    sys.path.insert(0, str(ROOT))
    if "--soak" in sys.argv:
        os.environ[SOAK] = "1"
    from pondhatch.kernel import install_reactor

    install_reactor()
    if ONE_CLASS in sys.argv:
        name, report = sys.argv[sys.argv.index(ONE_CLASS) + 1 :][:2]
        _run_class(name, Path(report))
        return 0
    return _run_all()


def _run_all() -> int:
    names = _class_names()
    with ThreadPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        results = dict(zip(names, pool.map(_start_class, names), strict=True))
    bad = {each for result in results.values() for each in result.bad}
    for name, result in results.items():
        if result.bad:
            print(f"--- {name}\n{result.output}")
    known = read_known_red(KNOWN_RED.read_text() if KNOWN_RED.exists() else "", ROOT)
    red = known.sometimes_by_test
    for each in sorted(red.keys() & bad):
        print(f"known red: {each}")
    seen = {each for result in results.values() for each in result.ids}
    spared = {each for each, sometimes in red.items() if sometimes and each in seen - bad}
    for each in sorted(spared):
        print(f"known red, fails sometimes, passed this time: {each}")
    healed = sorted(red.keys() - bad - spared)
    for each in healed:
        print(f"listed as known red, but it passes or is gone: {each}")
    for each in known.cases:
        print(f"known red, a case that is not run here: {each}")
    for each in known.faulty_lines:
        print(f"listed as a known red case, but it names no script and no command: {each}")
    ran = sum(result.ran - result.skipped for result in results.values())
    failed = len(bad - red.keys()) + len(healed) + len(known.faulty_lines)
    print(f"{ran - len(bad)} passed, {failed} failed")
    return 0 if failed == 0 and ran else 1


if __name__ == "__main__":
    sys.exit(main())
