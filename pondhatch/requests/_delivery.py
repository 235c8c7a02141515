"""Delivers an answer to its caller, resuming it after lost connections where possible."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from pondhatch.requests._dispatch import Dispatch
from pondhatch.requests._dispatch_results import Placed, StreamPosition
from pondhatch.requests._messages import AnswerLost, AnswerStream, PartSink
from pondhatch.requests._outcomes import Broken, Unknown, Whole

#: Maximum number of times that one answer is resumed.
MAX_RESUMES = 3
#: Seconds within which a broken answer must be resumed; an engine that restarts
#: its listener, or an owner that is replaced, is back by then.
RESUME_TIME_LIMIT = 8.0
#: Seconds between two tries to resume it.
RESUME_PAUSE = 0.25


class Delivered(msgspec.Struct, frozen=True):
    """How the delivery ended, and how often the answer was resumed."""

    #: Unknown if the answer broke off before any of it reached the caller.
    outcome: Whole | Broken | Unknown
    resumes: int = 0


class _AnswerStart:
    """Begins the caller's answer when the first part arrives; see PartSink."""

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


def _do_nothing(_: AnswerStream) -> None:
    return None


class Delivery:
    """Delivers one answer to its caller.

    Nothing is sent to the caller before the first part: if an answer breaks off before
    that, the request runs again if it may, or is refused as if no answer had begun.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        placed: Placed,
        sink: PartSink,
        begin: Callable[[AnswerStream], None] = _do_nothing,
    ) -> None:
        self._dispatch = dispatch
        self._begin = begin
        self._answer_start = _AnswerStart(sink, self._begin_answer)
        self._resumes = 0
        self._start_delivering(placed)

    def _start_delivering(self, placed: Placed) -> None:
        """Start with an answer of which nothing was delivered yet."""
        self._engine = placed.engine
        self._software_version = placed.reply.software_version
        self._answer: AnswerStream = placed.reply.answer
        #: The events that the caller has of the current answer; None if it is no stream.
        self._events = placed.reply.events
        #: Where the current answer began in the whole stream.
        self._resumed_at = StreamPosition(0)

    @property
    def longest_pause(self) -> float:
        """The longest time between two delivered parts, in seconds."""
        return self._answer_start.longest_pause

    async def run(self) -> Delivered:
        """Deliver the whole answer; raises what the caller's sink raises."""
        try:
            while (lost := await self._deliver()) is not None:
                await self._dispatch.note_connection_lost(self._engine, lost)
                if not await self._recover():
                    return Delivered(self._final_outcome(lost), self._resumes)
            return Delivered(Whole(), self._resumes)
        finally:
            self._answer.cancel()

    def _begin_answer(self) -> None:
        """Begin the caller's answer, right before its first part."""
        if self._events is not None:
            self._dispatch.note_stream_begun(self._software_version)
        self._begin(self._answer)

    async def _deliver(self) -> Broken | None:
        """Deliver parts as they arrive; return how the answer broke off, or None if complete."""
        try:
            await self._answer.stream_to(self._answer_start)
        except AnswerLost as lost:
            return lost.outcome
        self._answer_start.begin()
        return None

    def _final_outcome(self, outcome: Broken) -> Broken | Unknown:
        if self._answer_start.has_begun:
            return outcome
        return self._dispatch.final_outcome(Unknown(outcome.code, outcome.reason))

    async def _recover(self) -> bool:
        """Resume a broken answer or run its request again; return whether that worked."""
        if self._answer_start.has_begun or not self._dispatch.can_rerun():
            return await self._resume()
        self._answer.cancel()
        placed = await self._dispatch.rerun(self._engine)
        if placed is None:
            return False
        self._start_delivering(placed)
        return True

    async def _resume(self) -> bool:
        """Resume after the last event that the caller has; return whether that worked."""
        if self._events is None or not self._dispatch.can_resume(self._engine):
            return False
        if self._events.is_complete:
            return False
        self._answer.cancel()
        position = StreamPosition(
            self._resumed_at.events + self._events.events,
            self._events.last_id or self._resumed_at.last_id,
        )
        loop = asyncio.get_running_loop()
        until = loop.time() + RESUME_TIME_LIMIT
        while self._resumes < MAX_RESUMES and loop.time() < until:
            resumed = await self._dispatch.resume(self._engine, position)
            if isinstance(resumed, Placed):
                if resumed.reply.events is None:
                    # Another kind of answer does not continue a stream.
                    resumed.reply.answer.cancel()
                    return False
                self._resumes += 1
                self._start_delivering(resumed)
                self._resumed_at = position
                return True
            if resumed is None:
                return False
            await asyncio.sleep(RESUME_PAUSE)
        return False
