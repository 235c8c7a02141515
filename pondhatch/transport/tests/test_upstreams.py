from __future__ import annotations

import asyncio
import unittest

from twisted.python.failure import Failure

from pondhatch.requests import CallerGone
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

    async def test_after_a_stop_its_deferred_never_fires(self) -> None:
        producer = _BodyProducer(Stalled())
        fired: list[object] = []
        producer.startProducing(Consumer()).addBoth(fired.append)
        await asyncio.sleep(0)
        producer.stopProducing()
        await asyncio.sleep(0.01)
        self.assertEqual(fired, [])

    async def test_a_lost_sender_fails_it(self) -> None:
        producer = _BodyProducer(Lost())
        fired: list[object] = []
        producer.startProducing(Consumer()).addBoth(fired.append)
        await asyncio.sleep(0.01)
        self.assertIsInstance(fired[0], Failure)


class Stalled:
    """A body whose sender stands still."""

    length: int | None = 6

    async def read(self) -> bytes:
        await asyncio.sleep(60)
        return b""


class Lost:
    """A body whose sender is lost."""

    length: int | None = 6

    async def read(self) -> bytes:
        raise CallerGone("gone")
