"""Guards the encoding of messages between routers, plain and compressed."""

from __future__ import annotations

import unittest
import zlib
from unittest import mock

import msgspec

from pondhatch.configuration import Edit, Snapshot, Update
from pondhatch.store import UpstreamUpdate
from pondhatch.transport import _wire as wire


def reply(routes: int) -> wire.PullReply:
    """Return a reply that holds a whole configuration with this many routes."""
    target = {"service": "lang", "weight": 1.0}
    edits = tuple(
        Edit(
            "route",
            f"desk-{index}",
            {
                "host": f"desk{index}.example",
                "path_prefix": f"/r{index * 7919}/",
                "targets": [target],
            },
        )
        for index in range(routes)
    )
    return wire.PullReply(Update(snapshot=Snapshot(7, edits)), UpstreamUpdate(3, (), whole=True))


class CompressionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = wire.MessagePackCodec()

    def test_messages_of_every_size_round_trip(self) -> None:
        for routes in (0, 1, 40, 2000):
            with self.subTest(routes=routes):
                message = reply(routes)
                sent = self.codec.encode(message, wire.PullReply)
                self.assertEqual(self.codec.decode(sent, wire.PullReply), message)

    def test_large_messages_are_compressed_and_small_ones_are_not(self) -> None:
        message = reply(2000)
        plain = len(msgspec.msgpack.encode(message))
        self.assertLess(len(self.codec.encode(message, wire.PullReply)), plain / 8)
        small = self.codec.encode(wire.PullRequest(1, 2), wire.PullRequest)
        self.assertEqual(small[:1], wire.PLAIN)

    def test_corrupt_data_raises_a_decode_error(self) -> None:
        encoded = self.codec.encode(reply(200), wire.PullReply)
        rows = (b"", b"\x02abc", encoded[:-10], wire.COMPRESSED + b"abc", wire.PLAIN + b"\xc1")
        for data in rows:
            with self.subTest(data=data[:5]), self.assertRaises(msgspec.DecodeError):
                self.codec.decode(data, wire.PullReply)

    def test_decompression_is_bounded(self) -> None:
        bomb = wire.COMPRESSED + zlib.compress(b"x" * 100_000)
        with (
            mock.patch.object(wire, "MAX_DECOMPRESSED_BYTES", 10_000),
            self.assertRaises(msgspec.DecodeError),
        ):
            wire.decompress(bomb)
