"""Guards the bytes between routers: a fleet that does not manage load sends what it always sent."""

from __future__ import annotations

import unittest

import msgspec

from pondhatch.requests._grant_packets import (
    BusyReply,
    decode_grant_packet,
    encode_grant_packet,
)
from pondhatch.requests._grant_requests import GrantRequest

QUESTION = GrantRequest(7, 3, "i-1", "desk", 0, 5, 31)
#: As routers without load management write it.
QUESTION_BYTES = msgspec.msgpack.encode(
    [50, 7, 3, "i-1", "desk", 0, 5, 31, 1000, 0, False, False, None, False, False, False]
)
BUSY_BYTES = msgspec.msgpack.encode([53, 7, 6, 6, False])


class LoadFieldsTest(unittest.TestCase):
    def test_what_says_nothing_of_load_has_the_bytes_that_it_always_had(self) -> None:
        self.assertEqual(encode_grant_packet(QUESTION), QUESTION_BYTES)
        self.assertEqual(encode_grant_packet(BusyReply(7, 6, 6)), BUSY_BYTES)

    def test_packets_of_routers_without_load_management_are_read(self) -> None:
        self.assertEqual(decode_grant_packet(QUESTION_BYTES), QUESTION)
        self.assertEqual(decode_grant_packet(BUSY_BYTES), BusyReply(7, 6, 6))

    def test_what_is_said_of_load_arrives(self) -> None:
        question = msgspec.structs.replace(
            QUESTION, in_time=90, queue_count=3, tokens=1300, parts=((17, 512),)
        )
        busy = BusyReply(7, 6, 6, False, 120, 400)
        self.assertEqual(decode_grant_packet(encode_grant_packet(question)), question)
        self.assertEqual(decode_grant_packet(encode_grant_packet(busy)), busy)
