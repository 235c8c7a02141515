from __future__ import annotations

import unittest

from pondhatch.transport._upstreams import _BodyProducer


class Body:
    """A body whose sender says nothing more once its length has come."""

    length: int | None = 6

    def __init__(self) -> None:
        self.reads = 0

    async def read(self) -> bytes:
        self.reads += 1
        if self.reads > 2:
            raise AssertionError("read on after the whole body had come")
        return b"abc"


class Consumer:
    def __init__(self) -> None:
        self.written = b""

    def write(self, part: bytes) -> None:
        self.written += part


class BodyProducerTest(unittest.IsolatedAsyncioTestCase):
    async def test_it_ends_with_the_bodys_length_and_waits_for_no_end_mark(self) -> None:
        consumer = Consumer()
        await _BodyProducer(Body())._pump(consumer)
        self.assertEqual(consumer.written, b"abcabc")
