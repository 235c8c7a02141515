"""Messages between routers, and the codec that carries them over gRPC."""

from __future__ import annotations

import functools
import zlib
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from pondhatch.configuration import Update
from pondhatch.requests import KeyRecord
from pondhatch.store import EvacuationUpdate, UpstreamUpdate

CLAIM_METHOD = "/pondhatch.Peers/Claim"
SETTLE_METHOD = "/pondhatch.Peers/Settle"
RELEASE_METHOD = "/pondhatch.Peers/Release"
PULL_METHOD = "/pondhatch.Peers/Pull"

#: Metadata key of the token that proves that the calling router holds the fleet key.
TOKEN_METADATA = "pondhatch-fleet"


class KeyedRecord(msgspec.Struct, frozen=True):
    """An idempotency key and its record, to be claimed or settled."""

    key: str
    record: KeyRecord


class KeyRelease(msgspec.Struct, frozen=True):
    """A claim to be released."""

    key: str
    request_id: str


class ClaimReply(msgspec.Struct, frozen=True):
    """The known record of the key; None if the key was new."""

    known: KeyRecord | None = None


class Empty(msgspec.Struct, frozen=True):
    """A message without content."""


class PullRequest(msgspec.Struct, frozen=True):
    """The versions that the calling router holds."""

    configuration: int
    upstreams: int
    #: Whether the router accepts an update that holds only the entries that differ. Routers of
    #: an earlier version of pondhatch do not set this, and get the whole configuration.
    takes_difference: bool = False


class PullReply(msgspec.Struct, frozen=True):
    """The updates that the calling router lacks."""

    configuration: Update
    upstreams: UpstreamUpdate
    #: Always sent in full, as they are small. None if the peer has no list of them.
    evacuations: EvacuationUpdate | None = None


@functools.cache
def _decoder(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)


#: Size in bytes from which a message is compressed: a configuration of 1,700 routes, 0.2 MB or
#: more, shrinks to a tenth; plain, it took too long to reach 62 routers on 10 Mbit/s links.
MIN_COMPRESSED_BYTES = 4096
#: zlib's fastest level; slower ones save little more on repeated names.
COMPRESSION_LEVEL = 1
#: Maximum size of a decompressed message in bytes, far above that of any configuration.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
#: First byte of a message, which tells whether the rest is compressed.
PLAIN, COMPRESSED = b"\x00", b"\x01"


def compress(raw: bytes) -> bytes:
    """Return an encoded message as it is sent: a marker byte, then plain or compressed bytes."""
    if len(raw) < MIN_COMPRESSED_BYTES:
        return PLAIN + raw
    return COMPRESSED + zlib.compress(raw, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the encoded message in received bytes. Raises msgspec.DecodeError."""
    if data[:1] == PLAIN:
        return data[1:]
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data[1:], MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"cannot be decompressed: {error}") from error
    if data[:1] != COMPRESSED or not decompressor.eof:
        raise msgspec.DecodeError("neither a plain nor a complete compressed message")
    return raw


class MessagePackCodec(CodecBase):
    """A MessagePack codec based on msgspec, for typed messages without generated code."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return a message as bytes."""
        return compress(self._encoder.encode(message))

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message. Raises msgspec.DecodeError."""
        return _decoder(message_type).decode(decompress(data))
