"""All outcomes of a request that are reported to callers."""

from __future__ import annotations

import enum

import msgspec

#: Code of an unknown outcome: the answer received is not provably the one to this request.
CROSSED = "answer-crossed"
#: Code for skipping an upstream because it fails or refuses many requests.
AILING = "upstream-ailing"
#: Code of a request whose deadline passed before it was sent.
DEADLINE = "deadline"
#: Retry delay in seconds if load was not the reason: a new request may go to any engine, and by
#: then the owner of the refusing engine skips that engine.
SOON_RETRY_AFTER = 0.2
#: HTTP status of a refusal that is worth retrying, and of one that is not.
UNAVAILABLE_STATUS = 503
BAD_REQUEST_STATUS = 400


class EngineRefusal(enum.StrEnum):
    """Why an upstream did not run a request sent to it; the value is the code for the caller.

    It alone decides how dispatch goes on: FULL and OVERLOADED are about the upstream's load,
    LEAVING and WRONG_INSTANCE about the upstream itself, and BAD_REQUEST about the request.
    """

    #: Its slots, its queue or its memory are full.
    FULL = "upstream-full"
    #: It reports free slots, and refused the request all the same.
    DECLINED = "upstream-declined"
    #: It asks for no more requests for a time that it states.
    OVERLOADED = "upstream-overloaded"
    #: It accepts no more requests because it is about to shut down.
    LEAVING = "upstream-draining"
    #: Another upstream answers at its address: the list of upstreams is out of date.
    WRONG_INSTANCE = "upstream-not-the-one"
    #: It rejects the request as invalid, as any other upstream would.
    BAD_REQUEST = "upstream-bad-request"
    #: It gives no reason.
    UNKNOWN = "upstream-refused"


class Whole(msgspec.Struct, frozen=True):
    """The answer was delivered completely."""


class NotRun(msgspec.Struct, frozen=True):
    """No upstream ran the request; repeating it is safe."""

    #: Short stable code, such as "rate-limited"; listed in docs/OPERATIONS.md.
    code: str
    reason: str
    #: Suggested retry delay in seconds.
    retry_after: float = 1.0
    #: HTTP status sent to the caller.
    status: int = UNAVAILABLE_STATUS
    #: Why the upstream that was sent the request refused it; None if it was sent to none.
    refusal: EngineRefusal | None = None


class Unknown(msgspec.Struct, frozen=True):
    """An upstream may have run the request; only the caller can decide whether to repeat it."""

    code: str
    reason: str
    status: int = 502
    #: Whether the connection to the upstream was lost, as opposed to closed by this router.
    connection_lost: bool = False


class Broken(msgspec.Struct, frozen=True):
    """Part of the answer was delivered before the upstream was lost."""

    code: str
    reason: str
    #: Whether the connection to the upstream was lost, as opposed to closed by this router.
    connection_lost: bool = False


Refusal = NotRun | Unknown
Outcome = Whole | NotRun | Unknown | Broken


def deadline_passed() -> NotRun:
    """Return the refusal of a request whose deadline passed before it was sent."""
    return NotRun(DEADLINE, "the deadline passed before an engine was free")


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
    """Return the refusal that the caller gets if no other upstream takes the refused request."""
    if refusal is EngineRefusal.BAD_REQUEST:
        return NotRun(refusal.value, reason, 0.0, BAD_REQUEST_STATUS, refusal)
    if refusal in _ABOUT_THE_ENGINE:
        return NotRun(refusal.value, reason, SOON_RETRY_AFTER, refusal=refusal)
    return NotRun(refusal.value, reason, refusal=refusal)
