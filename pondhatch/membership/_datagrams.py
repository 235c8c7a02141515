"""Gossip packets to be sent, and their encoding."""

from __future__ import annotations

import msgspec
from msgspec.structs import astuple

from pondhatch.kernel import without_defaults
from pondhatch.membership._member_table import Address
from pondhatch.membership._records import Ack, Alive, Announcement, FullSyncPart, Packet, Ping

_ENCODER = msgspec.msgpack.Encoder()


class Datagram(msgspec.Struct, frozen=True):
    """An encoded packet and its destination."""

    to: Address
    payload: bytes


def datagram_to(address: Address, message: Packet) -> Datagram:
    """Return the packet with a message to an address."""
    return Datagram(address, _encode(message))


def _encode(message: Packet) -> bytes:
    """Return a message's bytes; rumors, the last field, are encoded without a usual capacity."""
    if not isinstance(message, (Ping, Ack, Announcement, FullSyncPart)) or not message.rumors:
        return _ENCODER.encode(message)
    rumors = [
        without_defaults(rumor, "capacity") if isinstance(rumor, Alive) else rumor
        for rumor in message.rumors
    ]
    return _ENCODER.encode((message.__struct_config__.tag, *astuple(message)[:-1], rumors))
