"""Guards against a granted request whose end is reported twice, never, or as the wrong kind."""

from __future__ import annotations

import asyncio
import unittest

from pondhatch.requests import AnswerLost, Broken, EndReason, Headers, PartSink
from pondhatch.requests._sending import GrantedAnswer


class Answer:
    """An answer that ends, is lost, or never ends."""

    headers: Headers = ()

    def __init__(self, status: int = 200, lost: bool = False, ends: bool = True) -> None:
        self.status = status
        self._lost = lost
        self._ends = ends

    async def stream_to(self, sink: PartSink) -> None:
        if not self._ends:
            await asyncio.Event().wait()
        if self._lost:
            raise AnswerLost(Broken("answer-broken", "cut"))

    def cancel(self) -> None:
        """Do nothing."""


class Sink:
    async def ready(self) -> None:
        """Return at once."""

    def write(self, part: bytes) -> bool:
        return True


class GrantedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def ended(self, answer: Answer) -> list[EndReason]:
        released: list[EndReason] = []
        granted = GrantedAnswer(answer, released.append)
        task = asyncio.ensure_future(granted.stream_to(Sink()))
        await asyncio.sleep(0)
        if not task.done():
            task.cancel()
        await asyncio.wait([task])
        if not task.cancelled():
            # Retrieves the exception, as asyncio logs those that are never retrieved.
            task.exception()
        granted.cancel()
        return released

    async def test_each_end_is_reported_once_with_its_kind(self) -> None:
        cases = (
            (Answer(200), EndReason.ANSWERED),
            (Answer(404), EndReason.ANSWERED),
            (Answer(500), EndReason.ENGINE_ERROR),
            (Answer(502), EndReason.ENGINE_ERROR),
            (Answer(504), EndReason.ANSWERED),
            (Answer(200, lost=True), EndReason.CONNECTION_FAILED),
            (Answer(500, lost=True), EndReason.CONNECTION_FAILED),
            (Answer(200, ends=False), EndReason.NEUTRAL),
        )
        for answer, expected in cases:
            with self.subTest(status=answer.status, expected=expected):
                self.assertEqual(await self.ended(answer), [expected])
