"""Packets to be sent, encoded as they go over the wire."""

from __future__ import annotations

import msgspec
from msgspec.structs import astuple

from pondhatch.kernel import without_defaults
from pondhatch.membership._member_table import Address
from pondhatch.membership._records import Ack, Alive, Announcement, Packet, Ping, Sync

_ENCODER = msgspec.msgpack.Encoder()


class Datagram(msgspec.Struct, frozen=True):
    """A packet to be sent."""

    to: Address
    payload: bytes


def datagram_to(address: Address, message: Packet) -> Datagram:
    """Return the packet that carries a message to an address."""
    return Datagram(address, _encode(message))


def _encode(message: Packet) -> bytes:
    """Return a message's bytes; rumors stand last in those that carry any."""
    if not isinstance(message, (Ping, Ack, Announcement, Sync)) or not message.rumors:
        return _ENCODER.encode(message)
    rumors = [
        without_defaults(rumor, "capacity") if isinstance(rumor, Alive) else rumor
        for rumor in message.rumors
    ]
    return _ENCODER.encode((message.__struct_config__.tag, *astuple(message)[:-1], rumors))
