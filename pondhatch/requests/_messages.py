"""A request and its answer as the parts of a router pass them on."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from pondhatch.requests._outcomes import Broken, NotRun, Unknown

Headers = tuple[tuple[str, str], ...]


class RequestHead(msgspec.Struct, frozen=True):
    """What an owner must know of a request before its body; travels between routers."""

    #: Unique to one caller's request; an answer must carry it to be taken.
    request_id: str
    account: str
    service: str
    #: The engine or plain upstream that is to run it.
    engine: str
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
    #: Whether an earlier turn of the chat was answered, so that its context lies somewhere.
    returning: bool = False
    #: Whether ``engine`` is the chat's home engine.
    home: bool = False
    #: The engine ranked second for the chat; told with a question to its home.
    runner_up: str | None = None
    #: Whether the home engine is asked although the context is elsewhere.
    insist: bool = False
    #: Seconds that the request may wait in the engine's line if it is full.
    patience: float = 0.0
    #: The account's share against others that wait.
    weight: float = 1.0
    #: Whether a broken stream is to go on: no new work, welcome at a leaving engine too.
    resuming: bool = False
    #: Whether a connection must be used that no earlier request came on.
    fresh: bool = False
    #: Work that the walk has seen at other engines of the service.
    seen_elsewhere: int = 0


class Lost(Exception):
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

    def again(self) -> ReplayableBody:
        """Return an unread copy."""
        return ReplayableBody(self.content)


class AnswerStream(Protocol):
    """An answer whose head has come and whose body is read in parts."""

    status: int
    headers: Headers

    async def read(self) -> bytes:
        """Return the next part, or b"" when the whole answer was read. Raises Lost."""

    def cancel(self) -> None:
        """Give the answer up; the upstream's work is cancelled. Safe to call twice."""


@dataclass(frozen=True)
class Opened:
    """The upstream took the request and answers."""

    answer: AnswerStream


@dataclass(frozen=True)
class Busy:
    """The engine is at its ceiling; nothing was sent."""

    in_flight: int
    ceiling: int


@dataclass(frozen=True)
class Elsewhere:
    """The chat's context lies at another engine; nothing was sent."""

    engine: str


@dataclass(frozen=True)
class NotOwner:
    """The router asked does not own the engine; nothing was sent."""

    #: The router that owns it as the one asked believes; None if unknown.
    owner: str | None = None


OwnerReply = Opened | Busy | Elsewhere | NotOwner | NotRun | Unknown


class Owner(Protocol):
    """A router that owns engines, be it this one or a peer."""

    async def open(self, head: RequestHead, body: BodySource) -> OwnerReply:
        """Ask for a grant and run the request there."""

    async def remember(self, chat: int, engine: str) -> None:
        """Tell the owner of a chat's home engine where the chat was served."""


@dataclass(frozen=True)
class DecisionNote:
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
    at: float = field(default=0.0)
