"""Gossip packets over UDP."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from pondhatch.membership import Address, Datagram, Seal
from pondhatch.observing import LogOnce, log_for

log = log_for("gossip")

#: Bytes of IP and UDP headers, which count as control traffic.
HEADER_BYTES = 28
#: Exceptions for a packet or address that can never be sent: a host name or an address of the
#: other IP family (ValueError), an invalid port (OverflowError), a packet that is too long.
UNSENDABLE = (ValueError, OverflowError, MessageLengthError)


class GossipPort(DatagramProtocol):
    """Sends and receives authenticated packets, and counts their bytes."""

    transport: Any

    def __init__(self, seal: Seal, receive: Callable[[bytes, Address], list[Datagram]]) -> None:
        self.bytes_sent = 0
        self.bytes_received = 0
        #: Packets dropped because their seal was invalid.
        self.invalid_seals = 0
        self._seal = seal
        self._receive = receive
        self._logged_errors = LogOnce()

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Process a packet and send the replies."""
        self.bytes_received += len(datagram) + HEADER_BYTES
        payload = self._seal.verify(datagram)
        if payload is None:
            self.invalid_seals += 1
            return
        self.send(self._receive(payload, Address(addr[0], addr[1])))

    def send(self, datagrams: Iterable[Datagram]) -> None:
        """Send packets; one that cannot be sent counts as lost."""
        for datagram in datagrams:
            sealed = self._seal.sign(datagram.payload)
            self.bytes_sent += len(sealed) + HEADER_BYTES
            if self.transport is None:
                continue
            try:
                self.transport.write(sealed, (datagram.to.host, datagram.to.port))
            except OSError:
                # Network errors are temporary, and may be as frequent as packets.
                continue
            except UNSENDABLE as error:
                self._log_unsendable(datagram.to, error)

    def _log_unsendable(self, to: Address, error: Exception) -> None:
        """Log once for each address and type of error."""
        if self._logged_errors.is_first((to, type(error))):
            log.error("Cannot send gossip to {} port {}: {}.", to.host, to.port, error)
