"""Requests and answers as they pass between the parts of a router."""

from __future__ import annotations

from typing import Protocol

import msgspec

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.placement import Regions
from pondhatch.requests._events import EventSplitter
from pondhatch.requests._framing import Framing
from pondhatch.requests._outcomes import Broken

Headers = tuple[tuple[str, str], ...]


class RequestHead(msgspec.Struct, frozen=True):
    """A request without its body."""

    #: Unique to one try of a caller's request.
    request_id: str
    account: str
    service: str
    #: 64-bit key of the chat; 0 if the request belongs to none.
    chat: int
    method: str
    #: Path and query sent to the upstream.
    path: str
    headers: Headers
    #: Whether it may run twice without harm.
    repeatable: bool
    #: Seconds left until the caller's deadline.
    deadline: float
    priority: int
    #: The account's weight among waiting accounts.
    weight: float = 1.0
    #: Whether an earlier turn of the chat was answered, so that some engine holds its context.
    is_followup: bool = False
    #: Whether the request must be sent on a connection that carried no earlier request.
    needs_new_connection: bool = False
    #: Id that the caller gave its request; empty if none.
    caller_id: str = ""
    #: Maximum number of engines that it may be sent to; 0 sets no limit.
    most_tries: int = 0
    #: Whether a broken stream may resume at another engine than the one that began it.
    resumes_anywhere: bool = False
    #: "IP:port" of the engine believed to hold its context, if another engine runs it.
    context_address: str = ""
    #: Id of the last event received, after which a stream is to resume.
    last_event_id: str = ""
    #: The caller's id of the attempt that brought the first event of the stream that the request
    #: resumes; empty if it names none.
    resumed_attempt: str = ""
    #: Regions whose engines may run it; None allows any.
    regions: Regions = None
    #: Software version whose engines alone may run it, as one of them began its stream; None allows
    #: any.
    software_version: str | None = None
    #: Whether it resumes a stream that its upstream began.
    resuming: bool = False
    #: Digest of the caller's request, equal for all its attempts; 0 if the body is not in memory.
    digest: int = 0
    #: Tokens of its prompt and expected tokens of its answer; 0 if not stated.
    prompt_tokens: int = 0
    answer_tokens: int = 0
    #: Parts of its prompt that other requests share, each an id and its number of tokens.
    prompt_parts: tuple[tuple[int, int], ...] = ()


class AnswerLost(Exception):
    """An answer ended before it was complete; carries the outcome."""

    def __init__(self, outcome: Broken) -> None:
        super().__init__(outcome.reason)
        self.outcome = outcome


class CallerGone(Exception):
    """The caller disconnected while its request was read or its answer written."""


class BodySource(Protocol):
    """A request's body, read once, in parts."""

    #: Length in bytes, or None if not known in advance.
    length: int | None

    async def read(self) -> bytes:
        """Return the next part, or b"" at the end. Raises CallerGone."""


class ReplayableBody:
    """A body held in memory, which each try can read from the start."""

    def __init__(self, content: bytes) -> None:
        self.content = content
        self.length: int | None = len(content)
        self._read = False

    async def read(self) -> bytes:
        """Return the whole body once, then b""."""
        if self._read:
            return b""
        self._read = True
        return self.content

    def unread_copy(self) -> ReplayableBody:
        """Return an unread copy."""
        return ReplayableBody(self.content)


class PartSink(Protocol):
    """Accepts an answer's parts, with backpressure from the caller's connection."""

    def write(self, part: bytes) -> bool:
        """Write a part; False asks the writer to await ``ready``. Raises CallerGone."""

    async def ready(self) -> None:
        """Return once more may be written. Raises CallerGone."""


class AnswerStream(Protocol):
    """An answer whose status and headers have arrived."""

    status: int
    headers: Headers

    async def stream_to(self, sink: PartSink) -> None:
        """Write every part to a sink as it arrives, up to the answer's end.

        Raises AnswerLost, and what the sink raises.
        """

    def cancel(self) -> None:
        """Abandon the answer; the upstream cancels its work. Safe to call twice."""


class AnswerStarted(msgspec.Struct, frozen=True):
    """The upstream accepted the request and has begun its answer."""

    answer: AnswerStream
    #: The router that relays the answer; empty if it comes directly from the upstream.
    relayed_by: str = ""
    #: Software version of the start of the upstream to which the request was sent.
    software_version: str = ""
    #: How the upstream delimits the answer, or the relay.
    framing: Framing = Framing.CHUNKED
    #: The event that ends a complete stream; None where none is expected.
    last_event: bytes | None = None
    #: Counts the bytes of an event that are held back until it is complete.
    event_counter: HeldCounter = UNCOUNTED
    #: The events of the answer that were passed on; None if it is no stream, or is not checked yet.
    events: EventSplitter | None = None


class RoutingDecision(msgspec.Struct, frozen=True):
    """Records why a request went to its engine; kept for the state dump."""

    request_id: str
    account: str
    service: str
    #: The engine that answered, or None.
    engine: str | None
    #: (engine, reason) of the engines that were skipped or refused, in order.
    passed_over: tuple[tuple[str, str], ...]
    #: Code of the outcome.
    outcome: str
    #: Seconds from the arrival of the request to its end.
    seconds: float
    at: float = msgspec.field(default=0.0)
