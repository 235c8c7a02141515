"""Gossip packets over UDP."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from pondhatch.membership import Address, Datagram, Seal
from pondhatch.observing import Once, log_for

log = log_for("gossip")

#: Bytes of IP and UDP headers, counted into the control traffic.
HEADER_BYTES = 28
#: What sending raises where a packet or its address can never be sent, whoever named it: a
#: host name or an IP number of the other family (ValueError), a port that is none, a packet
#: that is too long.
UNSENDABLE = (ValueError, OverflowError, MessageLengthError)


class GossipPort(DatagramProtocol):
    """Sends and receives sealed packets, and counts their bytes."""

    transport: Any

    def __init__(self, seal: Seal, receive: Callable[[bytes, Address], list[Datagram]]) -> None:
        self.bytes_sent = 0
        self.bytes_received = 0
        #: Packets dropped because their seal did not fit.
        self.invalid_seals = 0
        self._seal = seal
        self._receive = receive
        self._logged_errors = Once()

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Take in a packet; answers go back to where it came from."""
        self.bytes_received += len(datagram) + HEADER_BYTES
        payload = self._seal.verify(datagram)
        if payload is None:
            self.invalid_seals += 1
            return
        self.send(self._receive(payload, Address(addr[0], addr[1])))

    def send(self, datagrams: Iterable[Datagram]) -> None:
        """Send packets; one that cannot be sent is as good as lost."""
        for datagram in datagrams:
            sealed = self._seal.sign(datagram.payload)
            self.bytes_sent += len(sealed) + HEADER_BYTES
            if self.transport is None:
                continue
            try:
                self.transport.write(sealed, (datagram.to.host, datagram.to.port))
            except OSError:
                # The network's own failures pass, and are as frequent as packets.
                continue
            except UNSENDABLE as error:
                self._log_unsendable(datagram.to, error)

    def _log_unsendable(self, to: Address, error: Exception) -> None:
        """Tell once of each address to which nothing can be sent."""
        if self._logged_errors.is_first((to, type(error))):
            log.error("Nothing is sent to {} port {}: {}.", to.host, to.port, error)
