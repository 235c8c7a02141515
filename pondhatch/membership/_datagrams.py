"""Packets to be sent, encoded as they go over the wire."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec.structs import astuple

from pondhatch.membership._capacity import USUAL_CAPACITY
from pondhatch.membership._records import Ack, Alive, News, Packet, Ping, Rumor, Sync
from pondhatch.membership._table import Address

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
    if not isinstance(message, (Ping, Ack, News, Sync)) or not message.rumors:
        return _ENCODER.encode(message)
    rumors = [_on_wire(rumor) for rumor in message.rumors]
    return _ENCODER.encode((message.__struct_config__.tag, *astuple(message)[:-1], rumors))


def _on_wire(rumor: Rumor) -> Rumor | tuple[Any, ...]:
    """Return what is encoded of a rumor: without a capacity that says nothing."""
    if not isinstance(rumor, Alive) or rumor.capacity != USUAL_CAPACITY:
        return rumor
    return (rumor.__struct_config__.tag, *astuple(rumor)[:-1])
