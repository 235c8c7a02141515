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
from pondhatch.requests._outcomes import NotRun
from pondhatch.requests._questions import (
    MILLISECONDS,
    Busy,
    Elsewhere,
    Ended,
    NotOwner,
    OwnerReply,
    Question,
)


class _Packet(msgspec.Struct, frozen=True, array_like=True):
    """Base of all packets on grants."""


class Waiting(_Packet, frozen=True, tag=51):
    """The question was heard, and waits in the engine's line."""

    number: int


class GrantedWord(_Packet, frozen=True, tag=52):
    """The question is granted."""

    number: int
    in_flight: int
    ceiling: int


class BusyWord(_Packet, frozen=True, tag=53):
    """The engine is at its ceiling."""

    number: int
    in_flight: int
    ceiling: int
    #: These and what follows stand in the order of Busy.
    is_cold: bool = False
    predicted_ms: int = 0
    retry_after_ms: int = 0
    short_tokens: int = 0


class ElsewhereWord(_Packet, frozen=True, tag=54):
    """The chat's context lies at another engine."""

    number: int
    engine: str


class NotOwnerWord(_Packet, frozen=True, tag=55):
    """The router asked does not own the engine."""

    number: int
    owner: str | None


class DeclinedWord(_Packet, frozen=True, tag=56):
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
    ended: int
    #: The Ended meant, where one that runs an older program would not know it; else 0.
    ended_as: int = 0


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
_KNOWN_TO_ALL = frozenset({Ended.ANSWERED, Ended.NOTHING, Ended.FAILED, Ended.ERRED})


def release_of(router: int, number: int, ended: Ended) -> Release:
    """Return the packet that gives a grant back."""
    if ended in _KNOWN_TO_ALL:
        return Release(router, number, ended)
    return Release(router, number, Ended.NOTHING, ended)


def ended_of(release: Release) -> Ended:
    """Return what a release tells of the engine."""
    return Ended(release.ended_as or release.ended)


Word = Waiting | GrantedWord | BusyWord | ElsewhereWord | NotOwnerWord | DeclinedWord
Telling = Release | Hold | Spilled
GrantPacket = Question | Word | Telling

#: The first of the fields, standing last, that tell of managed load only.
_FIRST_LOAD_FIELD_BY_TYPE: dict[type[GrantPacket], str] = {
    Question: "in_time",
    BusyWord: "predicted_ms",
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


def word_of(number: int, reply: OwnerReply) -> Word:
    """Return the packet that carries an owner's reply."""
    if isinstance(reply, Granted):
        return GrantedWord(number, reply.in_flight, reply.ceiling)
    if isinstance(reply, Busy):
        return BusyWord(number, *astuple(reply))
    if isinstance(reply, Elsewhere):
        return ElsewhereWord(number, reply.engine)
    if isinstance(reply, NotOwner):
        return NotOwnerWord(number, reply.owner)
    after = round(reply.retry_after * MILLISECONDS)
    return DeclinedWord(number, reply.code, reply.reason, after)


def reply_of(word: Word) -> OwnerReply | None:
    """Return the reply that a packet carries; None where it only says that it waits."""
    if isinstance(word, GrantedWord):
        return Granted(word.in_flight, word.ceiling)
    if isinstance(word, BusyWord):
        return Busy(*astuple(word)[1:])
    if isinstance(word, ElsewhereWord):
        return Elsewhere(word.engine)
    if isinstance(word, NotOwnerWord):
        return NotOwner(word.owner)
    if isinstance(word, DeclinedWord):
        declined = NotRun(word.code, word.reason)
        after = word.retry_after_ms / MILLISECONDS
        return replace(declined, retry_after=after) if after else declined
    return None
