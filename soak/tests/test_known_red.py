"""What CI passes over: how the lines of KNOWN-RED.txt are read."""

from __future__ import annotations

import importlib.util
import sys
import tempfile
import unittest
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from types import ModuleType
from unittest.mock import patch

ROOT = Path(__file__).resolve().parents[2]
#: Id of a test, as in the file's lines.
TEST = "pondhatch.tests.test_a.ATest.test_b"


def load_runner() -> ModuleType:
    """Return the script that runs all tests; its folder is no package."""
    spec = importlib.util.spec_from_file_location("run_tests", ROOT / ".ci/run_tests.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    # Its data classes look their module up.
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


class KnownRedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = load_runner()
        self.root = Path(self.enterContext(tempfile.TemporaryDirectory())) / "tree"
        for name in ("review/1/run.sh", "../run.sh"):
            script = self.root / name
            script.parent.mkdir(parents=True, exist_ok=True)
            script.write_text("exit 1\n")
            script.chmod(0o755)
        (self.root / "notes.txt").write_text("no script\n")

    def read(self, *lines: str) -> tuple[dict[str, bool], list[str], list[str]]:
        """Return the tests, the cases and the faulty lines of a file with these lines."""
        known = self.runner.read_known_red("\n".join(lines), self.root)
        return known.sometimes_by_test, list(known.cases), list(known.faulty_lines)

    def test_a_line_is_a_test_unless_it_says_that_it_is_a_case(self) -> None:
        lines = (f"{TEST}: command; seen", "", f"{TEST}c (sometimes): command; seen")
        self.assertEqual(self.read(*lines), ({TEST: False, f"{TEST}c": True}, [], []))
        # It is looked for among the tests, and fails the run as gone.
        for head in ("review/1/run.sh", "python -m soak --seed 3", "Case review/1/run.sh", "case"):
            with self.subTest(head):
                self.assertEqual(self.read(f"{head}: seen"), ({head: False}, [], []))

    # Each entry was looked for among the tests, so that a case had no line of its own.
    def test_cases_name_a_script_or_a_command_of_the_soak_or_say_that_none_was_kept(self) -> None:
        heads = ("review/1/run.sh", "python -m soak --seed 3 --minutes 0.5", "no script kept (1)")
        lines = [f"case {head}: seen: once; issue 1" for head in heads]
        self.assertEqual(self.read(*lines), ({}, list(heads), []))

    def test_a_case_that_names_nothing_to_run_is_faulty(self) -> None:
        heads = (TEST, f"{TEST} (sometimes)", "review/2/run.sh", "review/1", "notes.txt", "", "..")
        outside = ("/bin/sh", "../run.sh")
        for head in (*heads, *outside, "python -m soak", "python -m soaked --seed 3", "no script"):
            with self.subTest(head):
                line = f"case {head}: seen"
                self.assertEqual(self.read(line), ({}, [], [line]))

    def run_all(self, *lines: str) -> tuple[int, str]:
        """Run two tests of one class, b that fails and c that passes; return status and output."""
        (self.root / "KNOWN-RED.txt").write_text("\n".join(lines))
        result = self.runner.ClassResult(2, 0, (TEST,), "", (TEST, f"{TEST}c"))
        with (
            patch.object(self.runner, "ROOT", self.root),
            patch.object(self.runner, "KNOWN_RED", self.root / "KNOWN-RED.txt"),
            patch.object(self.runner, "_class_names", lambda: ["ATest"]),
            patch.object(self.runner, "_start_class", lambda _: result),
            redirect_stdout(StringIO()) as output,
        ):
            return self.runner._run_all(), output.getvalue()

    def test_cases_are_printed_and_the_run_fails_as_ever(self) -> None:
        red = f"{TEST}: command; seen"
        case = "case review/1/run.sh: seen"
        status, output = self.run_all(red, case)
        self.assertEqual((status, output.splitlines()[-1]), (0, "1 passed, 0 failed"))
        self.assertIn("known red, a case that is not run here: review/1/run.sh\n", output)
        self.assertIn(f"known red: {TEST}\n", output)
        for lines in (
            (case,),  # A test that is not listed fails.
            (red, case, f"{TEST}c: command; seen"),  # A listed one passes.
            (red, case, f"{TEST}d: command; seen"),  # A listed one is gone or misspelt.
            (red, case, f"{TEST}d (sometimes): command; seen"),
            (red, case, f"case {TEST}d: seen"),
            (red, case, "case review/2/run.sh: seen"),
        ):
            with self.subTest(lines):
                status, output = self.run_all(*lines)
                self.assertEqual((status, output.splitlines()[-1]), (1, "1 passed, 1 failed"))

    def test_the_file_at_the_root_is_in_order(self) -> None:
        known = self.runner.read_known_red(self.runner.KNOWN_RED.read_text(), ROOT)
        self.assertEqual(known.faulty_lines, ())
