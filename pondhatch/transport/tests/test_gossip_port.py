"""Packets to addresses that nothing can be sent to."""

from __future__ import annotations

import unittest
from typing import Any

from loguru import logger
from twisted.internet import udp

from pondhatch.membership import Address, Datagram, Seal
from pondhatch.transport import GossipPort

WELL = Address("127.0.0.1", 9)
#: None of them can be sent to from a socket of IPv4.
WRONG = (Address("there.example", 9), Address("::1", 9), Address("127.0.0.1", 99999))
#: Beyond what a UDP packet holds, 65,507 bytes.
TOO_LONG = b"a" * 70_000


class GossipPortTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        number = logger.add(self.lines.append, level="ERROR", format="{message}")
        self.addCleanup(logger.remove, number)
        self.port = GossipPort(Seal(b"k" * 16), lambda payload, source: [])
        self.sent: list[Any] = []
        # The real socket of twisted, without a reactor that listens on it.
        socket = udp.Port(0, self.port, "127.0.0.1")
        socket._bindSocket()
        self.addCleanup(socket.socket.close)
        self.port.transport = self

        def write(payload: bytes, to: tuple[str, int]) -> None:
            socket.write(payload, to)
            self.sent.append(to)

        self.write = write

    def test_one_keeps_no_other_from_being_sent_and_is_told_once(self) -> None:
        for wrong in (*(Datagram(to, b"a") for to in WRONG), Datagram(WELL, TOO_LONG)):
            with self.subTest(to=wrong.to, bytes=len(wrong.payload)):
                self.lines.clear()
                self.sent.clear()
                for _ in range(3):
                    self.port.send([wrong, Datagram(WELL, b"a")])
                self.assertEqual(self.sent, [(WELL.host, WELL.port)] * 3)
                self.assertEqual(len(self.lines), 1, self.lines)
