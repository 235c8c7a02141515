"""Messages between routers, and the codec that carries them over gRPC."""

from __future__ import annotations

import functools
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from pondhatch.configuration import Update
from pondhatch.platform import UpstreamUpdate
from pondhatch.requests import Headers, KeyRecord, RequestHead

RUN_METHOD = "/pondhatch.Peers/Run"
CLAIM_METHOD = "/pondhatch.Peers/Claim"
SETTLE_METHOD = "/pondhatch.Peers/Settle"
RELEASE_METHOD = "/pondhatch.Peers/Release"
REMEMBER_METHOD = "/pondhatch.Peers/Remember"
PULL_METHOD = "/pondhatch.Peers/Pull"

#: Name of the call metadata that proves the caller to hold the fleet key.
TOKEN_METADATA = "pondhatch-fleet"


class Open(msgspec.Struct, frozen=True, tag="open"):
    """First message of a run: the request, with a small body along with it."""

    head: RequestHead
    body_length: int | None
    #: The whole body where it is small, else None.
    body: bytes | None = None


class BodyPart(msgspec.Struct, frozen=True, tag="body"):
    """A part of the request's body; b"" is its end."""

    content: bytes


class Heard(msgspec.Struct, frozen=True, tag="heard"):
    """The owner has the question; a frozen one would not say so."""


class SendBody(msgspec.Struct, frozen=True, tag="send-body"):
    """The owner granted the request and wants its body."""


class Declined(msgspec.Struct, frozen=True, tag="declined"):
    """The owner did not open an answer; ``kind`` names the reply's class."""

    kind: str
    fields: dict[str, Any]


class AnswerHead(msgspec.Struct, frozen=True, tag="head"):
    """The head of the upstream's answer."""

    status: int
    headers: Headers


class AnswerPart(msgspec.Struct, frozen=True, tag="part"):
    """A part of the upstream's answer."""

    content: bytes


class AnswerEnd(msgspec.Struct, frozen=True, tag="end"):
    """The answer was whole."""


class AnswerLost(msgspec.Struct, frozen=True, tag="lost"):
    """The answer broke off."""

    code: str
    reason: str


class Remember(msgspec.Struct, frozen=True):
    """Where a chat was served away from its home engine."""

    chat: int
    engine: str


class KeyNote(msgspec.Struct, frozen=True):
    """A key and its record: to be claimed or settled."""

    key: str
    record: KeyRecord


class KeyRelease(msgspec.Struct, frozen=True):
    """A claim to be forgotten."""

    key: str
    request_id: str


class ClaimReply(msgspec.Struct, frozen=True):
    """What was known of the key; None where it was new."""

    known: KeyRecord | None = None


class Empty(msgspec.Struct, frozen=True):
    """Nothing to say."""


class PullRequest(msgspec.Struct, frozen=True):
    """The versions that a router holds."""

    configuration: int
    upstreams: int


class PullReply(msgspec.Struct, frozen=True):
    """What it lacks."""

    configuration: Update
    upstreams: UpstreamUpdate


ToOwner = Open | BodyPart
FromOwner = Heard | SendBody | Declined | AnswerHead | AnswerPart | AnswerEnd | AnswerLost


@functools.cache
def _decoder(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)


class MessagePackCodec(CodecBase):
    """MessagePack by msgspec: typed messages without generated code."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return a message's bytes."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in bytes. Raises msgspec.DecodeError."""
        return _decoder(message_type).decode(data)
