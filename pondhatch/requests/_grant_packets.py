"""Packets on grants between routers; they may be lost.

A lost, late or duplicated packet does no harm: a repeated grant request gets
the same grant, releases are idempotent, and a grant that is not renewed ends
with its lease.
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
    """Base class of the packets on grants."""


class Waiting(_Packet, frozen=True, tag=51):
    """The grant request was received, and waits in the engine's queue."""

    number: int


class GrantedReply(_Packet, frozen=True, tag=52):
    """The request is granted."""

    number: int
    in_flight: int
    ceiling: int


class BusyReply(_Packet, frozen=True, tag=53):
    """The engine is at its ceiling."""

    number: int
    in_flight: int
    ceiling: int
    #: This and the following fields are in the order of Busy.
    is_cold: bool = False
    predicted_ms: int = 0
    retry_after_ms: int = 0
    short_tokens: int = 0


class ContextElsewhereReply(_Packet, frozen=True, tag=54):
    """The chat's context is at another engine."""

    number: int
    engine: str


class NotOwnerReply(_Packet, frozen=True, tag=55):
    """The replying router does not own the engine."""

    number: int
    owner: str | None


class NotRunReply(_Packet, frozen=True, tag=56):
    """The request may not run at this engine; see NotRun."""

    number: int
    code: str
    reason: str
    #: Suggested retry delay in milliseconds; 0 if a router of an older version omits it.
    retry_after_ms: int = 0


class Release(_Packet, frozen=True, tag=57):
    """Releases a grant, or withdraws a grant request."""

    router: int
    number: int
    #: An EndReason that routers of all versions know, so that each of them ends the grant.
    basic_end_reason: int
    #: The actual EndReason if routers of older versions may not know it; else 0.
    exact_end_reason: int = 0


class Hold(_Packet, frozen=True, tag=58):
    """Renews the leases of held grants; reports them to a new owner too."""

    router: int
    engine: str
    numbers: tuple[int, ...]


class Spilled(_Packet, frozen=True, tag=59):
    """A chat was served away from its home engine."""

    chat: int
    engine: str


#: The end reasons that the first version of these packets had.
_BASIC_END_REASONS = frozenset(
    {EndReason.ANSWERED, EndReason.NEUTRAL, EndReason.CONNECTION_FAILED, EndReason.ENGINE_ERROR}
)


def release_of(router: int, number: int, end_reason: EndReason) -> Release:
    """Return the packet that releases a grant."""
    if end_reason in _BASIC_END_REASONS:
        return Release(router, number, end_reason)
    return Release(router, number, EndReason.NEUTRAL, end_reason)


def end_reason_of(release: Release) -> EndReason:
    """Return the actual end reason in a release."""
    return EndReason(release.exact_end_reason or release.basic_end_reason)


ReplyPacket = (
    Waiting | GrantedReply | BusyReply | ContextElsewhereReply | NotOwnerReply | NotRunReply
)
GrantUpdate = Release | Hold | Spilled
GrantPacket = GrantRequest | ReplyPacket | GrantUpdate

#: The first of a packet's trailing fields that are used only with load management.
_FIRST_LOAD_FIELD_BY_TYPE: dict[type[GrantPacket], str] = {
    GrantRequest: "in_time",
    BusyReply: "predicted_ms",
}

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[GrantPacket] = msgspec.msgpack.Decoder(GrantPacket)


def encode_grant_packet(packet: GrantPacket) -> bytes:
    """Return a packet's bytes, without load management fields that have their defaults."""
    first = _FIRST_LOAD_FIELD_BY_TYPE.get(type(packet))
    return _ENCODER.encode(packet if first is None else without_defaults(packet, first))


def decode_grant_packet(payload: bytes) -> GrantPacket | None:
    """Return the decoded packet, or None if the bytes are invalid."""
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
    """Return the reply in a packet; None if it only says that the request is queued."""
    if isinstance(packet, GrantedReply):
        return Granted(packet.in_flight, packet.ceiling)
    if isinstance(packet, BusyReply):
        return Busy(*astuple(packet)[1:])
    if isinstance(packet, ContextElsewhereReply):
        return ContextElsewhere(packet.engine)
    if isinstance(packet, NotOwnerReply):
        return NotOwner(packet.owner)
    if isinstance(packet, NotRunReply):
        not_run = NotRun(packet.code, packet.reason)
        after = packet.retry_after_ms / MS_PER_SECOND
        return replace(not_run, retry_after=after) if after else not_run
    return None
