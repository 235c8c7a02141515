"""Grant requests from entry routers to the owners of engines, and the owners' replies."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from pondhatch.placement import Full, Granted
from pondhatch.requests._outcomes import NotRun

#: Units of ``GrantRequest.max_wait_ms`` in a second, and of ``GrantRequest.weight`` in a weight
#: of 1.
MS_PER_SECOND = 1000
WEIGHT_SCALE = 1000
#: Seconds for which the in-flight requests seen at other engines may raise an engine's ceiling,
#: counted at the entry router and again in the owner's queue: they may have ended since.
SEEN_LOAD_SECONDS = 0.8


class GrantRequest(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """Asks an engine's owner whether a request may run there.

    Sent between routers in one small packet, so its encoding is kept short.
    """

    #: 32 bits, unique among the grant requests of its router for the time of a lease.
    number: int
    #: Short id of the entry router.
    router: int
    engine: str
    account: str
    #: 64-bit key of the chat if the engine is its home; 0 at other engines and without a chat.
    chat: int
    priority: int
    #: Milliseconds that the request may wait in the owner's queue if the engine is full.
    max_wait_ms: int = 0
    #: The account's weight among waiting accounts, in thousandths.
    weight: int = 1000
    #: In-flight requests that the dispatch has seen at other engines of the service.
    seen_in_flight_elsewhere: int = 0
    #: Whether an earlier turn of the chat was answered, so that some engine holds its context.
    is_followup: bool = False
    #: Whether the engine is the chat's home engine.
    is_home: bool = False
    #: The chat's highest-ranked engine that did not join recently; set if the home engine did.
    settled_engine: str | None = None
    #: Whether to grant even if the context is at another engine or this one is ailing.
    is_forced: bool = False
    #: Whether this resumes a broken stream, which a leaving engine accepts too.
    resuming: bool = False
    #: Whether the receiver is to decide without owning the engine, as the owner does not reply.
    instead_of_owner: bool = False
    #: Milliseconds within which a grant still leaves time for an answer within the objective;
    #: 0 if not stated. This and the following fields are set only with load management.
    in_time: int = 0
    #: Number of engines in whose queues the request waits at once, this one included.
    queue_count: int = 1
    #: Tokens of engine memory that the answer needs beside the prompt's parts; 0 if not stated.
    tokens: int = 0
    #: Parts of the prompt, each a key and its number of tokens; UNSHARED_PART is the key of what no
    #: other request shares.
    parts: tuple[tuple[int, int], ...] = ()
    #: How many requests the engine may refuse within a second, by its latest answer to the entry
    #: router; None if it stated no limit.
    refusal_limit: int | None = None

    @property
    def holder(self) -> Holder:
        """Return the id of the grant that this request may get."""
        return Holder(self.router, self.number)


class Holder(msgspec.Struct, frozen=True):
    """Identifies a grant: its entry router's short id and its grant request's number."""

    router: int
    number: int


class Busy(Full, frozen=True):
    """The owner's reply that the request was not granted, with the reason and the load."""


class ContextElsewhere(msgspec.Struct, frozen=True):
    """The chat's context is at another engine."""

    engine: str


class NotOwner(msgspec.Struct, frozen=True):
    """The replying router does not own the engine."""

    #: The owner in the replying router's view; None if unknown.
    owner: str | None = None


#: Nothing is sent to an engine before a grant, so after any other reply the request did not run.
OwnerReply = Granted | Busy | ContextElsewhere | NotOwner | NotRun


class EndReason(enum.IntEnum):
    """How a granted request ended, as evidence of its engine's health and load."""

    #: The engine answered.
    ANSWERED = 0
    #: No evidence: the request was refused, cancelled or never sent.
    NEUTRAL = 1
    #: The engine could not be reached, or the connection was lost before the answer's end.
    CONNECTION_FAILED = 2
    #: The engine answered with a server error, or refused without a reason.
    ENGINE_ERROR = 3
    #: The engine refused the request because it has no free slot.
    FULL = 4
    #: The engine refused the request because it is about to shut down.
    LEAVING = 5


class Grants(Protocol):
    """Requests and releases grants at the owners of engines, local or remote."""

    #: Short id of this router.
    router: int

    async def ask(self, owner: str, grant_request: GrantRequest, max_wait: float) -> OwnerReply:
        """Ask an owner; a grant is held until it is released.

        ``max_wait`` is how many seconds the request can wait for the owner's reply.
        """

    def decide_without_owner(self, grant_request: GrantRequest) -> OwnerReply:
        """Decide from this router's own state because the engine's owner cannot be asked."""

    def release(self, number: int, end_reason: EndReason) -> None:
        """Release the grant of a grant request; safe to call twice."""

    def next_number(self) -> int:
        """Return a number that no recent grant request of this router has."""

    def report_spill(self, owner: str, chat: int, engine: str) -> None:
        """Tell the owner of a chat's home engine which other engine served the chat."""
