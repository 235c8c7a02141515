"""A stop signal that comes while a process begins to ignore stop signals."""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest

#: Ignores stop signals as a router does, and gets one right after the loop has given them up.
PROGRAM = """
import asyncio, os, signal
from pondhatch.cli._stop_signals import StopSignals

async def main():
    loop = asyncio.get_running_loop()
    signals = StopSignals(loop.time)
    signals.follow()
    give_up = loop.remove_signal_handler

    def give_up_and_be_signalled(number):
        give_up(number)
        os.kill(os.getpid(), number)

    loop.remove_signal_handler = give_up_and_be_signalled
    signals.ignore()
    os.kill(os.getpid(), signal.{signal})

asyncio.run(main())
"""


class LateStopSignalTest(unittest.TestCase):
    # Guards against the default action of a signal between two handlers of it.
    def test_a_signal_while_stop_signals_begin_to_be_ignored_does_not_kill(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number.name):
                program = PROGRAM.replace("{signal}", number.name)
                ended = subprocess.run([sys.executable, "-c", program], check=False)
                self.assertEqual(ended.returncode, 0)
