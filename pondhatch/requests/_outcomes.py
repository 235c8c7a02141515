"""What became of a request: the only things a caller may be told."""

from __future__ import annotations

import enum

import msgspec

#: Code of an outcome that is unknown because another request's answer came.
CROSSED = "answer-crossed"
#: Code where an upstream was passed over because it answers many requests with failures.
AILING = "upstream-ailing"


#: Seconds after which to come back where load was not the reason: a new request is free to
#: go to any engine, and by then the owner of the one that refused passes it over.
SOON_RETRY_AFTER = 0.2
#: Status of a refusal for which another try is worth it, and of one for which none is.
UNAVAILABLE_STATUS = 503
BAD_REQUEST_STATUS = 400


class EngineRefusal(enum.StrEnum):
    """Why an upstream did not run a request that it was sent; the value is the code told.

    What follows is decided by this alone: a full or overloaded upstream says something of its
    load, one that is leaving or the wrong one of itself, and a bad request of the request.
    """

    #: It has no place: its slots, its queue or its memory are taken.
    FULL = "upstream-full"
    #: It has places, by its own word, and refused the request all the same.
    DECLINED = "upstream-declined"
    #: It wants nothing more for a while, which it says.
    OVERLOADED = "upstream-overloaded"
    #: It takes no more work, since it is about to end.
    LEAVING = "upstream-draining"
    #: Another upstream answers at its address: the list of upstreams is behind.
    WRONG_INSTANCE = "upstream-not-the-one"
    #: It takes the request itself for wrong; any other would as well.
    BAD_REQUEST = "upstream-bad-request"
    #: It does not say why.
    UNKNOWN = "upstream-refused"


class Whole(msgspec.Struct, frozen=True):
    """The whole answer was delivered."""


class NotRun(msgspec.Struct, frozen=True):
    """It is certain that no upstream ran the request; repeating it is safe."""

    #: Short stable code, such as "rate-limited"; listed in docs/OPERATIONS.md.
    code: str
    reason: str
    #: Seconds after which it is worth coming back.
    retry_after: float = 1.0
    #: HTTP status towards the caller.
    status: int = UNAVAILABLE_STATUS
    #: Why the upstream that was sent the request refused it; None where none was.
    refusal: EngineRefusal | None = None


class Unknown(msgspec.Struct, frozen=True):
    """An upstream may have run the request; only the caller can judge a repeat."""

    code: str
    reason: str
    status: int = 502
    #: Whether the connection to the upstream ended, rather than that this router gave up.
    connection_lost: bool = False


class Broken(msgspec.Struct, frozen=True):
    """Part of the answer was delivered, then the upstream was lost."""

    code: str
    reason: str
    #: Whether the connection to the upstream ended, rather than that this router gave up.
    connection_lost: bool = False


Refusal = NotRun | Unknown
Outcome = Whole | NotRun | Unknown | Broken


def deadline_passed() -> NotRun:
    """Return the refusal of a request whose time ran out before it was sent."""
    return NotRun("deadline", "the deadline passed before an engine was free")


#: Refusals after which any other engine may take the request at once.
_ABOUT_THE_ENGINE = frozenset(
    {
        EngineRefusal.DECLINED,
        EngineRefusal.OVERLOADED,
        EngineRefusal.LEAVING,
        EngineRefusal.WRONG_INSTANCE,
    }
)


def refused_by_engine(refusal: EngineRefusal, reason: str) -> NotRun:
    """Return what a caller is told of an upstream's refusal, where nobody else took it."""
    if refusal is EngineRefusal.BAD_REQUEST:
        return NotRun(refusal.value, reason, 0.0, BAD_REQUEST_STATUS, refusal)
    if refusal in _ABOUT_THE_ENGINE:
        return NotRun(refusal.value, reason, SOON_RETRY_AFTER, refusal=refusal)
    return NotRun(refusal.value, reason, refusal=refusal)
