"""Signals that reach a router while it starts: a reload must not end it, and a stop must."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time
import unittest
from typing import Any

import yaml

from fakes._local_fleet import HOST, ROOT, LocalFleet, fetch, free_ports
from fakes._machines_fleet import eventually

#: Seconds for which a process that is to go on is watched.
WATCH_SECONDS = 1.0
STOP_SECONDS = 5.0


class SignalsAtStartTest(unittest.TestCase):
    """Signals come when the callers' port opens, which is before the libraries are loaded."""

    def setUp(self) -> None:
        self.fleet = self.enterContext(LocalFleet(log_level="ERROR"))
        self.callers, self.peers, self.admin = free_ports(3)

    def start(self, **changes: Any) -> subprocess.Popen[bytes]:
        """Start a router and return once its callers' port is open."""
        path = self.fleet.folder / "starting.yaml"
        settings = {
            "name": "starting",
            "hall": "recife-1",
            "callers": {"host": HOST, "port": self.callers},
            "peers": {"host": HOST, "port": self.peers},
            "admin": {"host": HOST, "port": self.admin},
            "platform": self.fleet.platform_url,
            **changes,
        }
        path.write_text(yaml.safe_dump(settings))
        arguments = ["run", str(path), "--listen", f"{HOST}:{self.callers}"]
        process = subprocess.Popen([sys.executable, "-m", "pondhatch", *arguments], cwd=ROOT)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        eventually(lambda: _accepts(self.callers))
        return process

    def test_a_reload_during_a_start_does_not_end_it(self) -> None:
        process = self.start()
        for _ in range(20):
            process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        eventually(lambda: self.is_running() or process.poll() is not None)
        self.assertIsNone(process.poll())

    def test_a_reload_while_the_platform_is_away_does_not_end_a_start(self) -> None:
        process = self.start(platform=f"http://{HOST}:{free_ports(1)[0]}")
        time.sleep(WATCH_SECONDS)
        process.send_signal(signal.SIGHUP)
        time.sleep(WATCH_SECONDS)
        self.assertIsNone(process.poll())

    def test_a_stop_during_a_start_ends_it_like_any_other(self) -> None:
        for seconds in (0.0, 0.1, 0.3, WATCH_SECONDS):
            with self.subTest(seconds=seconds):
                process = self.start(platform=f"http://{HOST}:{free_ports(1)[0]}")
                time.sleep(seconds)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(STOP_SECONDS), 0)

    def is_running(self) -> bool:
        try:
            return bool(fetch(f"http://{HOST}:{self.admin}/state.json")["phase"] == "live")
        except OSError:
            return False


def _accepts(port: int) -> bool:
    try:
        socket.create_connection((HOST, port)).close()
    except OSError:
        return False
    return True
