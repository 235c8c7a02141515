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

#: Name of the call metadata that proves the caller to hold the fleet key.
TOKEN_METADATA = "pondhatch-fleet"


class KeyedRecord(msgspec.Struct, frozen=True):
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
    #: Whether it can take the entries that differ. Routers of an earlier version of pondhatch
    #: do not say so, and are given a configuration whole.
    takes_difference: bool = False


class PullReply(msgspec.Struct, frozen=True):
    """What it lacks."""

    configuration: Update
    upstreams: UpstreamUpdate
    #: Whole, and told each time: a few words. None where the one asked knows nothing.
    evacuations: EvacuationUpdate | None = None


@functools.cache
def _decoder(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)


#: Bytes from which a message is packed: a configuration of 1,700 routes, 0.2 MB and more,
#: shrinks to a tenth; plain, it took too long to 62 routers on links of 10 Mbit/s.
MIN_COMPRESSED_BYTES = 4096
#: zlib's fastest level; slower ones save little more on names that repeat.
COMPRESSION_LEVEL = 1
#: Bytes of an unpacked message at most; no configuration comes near.
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
#: First byte of a message: whether the rest is packed.
PLAIN, COMPRESSED = b"\x00", b"\x01"


def compress(raw: bytes) -> bytes:
    """Return a message as it travels."""
    if len(raw) < MIN_COMPRESSED_BYTES:
        return PLAIN + raw
    return COMPRESSED + zlib.compress(raw, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return a message as it was encoded. Raises msgspec.DecodeError."""
    if data[:1] == PLAIN:
        return data[1:]
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data[1:], MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"cannot be unpacked: {error}") from error
    if data[:1] != COMPRESSED or not decompressor.eof:
        raise msgspec.DecodeError("neither plain nor packed whole")
    return raw


class MessagePackCodec(CodecBase):
    """MessagePack by msgspec: typed messages without generated code."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return a message's bytes."""
        return compress(self._encoder.encode(message))

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message in bytes. Raises msgspec.DecodeError."""
        return _decoder(message_type).decode(decompress(data))
