"""What routers tell each other of grants, in small packets that may be lost.

A packet that is lost, late, or comes twice does no harm: a question that is
repeated gets the same grant, a release is a fact, and a grant that nobody
renews is taken back when its lease ends.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import astuple, replace

from pondhatch.kernel import without_defaults
from pondhatch.placement import Granted
from pondhatch.requests._grant_requests import (
    MS_PER_SECOND,
    Busy,
    ContextElsewhere,
    EndReason,
    GrantRequest,
    NotOwner,
    OwnerReply,
)
from pondhatch.requests._outcomes import NotRun


class _Packet(msgspec.Struct, frozen=True, array_like=True):
    """Base of all packets on grants."""


class Waiting(_Packet, frozen=True, tag=51):
    """The question was heard, and waits in the engine's line."""

    number: int


class GrantedReply(_Packet, frozen=True, tag=52):
    """The question is granted."""

    number: int
    in_flight: int
    ceiling: int


class BusyReply(_Packet, frozen=True, tag=53):
    """The engine is at its ceiling."""

    number: int
    in_flight: int
    ceiling: int
    #: These and what follows stand in the order of Busy.
    is_cold: bool = False
    predicted_ms: int = 0
    retry_after_ms: int = 0
    short_tokens: int = 0


class ContextElsewhereReply(_Packet, frozen=True, tag=54):
    """The chat's context lies at another engine."""

    number: int
    engine: str


class NotOwnerReply(_Packet, frozen=True, tag=55):
    """The router asked does not own the engine."""

    number: int
    owner: str | None


class NotRunReply(_Packet, frozen=True, tag=56):
    """The request may not run at this engine; see NotRun."""

    number: int
    code: str
    reason: str
    #: Milliseconds after which it is worth coming back; 0 where a router of an older program
    #: does not say.
    retry_after_ms: int = 0


class Release(_Packet, frozen=True, tag=57):
    """A grant is given back, or a question taken back."""

    router: int
    number: int
    #: An Ended that every router of the fleet knows, so that each takes the grant back.
    basic_end_reason: int
    #: The Ended meant, where one that runs an older program would not know it; else 0.
    exact_end_reason: int = 0


class Hold(_Packet, frozen=True, tag=58):
    """These questions' grants are still held; renews their leases, at a new owner too."""

    router: int
    engine: str
    numbers: tuple[int, ...]


class Spilled(_Packet, frozen=True, tag=59):
    """A chat was served away from its home engine."""

    chat: int
    engine: str


#: What a release told from the first version of these packets on.
_BASIC_END_REASONS = frozenset(
    {EndReason.ANSWERED, EndReason.NEUTRAL, EndReason.CONNECTION_FAILED, EndReason.ENGINE_ERROR}
)


def release_of(router: int, number: int, end_reason: EndReason) -> Release:
    """Return the packet that gives a grant back."""
    if end_reason in _BASIC_END_REASONS:
        return Release(router, number, end_reason)
    return Release(router, number, EndReason.NEUTRAL, end_reason)


def end_reason_of(release: Release) -> EndReason:
    """Return what a release tells of the engine."""
    return EndReason(release.exact_end_reason or release.basic_end_reason)


ReplyPacket = (
    Waiting | GrantedReply | BusyReply | ContextElsewhereReply | NotOwnerReply | NotRunReply
)
GrantUpdate = Release | Hold | Spilled
GrantPacket = GrantRequest | ReplyPacket | GrantUpdate

#: The first of the fields, standing last, that tell of managed load only.
_FIRST_LOAD_FIELD_BY_TYPE: dict[type[GrantPacket], str] = {
    GrantRequest: "in_time",
    BusyReply: "predicted_ms",
}

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[GrantPacket] = msgspec.msgpack.Decoder(GrantPacket)


def encode_grant_packet(packet: GrantPacket) -> bytes:
    """Return a packet's bytes; without what tells of managed load where it says nothing."""
    first = _FIRST_LOAD_FIELD_BY_TYPE.get(type(packet))
    return _ENCODER.encode(packet if first is None else without_defaults(packet, first))


def decode_grant_packet(payload: bytes) -> GrantPacket | None:
    """Return the packet in bytes, or None where they make none."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.DecodeError, ValueError):
        return None


def packet_of(number: int, reply: OwnerReply) -> ReplyPacket:
    """Return the packet that carries an owner's reply."""
    if isinstance(reply, Granted):
        return GrantedReply(number, reply.in_flight, reply.ceiling)
    if isinstance(reply, Busy):
        return BusyReply(number, *astuple(reply))
    if isinstance(reply, ContextElsewhere):
        return ContextElsewhereReply(number, reply.engine)
    if isinstance(reply, NotOwner):
        return NotOwnerReply(number, reply.owner)
    after = round(reply.retry_after * MS_PER_SECOND)
    return NotRunReply(number, reply.code, reply.reason, after)


def reply_of(packet: ReplyPacket) -> OwnerReply | None:
    """Return the reply that a packet carries; None where it only says that it waits."""
    if isinstance(packet, GrantedReply):
        return Granted(packet.in_flight, packet.ceiling)
    if isinstance(packet, BusyReply):
        return Busy(*astuple(packet)[1:])
    if isinstance(packet, ContextElsewhereReply):
        return ContextElsewhere(packet.engine)
    if isinstance(packet, NotOwnerReply):
        return NotOwner(packet.owner)
    if isinstance(packet, NotRunReply):
        declined = NotRun(packet.code, packet.reason)
        after = packet.retry_after_ms / MS_PER_SECOND
        return replace(declined, retry_after=after) if after else declined
    return None
