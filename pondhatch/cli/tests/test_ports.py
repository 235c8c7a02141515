"""Guards against an accept queue too short for the callers that reconnect after a power cut."""

from __future__ import annotations

import socket
import unittest

from twisted.internet.selectreactor import SelectReactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from pondhatch.cli._ports import listen_to_callers
from pondhatch.configuration import CallerEndpoint

HOST = "127.0.0.1"
#: Callers that reconnect at the same time: far more than twisted's default backlog of 50.
CALLERS = 500
#: Timeout in seconds for one connection. With a full queue the SYN packet is dropped, so that the
#: caller is still waiting then.
CONNECT_TIMEOUT = 3.0


class BacklogTest(unittest.TestCase):
    def test_many_callers_can_connect_while_the_loop_is_busy(self) -> None:
        reactor = SelectReactor()  # Never run, so it accepts nothing.
        port = listen_to_callers(reactor, CallerEndpoint(HOST), Site(Resource()))
        self.addCleanup(port.stopListening)
        address = (HOST, port.getHost().port)
        for _ in range(CALLERS):
            self.enterContext(socket.create_connection(address, CONNECT_TIMEOUT))
