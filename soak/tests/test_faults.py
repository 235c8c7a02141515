"""What a run does to its processes."""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest

from soak._faults import handles

HANDLER = "import signal, time; signal.signal(signal.SIGHUP, print); "
WAIT = "print(flush=True); input()"


class SignalTest(unittest.TestCase):
    # Guards against a hangup that ends a router of which no line has run yet.
    def test_a_process_handles_a_signal_once_it_has_set_a_handler(self) -> None:
        for lines, is_handled in ((WAIT, False), (HANDLER + WAIT, True)):
            command = [sys.executable, "-c", lines]
            with (
                self.subTest(is_handled=is_handled),
                subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process,
            ):
                assert process.stdout is not None
                process.stdout.readline()
                self.assertEqual(handles(process.pid, signal.SIGHUP), is_handled)
                process.communicate(b"\n")
