"""What became of a request: the only things a caller may be told."""

from __future__ import annotations

from dataclasses import dataclass

#: Code of an outcome that is unknown because another request's answer came.
CROSSED = "answer-crossed"
#: Code where an upstream was passed over because it answers many requests with failures.
AILING = "upstream-ailing"


@dataclass(frozen=True)
class Whole:
    """The whole answer was delivered."""


@dataclass(frozen=True)
class NotRun:
    """It is certain that no upstream ran the request; repeating it is safe."""

    #: Short stable code, such as "rate-limited"; listed in docs/OPERATIONS.md.
    code: str
    reason: str
    #: Seconds after which it is worth coming back.
    retry_after: float = 1.0
    #: HTTP status towards the caller.
    status: int = 503


@dataclass(frozen=True)
class Unknown:
    """An upstream may have run the request; only the caller can judge a repeat."""

    code: str
    reason: str
    status: int = 502


@dataclass(frozen=True)
class Broken:
    """Part of the answer was delivered, then the upstream was lost."""

    code: str
    reason: str


Refusal = NotRun | Unknown
Outcome = Whole | NotRun | Unknown | Broken
