"""Decides when an upstream's answer is complete, by its framing and by its content.

Every router that reads an answer from an upstream checks it here, and whoever acts on the end of an
answer (delivery, relays, health, quarantine, idempotency keys) reads the checked one:

- A length that is not reached, a missing last chunk and a reset are found by the connection.
- An event stream is complete where it ends between two events, and, in a dialect that names a last
  event, after that one.
- The body of any other answer is as long as its caller is told, also where a router that relays it
  reads answers in another way.
- An answer that ends with its connection may also have been cut by the end of its upstream's
  process, which closes connections as cleanly. It is complete only if its upstream lives on, unless
  its last event came.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from msgspec.structs import replace

from pondhatch.limits import HeldCounter
from pondhatch.requests._events import EventSplitter, EventTooLong
from pondhatch.requests._framing import Framing
from pondhatch.requests._messages import (
    AnswerLost,
    AnswerStarted,
    AnswerStream,
    Headers,
    PartSink,
    RequestHead,
)
from pondhatch.requests._outcomes import Broken

OK = 200
NOT_MODIFIED = 304
HEAD = "HEAD"
EVENT_STREAM = "text/event-stream"
CONTENT_LENGTH = "content-length"
#: Bytes of an answer without events that are held back while it may turn out to be cut: until
#: something is sent to the caller, the request may run again.
MAX_HELD_BYTES = 16 * 1024

#: Returns whether the upstream of an answer still runs.
LivesOn = Callable[[], Awaitable[bool]]


def is_event_stream(headers: Headers) -> bool:
    """Return whether an answer is a stream of events."""
    return any(
        name.lower() == "content-type" and value.strip().lower().startswith(EVENT_STREAM)
        for name, value in headers
    )


def _told_length(headers: Headers) -> int | None:
    """Return the length of the body that headers tell; None without a number."""
    for name, value in headers:
        if name.lower() == CONTENT_LENGTH and value.isascii() and value.isdigit():
            return int(value)
    return None


def _without_length(headers: Headers) -> Headers:
    return tuple(pair for pair in headers if pair[0].lower() != CONTENT_LENGTH)


def checked(
    reply: AnswerStarted, head: RequestHead, upstream: str, lives_on: LivesOn
) -> AnswerStarted:
    """Return the answer to a request so that it raises AnswerLost where it is not complete.

    ``lives_on`` is asked at the end of an answer that ends with its connection.
    """
    events = EventSplitter() if is_event_stream(reply.answer.headers) else None
    has_body = head.method != HEAD and reply.answer.status != NOT_MODIFIED
    answer = CheckedAnswer(reply, upstream, events, _needs_event(reply, head), lives_on, has_body)
    return replace(reply, answer=answer, events=events)


def _needs_event(reply: AnswerStarted, head: RequestHead) -> bool:
    """Return whether a stream without any event was cut right after its head.

    Its framing may say that it is empty. Nothing may follow the last event of a resumed stream, as
    of one whose engine ended right after that event.
    """
    resumes = head.resuming or bool(head.last_event_id)
    return reply.answer.status == OK and reply.framing is Framing.CLOSE and not resumes


class CheckedAnswer:
    """An answer that passes on complete events only, and checks its end; see AnswerStream."""

    def __init__(
        self,
        reply: AnswerStarted,
        upstream: str,
        events: EventSplitter | None,
        needs_event: bool,
        lives_on: LivesOn,
        has_body: bool = True,
    ) -> None:
        self.status: int = reply.answer.status
        headers = reply.answer.headers
        #: Those of a stream tell no length: it may go on at another upstream, whose events differ.
        self.headers: Headers = headers if events is None else _without_length(headers)
        self._answer: AnswerStream = reply.answer
        self._upstream = upstream
        self._ends_with_connection = reply.framing is Framing.CLOSE
        self._last_event = reply.last_event
        self._events = events
        #: Whether a stream is complete only with an event.
        self._needs_event = needs_event
        self._lives_on = lives_on
        #: Bytes that the caller is told the body to have; None if it is told none, or has no body.
        self._length = _told_length(self.headers) if has_body else None
        self._event_counter = reply.event_counter

    async def stream_to(self, sink: PartSink) -> None:
        """Write complete events, or parts, to a sink; see AnswerStream."""
        if self._events is not None:
            complete_events = _CompleteEvents(sink, self._events, self._event_counter)
            try:
                await self._stream_events(complete_events, self._events, sink)
            except EventTooLong as error:
                self.cancel()
                raise self._lost(str(error)) from error
            finally:
                self._event_counter.close()
        elif self._ends_with_connection:
            held = _HeldStart(sink)
            await self._answer.stream_to(held)
            await self._check_upstream()
            if not held.release():
                await sink.ready()
        elif self._length is not None:
            counted = _CountedParts(sink, self._length, self._lost)
            await self._answer.stream_to(counted)
            counted.check_end()
        else:
            await self._answer.stream_to(sink)

    async def _stream_events(
        self, complete_events: PartSink, events: EventSplitter, sink: PartSink
    ) -> None:
        await self._answer.stream_to(complete_events)
        if events.is_inside_event:
            raise self._lost("the stream ended inside an event")
        if self._last_event is not None and not events.is_complete:
            raise self._lost("the stream ended without its last event")
        if self._needs_event and not events.events:
            raise self._lost("the stream ended before its first event")
        if self._ends_with_connection and self._last_event is None:
            await self._check_upstream()
        rest = events.take_rest()
        if rest and not sink.write(rest):
            await sink.ready()

    async def _check_upstream(self) -> None:
        """Raise AnswerLost if the upstream ended, as its end may have cut the answer."""
        if not await self._lives_on():
            raise self._lost("the upstream ended with the answer's connection")

    def _lost(self, reason: str) -> AnswerLost:
        # A crash may be the cause, however the answer was framed.
        broken = Broken("answer-broken", f"{self._upstream}: {reason}", connection_lost=True)
        return AnswerLost(broken)

    def cancel(self) -> None:
        """Abandon the answer; see AnswerStream."""
        self._event_counter.close()
        self._answer.cancel()


class _CompleteEvents:
    """Writes only complete events to a sink; see PartSink."""

    def __init__(self, sink: PartSink, events: EventSplitter, counter: HeldCounter) -> None:
        self._sink = sink
        self._events = events
        #: Counts what is held back.
        self._counter = counter
        self.ready = sink.ready

    def write(self, part: bytes) -> bool:
        complete = self._events.feed(part)
        if self._events.held_bytes != self._counter.amount:
            self._counter.set(self._events.held_bytes)
        return self._sink.write(complete) if complete else True


class _CountedParts:
    """Writes parts to a sink up to the length that the caller was told; see PartSink."""

    def __init__(self, sink: PartSink, length: int, lost: Callable[[str], AnswerLost]) -> None:
        self._sink = sink
        self._left = length
        self._lost = lost
        self.ready = sink.ready

    def write(self, part: bytes) -> bool:
        self._left -= len(part)
        if self._left < 0:
            raise self._lost("more bytes than the length that its caller was told")
        return self._sink.write(part)

    def check_end(self) -> None:
        """Raise AnswerLost if bytes are missing."""
        if self._left:
            raise self._lost("fewer bytes than the length that its caller was told")


class _HeldStart:
    """Holds back the first MAX_HELD_BYTES of an answer until it exceeds them; see PartSink."""

    def __init__(self, sink: PartSink) -> None:
        self._sink = sink
        self._held = b""
        self._is_holding = True
        self.ready = sink.ready

    def write(self, part: bytes) -> bool:
        if not self._is_holding:
            return self._sink.write(part)
        self._held += part
        return True if len(self._held) <= MAX_HELD_BYTES else self.release()

    def release(self) -> bool:
        """Write what is held back, and hold back no more."""
        held, self._held = self._held, b""
        self._is_holding = False
        return self._sink.write(held) if held else True
