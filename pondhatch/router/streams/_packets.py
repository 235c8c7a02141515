"""Packets between routers about which software version began a stream; they may be lost."""

from __future__ import annotations

from typing import Annotated

import msgspec

from pondhatch.requests import MAX_RECORD_SECONDS

#: First byte of a packet; no packet of another kind begins with it.
ORIGIN_PACKET_PREFIX = b"\x04"
#: Maximum number of records in one packet: with versions of 20 bytes it fits into an Ethernet
#: frame.
RECORDS_PER_PACKET = 24

_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=round(MAX_RECORD_SECONDS * 1000))]


class WireRecord(msgspec.Struct, frozen=True, array_like=True):
    """A stream's record as it is sent to another router."""

    key: bytes
    software_version: str
    #: Milliseconds for which it is still needed.
    lasts_ms: _Milliseconds


class RecordsPacket(msgspec.Struct, frozen=True, array_like=True, tag=80):
    """Records for a router that is to hold them."""

    records: tuple[WireRecord, ...]


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag=81):
    """Asks whether a router has the record of a stream."""

    number: int
    key: bytes
    service: str


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag=82):
    """The reply to a query."""

    number: int
    #: Short id of the replying router.
    router: int
    #: Milliseconds for which the replying router has held records: since it started.
    uptime_ms: int
    #: Whether several software versions may have begun streams of the service, as known there.
    has_several_versions: bool
    #: None if the router has no record.
    software_version: str | None = None
    #: The version of the streams of which nobody has a record; None if that is not known there.
    unrecorded_version: str | None = None
    #: Version of the list of upstreams there.
    upstreams: int = 0
    #: Whether a live router was lost there and did not come back.
    misses_routers: bool = False
    #: Whether the platform told that router after the query which versions there are.
    is_confirmed: bool = False
    #: Milliseconds since a live router was last lost there or began anew; None if none was.
    lost_ms: int | None = None
    #: Milliseconds for which records have been made of all streams, where that version was stated
    #: beside several; 0 where there is one only.
    recorded_ms: int = 0


OriginPacket = RecordsPacket | OriginQuery | OriginReply

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[OriginPacket] = msgspec.msgpack.Decoder(OriginPacket)


def encode_origin_packet(packet: OriginPacket) -> bytes:
    """Return a packet's bytes, with the prefix."""
    return ORIGIN_PACKET_PREFIX + _ENCODER.encode(packet)


def decode_origin_packet(payload: bytes) -> OriginPacket | None:
    """Return the packet in bytes without the prefix, or None if they are invalid."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, ValueError):
        return None
