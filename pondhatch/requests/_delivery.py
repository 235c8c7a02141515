"""Passing an answer on to its caller, whole, over breaks where the engine can resume."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from pondhatch.requests._dispatch import Dispatch
from pondhatch.requests._dispatch_results import Placed, StreamPosition
from pondhatch.requests._events import EventSplitter
from pondhatch.requests._messages import AnswerLost, AnswerStream, Headers, PartSink
from pondhatch.requests._outcomes import Broken, Unknown, Whole

#: Times that one answer is taken up again at most.
MAX_RESUMES = 3
#: Seconds in which a broken answer must be taken up again; an engine that restarts
#: its listener, or an owner that is replaced, is back in that time.
RESUME_TIME_LIMIT = 8.0
#: Seconds between two tries to take it up.
RESUME_PAUSE = 0.25


class Delivered(msgspec.Struct, frozen=True):
    """How the delivery ended, and how often the answer was taken up again."""

    #: Unknown where it broke off before any of it had reached the caller.
    outcome: Whole | Broken | Unknown
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
        self.splitter = EventSplitter()
        self._sink = sink
        self.ready = sink.ready

    def write(self, part: bytes) -> bool:
        whole = self.splitter.feed(part)
        return self._sink.write(whole) if whole else True

    def end(self) -> None:
        """Pass on what stands behind the last whole event of an answer that ended."""
        rest = self.splitter.take_rest()
        if rest:
            self._sink.write(rest)


class _AnswerStart:
    """Begins the caller's answer with its first part; see PartSink."""

    def __init__(self, sink: PartSink, begin: Callable[[], None]) -> None:
        self.has_begun = False
        #: The longest time between two parts so far, in seconds.
        self.longest_pause = 0.0
        self._last_at: float | None = None
        self._sink = sink
        self._begin = begin
        self.ready = sink.ready

    def write(self, part: bytes) -> bool:
        self.begin()
        now = asyncio.get_running_loop().time()
        if self._last_at is not None:
            self.longest_pause = max(self.longest_pause, now - self._last_at)
        self._last_at = now
        return self._sink.write(part)

    def begin(self) -> None:
        """Begin the answer unless it has begun."""
        if not self.has_begun:
            self.has_begun = True
            self._begin()


def _nothing(_: AnswerStream) -> None:
    return None


class Delivery:
    """One answer on its way to its caller.

    Until its first part has come, the caller is told nothing: an answer that breaks
    before that is asked for again where it may be, or refused like one that never came.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        placed: Placed,
        sink: PartSink,
        begin: Callable[[AnswerStream], None] = _nothing,
    ) -> None:
        self._dispatch = dispatch
        self._start = _AnswerStart(sink, lambda: begin(self._answer))
        self._resumes = 0
        self._start_delivering(placed)

    def _start_delivering(self, placed: Placed) -> None:
        """Go on with an answer of which nothing was passed on."""
        self._engine = placed.engine
        self._answer: AnswerStream = placed.reply.answer
        streamed = is_event_stream(self._answer.headers)
        self._events = _WholeEvents(self._start) if streamed else None
        self._sink: PartSink = self._events or self._start

    @property
    def longest_pause(self) -> float:
        """The longest time between two parts that were passed on, in seconds."""
        return self._start.longest_pause

    async def run(self) -> Delivered:
        """Pass everything on; raises what the caller's sink raises."""
        try:
            while (lost := await self._pour()) is not None:
                await self._dispatch.note_connection_lost(self._engine, lost)
                if not await self._recover():
                    return Delivered(self._final_outcome(lost), self._resumes)
            return Delivered(Whole(), self._resumes)
        finally:
            self._answer.cancel()

    async def _pour(self) -> Broken | None:
        """Pass on what comes; return how the answer broke off, or None where it is whole."""
        try:
            await self._answer.pour(self._sink)
        except AnswerLost as lost:
            return lost.outcome
        if self._events is not None:
            self._events.end()
        self._start.begin()
        return None

    def _final_outcome(self, outcome: Broken) -> Broken | Unknown:
        if self._start.has_begun:
            return outcome
        return self._dispatch.final_outcome(Unknown(outcome.code, outcome.reason))

    async def _recover(self) -> bool:
        """Return whether a broken answer is taken up, from where it was or from its start."""
        if self._start.has_begun or not self._dispatch.can_rerun():
            return await self._resume()
        self._answer.cancel()
        placed = await self._dispatch.rerun(self._engine)
        if placed is None:
            return False
        self._start_delivering(placed)
        return True

    async def _resume(self) -> bool:
        """Take the answer up where the caller's copy ends; return whether that worked."""
        if self._events is None or not self._dispatch.can_resume(self._engine):
            return False
        splitter = self._events.splitter
        if splitter.is_complete:
            return False
        splitter.discard_partial()
        self._answer.cancel()
        loop = asyncio.get_running_loop()
        until = loop.time() + RESUME_TIME_LIMIT
        while self._resumes < MAX_RESUMES and loop.time() < until:
            position = StreamPosition(splitter.events, splitter.last_id)
            reply = await self._dispatch.resume(self._engine, position)
            if isinstance(reply, Placed):
                self._resumes += 1
                self._engine = reply.engine
                self._answer = reply.reply.answer
                return True
            if reply is None:
                return False
            await asyncio.sleep(RESUME_PAUSE)
        return False
