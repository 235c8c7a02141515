"""Guards against packets that routers without load management cannot read.

Fields added for load management must cost no bytes while they are unset.
"""

from __future__ import annotations

import unittest

import msgspec

from pondhatch.requests._grant_packets import (
    BusyReply,
    decode_grant_packet,
    encode_grant_packet,
)
from pondhatch.requests._grant_requests import GrantRequest

GRANT_REQUEST = GrantRequest(7, 3, "i-1", "desk", 0, 5, 31)
#: The encoding of routers without load management.
GRANT_REQUEST_BYTES = msgspec.msgpack.encode(
    [50, 7, 3, "i-1", "desk", 0, 5, 31, 1000, 0, False, False, None, False, False, False]
)
BUSY_BYTES = msgspec.msgpack.encode([53, 7, 6, 6, False])


class LoadFieldsTest(unittest.TestCase):
    def test_packets_without_load_fields_keep_their_bytes(self) -> None:
        self.assertEqual(encode_grant_packet(GRANT_REQUEST), GRANT_REQUEST_BYTES)
        self.assertEqual(encode_grant_packet(BusyReply(7, 6, 6)), BUSY_BYTES)

    def test_packets_of_routers_without_load_management_are_read(self) -> None:
        self.assertEqual(decode_grant_packet(GRANT_REQUEST_BYTES), GRANT_REQUEST)
        self.assertEqual(decode_grant_packet(BUSY_BYTES), BusyReply(7, 6, 6))

    def test_load_fields_survive_encoding(self) -> None:
        grant_request = msgspec.structs.replace(
            GRANT_REQUEST, in_time=90, queue_count=3, tokens=1300, parts=((17, 512),)
        )
        busy = BusyReply(7, 6, 6, False, 120, 400)
        self.assertEqual(decode_grant_packet(encode_grant_packet(grant_request)), grant_request)
        self.assertEqual(decode_grant_packet(encode_grant_packet(busy)), busy)
