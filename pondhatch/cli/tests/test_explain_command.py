"""The command ``pondhatch explain``: its output, and its errors."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from pondhatch.cli._main import main
from pondhatch.cli._reports import EXIT_DONE, EXIT_INPUT
from pondhatch.explaining.tests.test_timeline import LOST, in_force, line


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="pondhatch-")
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "r0.log"
        self.file.write_text(
            "\n".join((line("r0", 1.0, in_force(7, "the platform")), line("r0", 2.5, LOST)))
        )

    def run_with(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(["explain", *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_a_timeline_is_printed_as_sentences(self) -> None:
        code, out, _ = self.run_with("9c41", str(self.file))
        self.assertEqual(code, EXIT_DONE)
        self.assertIn("00:00:02.500  r0: request 9c41 of pina for lang", out)
        self.assertIn("since 00:00:01.000: configuration is in force as of 7", out)

    def test_a_timeline_is_printed_as_json(self) -> None:
        code, out, _ = self.run_with("9c41", str(self.file), "--json")
        self.assertEqual((code, json.loads(out)["name"]), (EXIT_DONE, "9c41"))

    def test_an_unknown_name_and_a_missing_file_are_input_errors(self) -> None:
        code, _, err = self.run_with("another", str(self.file))
        self.assertEqual(code, EXIT_INPUT)
        self.assertIn("nothing is said of 'another' in 1 files (2 lines, 0 others)", err)
        code, _, err = self.run_with("9c41", f"{self.file}.gone")
        self.assertEqual(code, EXIT_INPUT)
        self.assertIn("r0.log.gone: No such file", err)
