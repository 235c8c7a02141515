"""The command line run as a process: its output and exit codes."""

from __future__ import annotations

import tempfile
import threading
import time
import unittest
from pathlib import Path

from fakes._local_fleet import ROOT, LocalFleet, fetch

EXAMPLE = str(ROOT / "examples/render-desk")


class CommandLineTest(unittest.TestCase):
    fleet: LocalFleet

    def setUp(self) -> None:
        self.fleet = self.enterContext(LocalFleet())
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        done = self.fleet.run_cli(*arguments)
        return done.returncode, done.stdout, done.stderr

    def apply(self, *arguments: str) -> tuple[int, str, str]:
        return self.run_command(
            "apply", *arguments, "--platform", self.fleet.platform_url, "--author", "ana"
        )

    def arm(self, **fault: object) -> None:
        fetch(f"{self.fleet.platform_url}/faults", fault)

    def test_apply_change_history_and_undo(self) -> None:
        platform = ["--platform", self.fleet.platform_url]
        self.assertEqual(self.apply(EXAMPLE)[0], 0)
        self.assertEqual(self.apply(EXAMPLE)[1], "nothing to change\n")
        text = (ROOT / "examples/render-desk/fleet.yaml").read_text()
        changed = self.folder / "fleet.yaml"
        changed.write_text(text.replace("burst: 20", "burst: 25"))
        code, output, _ = self.apply(str(changed), "--dry-run")
        self.assertEqual(code, 0)
        self.assertIn("~ template studio", output)
        self.assertEqual(output.count("changes account"), 4)
        self.assertEqual(self.run_command("diff", str(changed), *platform)[1], output)
        self.assertIn("version 1\n", self.run_command("show", *platform)[1])
        self.assertIn("accepted as version 2", self.apply(str(changed), "--note", "more")[1])
        history = self.run_command("history", *platform)
        self.assertEqual(history[0], 0, history)
        self.assertIn("ana  more: template studio", history[1])
        undone = self.run_command("undo", "2", *platform, "--author", "bento")
        self.assertIn("accepted as version 3", undone[1], undone)
        shown = self.run_command("show", *platform, "--name", "launch-decks")[1]
        self.assertIn("burst=20", shown)
        self.assertNotIn("key", shown)

    def test_each_failure_has_its_exit_code(self) -> None:
        wrong = self.folder / "wrong.yaml"
        wrong.write_text("services: {x: {kind: model, models: [m], colour: red}}\n")
        code, _, errors = self.run_command("check", str(wrong))
        self.assertEqual(code, 1)
        self.assertIn(f"{wrong}:1: services.x.colour: unknown key", errors)
        self.assertEqual(self.run_command("check", "--no-such-flag")[0], 2)
        self.assertEqual(self.run_command("dump", "--admin", "127.0.0.1:9")[0], 4)
        self.arm(name="outage", seconds=3)
        self.assertEqual(self.apply(EXAMPLE)[0], 4)

    def test_a_write_whose_answer_is_lost_is_read_back_as_accepted(self) -> None:
        self.arm(name="lost-answer")
        code, output, _ = self.apply(EXAMPLE)
        self.assertEqual((code, "accepted as version 1" in output), (0, True))

    def test_a_write_that_cannot_be_read_back_is_unknown(self) -> None:
        self.arm(name="lost-answer")
        self.arm(name="outage", seconds=6, after=3)
        code, _, errors = self.apply(EXAMPLE)
        self.assertEqual(code, 5, errors)
        self.assertIn("unknown: change", errors)

    def test_a_conflict_shows_the_other_change(self) -> None:
        self.assertEqual(self.apply(EXAMPLE)[0], 0)
        winner = {
            "version": 2,
            "change_id": "theirs",
            "author": "bento",
            "made_at": 0.0,
            "note": "",
            "edits": [{"kind": "account", "name": "night-batch", "value": None}],
        }
        self.arm(name="slow", seconds=1.5, after=3)
        text = (ROOT / "examples/render-desk/fleet.yaml").read_text()
        changed = self.folder / "fleet.yaml"
        changed.write_text(text.replace("burst: 20", "burst: 25"))

        def race() -> None:
            platform = self.fleet.platform_url
            while fetch(f"{platform}/calls")["write"] < 2:
                time.sleep(0.02)
            fetch(f"{platform}/v1/objects/pondhatch-change/000000000002", winner, "PUT")

        racer = threading.Thread(target=race)
        racer.start()
        code, _, errors = self.apply(str(changed))
        racer.join()
        self.assertEqual(code, 3, errors)
        self.assertIn("bento made change 2 first", errors)


if __name__ == "__main__":
    unittest.main()
