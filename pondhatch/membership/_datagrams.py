"""Packets to be sent, encoded as they go over the wire."""

from __future__ import annotations

import msgspec

from pondhatch.membership._records import Packet
from pondhatch.membership._table import Address

_ENCODER = msgspec.msgpack.Encoder()


class Datagram(msgspec.Struct, frozen=True):
    """A packet to be sent."""

    to: Address
    payload: bytes


def datagram_to(address: Address, message: Packet) -> Datagram:
    """Return the packet that carries a message to an address."""
    return Datagram(address, _ENCODER.encode(message))
