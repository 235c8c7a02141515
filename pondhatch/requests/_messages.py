"""A request and its answer as the parts of a router pass them on."""

from __future__ import annotations

from typing import Protocol

import msgspec

from pondhatch.placement import Regions
from pondhatch.requests._outcomes import Broken

Headers = tuple[tuple[str, str], ...]


class RequestHead(msgspec.Struct, frozen=True):
    """All of a request but its body."""

    #: Unique to one try of one caller's request.
    request_id: str
    account: str
    service: str
    #: 64-bit key of the chat; 0 where the request belongs to none.
    chat: int
    method: str
    #: Path and query towards the upstream.
    path: str
    headers: Headers
    #: Whether running it twice does no harm.
    repeatable: bool
    #: Seconds left until the caller's deadline.
    deadline: float
    priority: int
    #: The account's share against others that wait.
    weight: float = 1.0
    #: Whether an earlier turn of the chat was answered, so that its context lies somewhere.
    is_followup: bool = False
    #: Whether a connection must be used that no earlier request came on.
    needs_new_connection: bool = False
    #: Id that the caller gave its request; empty where it gave none.
    caller_id: str = ""
    #: Engines that it may be sent to at most; 0 sets no limit.
    most_tries: int = 0
    #: Whether a broken stream may go on at another engine than the one it began on.
    resumes_anywhere: bool = False
    #: "IP:port" of the engine that is believed to hold its context, where another runs it.
    context_address: str = ""
    #: Id of the last event that was received, where a stream is to go on after it.
    last_event_id: str = ""
    #: Regions whose engines may run it; None where any may.
    regions: Regions = None
    #: Whether it is the rest of a stream that its upstream began.
    resuming: bool = False
    #: Of what the caller asks for, alike in all attempts at it; 0 where its body is not held.
    digest: int = 0
    #: Tokens of its prompt, and those that its answer is taken to have; 0 where not stated.
    prompt_tokens: int = 0
    answer_tokens: int = 0
    #: Parts of its prompt that other requests share, each as an id and its tokens.
    prompt_parts: tuple[tuple[int, int], ...] = ()


class AnswerLost(Exception):
    """An answer ended before it was whole; carries what that means."""

    def __init__(self, outcome: Broken) -> None:
        super().__init__(outcome.reason)
        self.outcome = outcome


class CallerGone(Exception):
    """The caller went away while its request was read or its answer written."""


class BodySource(Protocol):
    """A request's body, read once, in parts."""

    #: Length in bytes, or None where it is not known before the end.
    length: int | None

    async def read(self) -> bytes:
        """Return the next part, or b"" at the end. Raises CallerGone."""


class ReplayableBody:
    """A body held in memory, which another try may read again."""

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
    """Takes an answer's parts, no faster than its caller does."""

    def write(self, part: bytes) -> bool:
        """Take a part; False asks to wait for ``ready``. Raises CallerGone."""

    async def ready(self) -> None:
        """Return once more parts may be written. Raises CallerGone."""


class AnswerStream(Protocol):
    """An answer whose head has come."""

    status: int
    headers: Headers

    async def pour(self, sink: PartSink) -> None:
        """Hand every part to a sink as it comes, to the answer's end.

        Raises Lost, and what the sink raises.
        """

    def cancel(self) -> None:
        """Give the answer up; the upstream's work is cancelled. Safe to call twice."""


class AnswerStarted(msgspec.Struct, frozen=True):
    """The upstream took the request and answers."""

    answer: AnswerStream


class RoutingDecision(msgspec.Struct, frozen=True):
    """Why a request went where it went; kept for the state dump."""

    request_id: str
    account: str
    service: str
    #: The engine that took it, or None.
    engine: str | None
    #: (engine, why) of those passed over, in order.
    passed_over: tuple[tuple[str, str], ...]
    #: What became of it, as a short code.
    outcome: str
    #: Seconds from the caller's request to the end.
    seconds: float
    at: float = msgspec.field(default=0.0)
