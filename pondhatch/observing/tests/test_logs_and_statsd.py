from __future__ import annotations

import contextlib
import io
import json
import socket
import unittest

from pondhatch.observing import StatsdMetrics, log_for, setup_logs


class LogsTest(unittest.TestCase):
    def logged(self, form: str) -> str:
        stream = io.StringIO()
        with contextlib.redirect_stderr(stream):
            setup_logs(form, "INFO", "r0")
            log_for("sync").info("Watching the platform for hall {}.", "h1")
            log_for("sync").debug("Not shown.")
        self.addCleanup(setup_logs, "text", "ERROR", "tests")
        return stream.getvalue()

    def test_a_text_line_has_the_prefix_of_its_part(self) -> None:
        line = self.logged("text")
        self.assertTrue(line.endswith("sync: Watching the platform for hall h1.\n"), line)

    def test_json_has_the_part_and_the_process(self) -> None:
        record = json.loads(self.logged("json"))["record"]
        self.assertEqual(record["extra"], {"part": "sync", "process": "r0"})
        self.assertEqual(record["message"], "Watching the platform for hall h1.")


class StatsdTest(unittest.TestCase):
    def test_each_measurement_is_a_datagram(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as port:
            port.bind(("127.0.0.1", 0))
            port.settimeout(5)
            metrics = StatsdMetrics("127.0.0.1", port.getsockname()[1], "pond.r0")
            metrics.count("requests.whole", 2)
            metrics.timing("requests.placed", 0.25)
            metrics.gauge("routers", 8)
            datagrams = [port.recv(512).decode() for _ in range(3)]
        self.assertEqual(datagrams[0], "pond.r0.requests.whole:2|c")
        self.assertTrue(datagrams[1].startswith("pond.r0.requests.placed:250.0"), datagrams[1])
        self.assertEqual(datagrams[2], "pond.r0.routers:8|g")
