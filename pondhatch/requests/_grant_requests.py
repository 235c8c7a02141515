"""What an entry router asks an engine's owner, and what the owner may answer."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from pondhatch.placement import Granted
from pondhatch.requests._outcomes import NotRun

#: A question's patience in a second, and its weight in a whole share.
MS_PER_SECOND = 1000
WEIGHT_SCALE = 1000
#: Seconds for which the work that a walk saw at other engines may raise a ceiling, at its entry
#: router and then again in a line: it may have ended since.
SEEN_LOAD_SECONDS = 0.8


class GrantRequest(msgspec.Struct, frozen=True, array_like=True, tag=50):
    """May this request run at this engine? Travels between routers, so each byte counts."""

    #: 32 bits, unique among the questions of its router in the time of a lease.
    number: int
    #: Short id of the entry router.
    router: int
    engine: str
    account: str
    #: 64-bit key of the chat at its home engine; 0 elsewhere, and where there is none.
    chat: int
    priority: int
    #: Milliseconds that the request may wait in the engine's line if it is full.
    max_wait_ms: int = 0
    #: Thousandths of the account's share against others that wait.
    weight: int = 1000
    #: Work that the walk has seen at other engines of the service.
    seen_in_flight_elsewhere: int = 0
    #: Whether an earlier turn of the chat was answered, so that its context lies somewhere.
    is_followup: bool = False
    #: Whether the engine is the chat's home engine.
    is_home: bool = False
    #: The chat's first engine that did not join lately; told to a home engine that did.
    settled_engine: str | None = None
    #: Whether the engine is asked although the context is elsewhere, or it is ailing.
    is_forced: bool = False
    #: Whether a broken stream is to go on: no new work, welcome at a leaving engine too.
    resuming: bool = False
    #: Whether the one asked is to decide although it does not own the engine: its owner gives
    #: no word.
    instead_of_owner: bool = False
    #: Milliseconds within which a grant still leaves time for an answer within the objective;
    #: 0 where that is not said. This and what follows is said where load is managed.
    in_time: int = 0
    #: Engines in whose queues the request waits at once, this one included.
    queue_count: int = 1
    #: Tokens that it takes of an engine's memory beside the parts of its prompt: those of its
    #: answer; 0 where not said.
    tokens: int = 0
    #: Parts of its prompt, each as a key and its tokens; OWN_PART is the key of what no other
    #: request shares.
    parts: tuple[tuple[int, int], ...] = ()

    @property
    def holder(self) -> Holder:
        """Return what a grant of this question is known by."""
        return Holder(self.router, self.number)


class Holder(msgspec.Struct, frozen=True):
    """Who holds a grant: an entry router's short id, and the number of its question."""

    router: int
    number: int


class Busy(msgspec.Struct, frozen=True):
    """The engine is at its ceiling."""

    in_flight: int
    ceiling: int
    #: Whether it has places, but is cold, and is to get nothing more for a moment.
    is_cold: bool = False
    #: Milliseconds that a request would wait here for a place, and after which it is worth
    #: coming back; 0 where they are not estimated.
    predicted_ms: int = 0
    retry_after_ms: int = 0
    #: Tokens that must come free in the engine's memory before it takes the request; 0 where
    #: its memory is not the reason.
    short_tokens: int = 0


class ContextElsewhere(msgspec.Struct, frozen=True):
    """The chat's context lies at another engine."""

    engine: str


class NotOwner(msgspec.Struct, frozen=True):
    """The router asked does not own the engine."""

    #: The router that owns it as the one asked believes; None if unknown.
    owner: str | None = None


#: Nothing is sent to the engine before it is granted, so each of the others is sure not to run.
OwnerReply = Granted | Busy | ContextElsewhere | NotOwner | NotRun


class EndReason(enum.IntEnum):
    """What a request that gives its grant back tells of the engine."""

    #: The engine answered.
    ANSWERED = 0
    #: Nothing is to be learned: refused, given up, never sent.
    NEUTRAL = 1
    #: The engine could not be reached, or lost the request or its answer.
    CONNECTION_FAILED = 2
    #: The engine answered with a failure of its own, or refused without a reason.
    ENGINE_ERROR = 3
    #: The engine refused the request as it has no place.
    FULL = 4
    #: The engine refused the request as it is about to end.
    LEAVING = 5


class Grants(Protocol):
    """The way from a walk to the owners of engines, wherever they are."""

    #: Short id of this router.
    router: int

    async def ask(self, owner: str, grant_request: GrantRequest, max_wait: float) -> OwnerReply:
        """Ask an owner; a grant is held until it is released.

        ``bearable`` is for how many seconds the request can wait for an owner's word.
        """

    def decide_without_owner(self, grant_request: GrantRequest) -> OwnerReply:
        """Decide by what this router knows, where an engine's owner cannot be asked."""

    def release(self, number: int, end_reason: EndReason) -> None:
        """Give the grant of a question back; safe to call twice."""

    def next_number(self) -> int:
        """Return a number that no question of this router had."""

    def report_spill(self, owner: str, chat: int, engine: str) -> None:
        """Tell the owner of a chat's home engine where the chat was served."""
