"""Guards gossip against addresses and packets that cannot be sent."""

from __future__ import annotations

import unittest
from typing import Any

from loguru import logger
from twisted.internet import udp

from pondhatch.membership import Address, Datagram, Seal
from pondhatch.transport import GossipPort

VALID_ADDRESS = Address("127.0.0.1", 9)
#: Addresses that an IPv4 socket cannot send to.
UNSENDABLE_ADDRESSES = (Address("there.example", 9), Address("::1", 9), Address("127.0.0.1", 99999))
#: Longer than the maximum UDP payload of 65,507 bytes.
TOO_LONG = b"a" * 70_000


class GossipPortTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        number = logger.add(self.lines.append, level="ERROR", format="{message}")
        self.addCleanup(logger.remove, number)
        self.port = GossipPort(Seal(b"k" * 16), lambda payload, source: [])
        self.sent: list[Any] = []
        # Twisted's real socket, without a reactor that reads from it.
        socket = udp.Port(0, self.port, "127.0.0.1")
        socket._bindSocket()
        self.addCleanup(socket.socket.close)
        self.port.transport = self

        def write(payload: bytes, to: tuple[str, int]) -> None:
            socket.write(payload, to)
            self.sent.append(to)

        self.write = write

    def test_an_unsendable_packet_does_not_block_others_and_is_logged_once(self) -> None:
        for unsendable in (
            *(Datagram(to, b"a") for to in UNSENDABLE_ADDRESSES),
            Datagram(VALID_ADDRESS, TOO_LONG),
        ):
            with self.subTest(to=unsendable.to, bytes=len(unsendable.payload)):
                self.lines.clear()
                self.sent.clear()
                for _ in range(3):
                    self.port.send([unsendable, Datagram(VALID_ADDRESS, b"a")])
                self.assertEqual(self.sent, [(VALID_ADDRESS.host, VALID_ADDRESS.port)] * 3)
                self.assertEqual(len(self.lines), 1, self.lines)
