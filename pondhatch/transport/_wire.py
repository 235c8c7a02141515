"""Messages between routers, and the codec that carries them over gRPC."""

from __future__ import annotations

import functools
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from pondhatch.configuration import Update
from pondhatch.requests import KeyRecord
from pondhatch.store import UpstreamUpdate

CLAIM_METHOD = "/pondhatch.Peers/Claim"
SETTLE_METHOD = "/pondhatch.Peers/Settle"
RELEASE_METHOD = "/pondhatch.Peers/Release"
PULL_METHOD = "/pondhatch.Peers/Pull"

#: Name of the call metadata that proves the caller to hold the fleet key.
TOKEN_METADATA = "pondhatch-fleet"


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
