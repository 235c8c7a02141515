"""Passing an answer on to its caller, whole, over breaks where the engine can resume."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from pondhatch.requests._entry import Placed, Position, Walk
from pondhatch.requests._events import EventCutter
from pondhatch.requests._messages import AnswerStream, Headers, Lost, PartSink
from pondhatch.requests._outcomes import Broken, Whole

#: Times that one answer is taken up again at most.
MOST_RESUMES = 3
#: Seconds in which a broken answer must be taken up again; an engine that restarts
#: its listener, or an owner that is replaced, is back in that time.
RESUME_SECONDS = 8.0
#: Seconds between two tries to take it up.
RESUME_PAUSE = 0.25


@dataclass(frozen=True)
class Delivered:
    """How the delivery ended, and how often the answer was taken up again."""

    outcome: Whole | Broken
    resumes: int = 0


def is_event_stream(headers: Headers) -> bool:
    """Return whether an answer is a stream of events."""
    return any(
        name.lower() == "content-type" and value.startswith("text/event-stream")
        for name, value in headers
    )


class _WholeEvents:
    """Passes whole events on to a sink; see PartSink."""

    def __init__(self, sink: PartSink) -> None:
        self.cutter = EventCutter()
        self._sink = sink
        self.ready = sink.ready

    def write(self, part: bytes) -> bool:
        whole = self.cutter.feed(part)
        return self._sink.write(whole) if whole else True

    def end(self) -> None:
        """Pass on what stands behind the last whole event of an answer that ended."""
        rest = self.cutter.rest()
        if rest:
            self._sink.write(rest)


class Delivery:
    """One answer on its way to its caller."""

    def __init__(self, walk: Walk, placed: Placed, sink: PartSink) -> None:
        self._walk = walk
        self._engine = placed.engine
        self._answer: AnswerStream = placed.reply.answer
        streamed = is_event_stream(self._answer.headers)
        self._events = _WholeEvents(sink) if streamed else None
        self._sink: PartSink = self._events or sink
        self._resumes = 0

    async def run(self) -> Delivered:
        """Pass everything on; raises what the caller's sink raises."""
        try:
            while True:
                try:
                    await self._answer.pour(self._sink)
                except Lost as lost:
                    if not await self._resumed():
                        return Delivered(lost.outcome, self._resumes)
                else:
                    if self._events is not None:
                        self._events.end()
                    return Delivered(Whole(), self._resumes)
        finally:
            self._answer.cancel()

    async def _resumed(self) -> bool:
        """Take the answer up where the caller's copy ends; return whether that worked."""
        if self._events is None or not self._walk.can_resume(self._engine):
            return False
        cutter = self._events.cutter
        if cutter.ended:
            return False
        cutter.broke()
        self._answer.cancel()
        loop = asyncio.get_running_loop()
        until = loop.time() + RESUME_SECONDS
        while self._resumes < MOST_RESUMES and loop.time() < until:
            position = Position(cutter.events, cutter.last_id)
            reply = await self._walk.resume(self._engine, position)
            if isinstance(reply, Placed):
                self._resumes += 1
                self._engine = reply.engine
                self._answer = reply.reply.answer
                return True
            if reply is None:
                return False
            await asyncio.sleep(RESUME_PAUSE)
        return False
