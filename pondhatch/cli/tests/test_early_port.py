"""Guards against refusing callers while a router is still being loaded.

After a power cut all routers of a data hall restart together, so the balancer has no other router
and every caller reconnects. A router takes 0.5 to 0.7 s from its start to its first answer, while a
refused caller retries only once, immediately.
"""

from __future__ import annotations

import contextlib
import io
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from twisted.internet.selectreactor import SelectReactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from pondhatch._early_port import LISTEN_OPTION, _opened_by_address, open_early, take_early
from pondhatch.cli import main
from pondhatch.cli._ports import listen_to_callers
from pondhatch.cli._reports import EXIT_INPUT
from pondhatch.configuration import CallerEndpoint

HOST = "127.0.0.1"
SETTINGS = """\
name: r0
hall: h1
platform: "http://127.0.0.1:9"
callers:
  address: "127.0.0.1:{port}"
peers:
  host: 127.0.0.1
  port: 7000
admin:
  host: 127.0.0.1
  port: 7000
"""


def free_port() -> int:
    with socket.create_server((HOST, 0)) as found:
        port: int = found.getsockname()[1]
    return port


class EarlyPortTest(unittest.TestCase):
    def tearDown(self) -> None:
        for address in tuple(_opened_by_address):
            _opened_by_address.pop(address).close()

    def test_a_caller_that_connects_before_the_router_is_loaded_is_served(self) -> None:
        port = free_port()
        open_early(["run", "router.yaml", LISTEN_OPTION, f"{HOST}:{port}"])
        caller = self.enterContext(socket.create_connection((HOST, port), 1.0))
        caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
        reactor = SelectReactor()  # Never run, so it accepts only on doRead().
        listening = listen_to_callers(reactor, CallerEndpoint(HOST, port), Site(Resource()))
        self.addCleanup(listening.stopListening)
        before = len(reactor.getReaders())
        listening.doRead()
        self.assertEqual(len(reactor.getReaders()), before + 1)
        self.assertIsNone(take_early(HOST, port))

    def test_an_occupied_port_is_not_opened_early(self) -> None:
        with socket.create_server((HOST, 0)) as occupied:
            port = occupied.getsockname()[1]
            open_early(["run", "router.yaml", LISTEN_OPTION, f"{HOST}:{port}"])
        self.assertIsNone(take_early(HOST, port))

    def test_arguments_without_a_valid_port_open_none(self) -> None:
        for arguments in (
            [],
            ["run", "x"],
            ["run", "x", LISTEN_OPTION],
            ["check", "x", LISTEN_OPTION, f"{HOST}:1"],
        ):
            with self.subTest(arguments=arguments):
                open_early(arguments)
        open_early(["run", "x", LISTEN_OPTION, "nowhere"])
        open_early(["run", "x", LISTEN_OPTION, f"{HOST}:99999"])
        self.assertIsNone(take_early(HOST, 1))

    def test_an_address_that_differs_from_the_settings_is_an_error_that_names_both(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "router.yaml"
            path.write_text(SETTINGS.format(port=7001))
            stderr = io.StringIO()
            with contextlib.redirect_stderr(stderr):
                code = main(["run", str(path), LISTEN_OPTION, "127.0.0.1:0"])
        self.assertEqual(code, EXIT_INPUT)
        self.assertIn("127.0.0.1:0", stderr.getvalue())
        self.assertIn("127.0.0.1:7001", stderr.getvalue())

    def test_the_port_is_open_before_the_program_is_loaded(self) -> None:
        """Importing pondhatch.cli exits with 7 here, after connecting to the port succeeded."""
        port = free_port()
        script = (
            "import socket, sys\n"
            f"sys.argv = ['pondhatch', 'run', 'x', '{LISTEN_OPTION}', '{HOST}:{port}']\n"
            "class Hook:\n"
            "    def find_spec(self, name, path=None, target=None):\n"
            "        if name == 'pondhatch.cli':\n"
            f"            socket.create_connection(('{HOST}', {port}), 1.0)\n"
            "            sys.exit(7)\n"
            "sys.meta_path.insert(0, Hook())\n"
            "import runpy\n"
            "runpy.run_module('pondhatch')\n"
        )
        finished = subprocess.run([sys.executable, "-c", script], check=False, timeout=30)
        self.assertEqual(finished.returncode, 7)
