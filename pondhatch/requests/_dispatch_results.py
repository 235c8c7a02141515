"""What a walk is given and what it comes to."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from pondhatch.requests._grant_requests import Busy, OwnerReply
from pondhatch.requests._messages import AnswerStarted
from pondhatch.requests._outcomes import Refusal
from pondhatch.requests._wait_limits import AnswerDeadlines


class Placed(msgspec.Struct, frozen=True):
    """An engine answers the request."""

    reply: AnswerStarted
    engine: str


class Refused(msgspec.Struct, frozen=True):
    """The request got its final refusal."""

    refusal: Refusal


class RetryLater(msgspec.Struct, frozen=True):
    """Neither the engine nor its owner could be asked just now."""


class StreamPosition(msgspec.Struct, frozen=True):
    """How much of a stream its caller has."""

    #: Whole events.
    events: int
    #: Id of the last of them; empty where it told none.
    last_id: str = ""


class WaitLimits(msgspec.Struct, frozen=True):
    """How long a request may wait in an engine's line, in seconds."""

    #: Before the engine that is believed to hold its chat's context.
    context_engine: float
    #: Before the last engine that is left to ask.
    last_engine: float
    #: When an answer is in time and when it is too late; None where nobody says, so that
    #: ``last`` bounds the wait while load is managed too.
    deadlines: AnswerDeadlines | None = None


class QueueOutcome(enum.Enum):
    """How a request's wait in the queues of full engines ended."""

    #: It was in none, or load is not managed.
    NONE = "none"
    GRANTED = "granted"
    #: Every owner predicted that its turn would come too late.
    REFUSED = "refused"
    #: It was kept, and no place came free in time.
    TIMED_OUT = "in-vain"


class QueueResult(msgspec.Struct, frozen=True):
    """What came of the latest wait in the queues of full engines."""

    outcome: QueueOutcome = QueueOutcome.NONE
    #: The shortest wait that the owners predicted, in milliseconds; 0 where none did.
    predicted_ms: int = 0
    #: The earliest time at which an owner expects it back, in milliseconds; 0 where none said.
    retry_after_ms: int = 0


def result_without_grant(replies: Iterable[OwnerReply]) -> QueueResult:
    """Return what came of a wait without a grant, by the owners' final replies."""
    busy = [reply for reply in replies if isinstance(reply, Busy)]
    predicted = [reply.predicted_ms for reply in busy]
    retry_after = [reply.retry_after_ms for reply in busy if reply.retry_after_ms]
    if not busy:
        # No owner said anything of the wait.
        return QueueResult()
    was_queued = not all(predicted)
    return QueueResult(
        QueueOutcome.TIMED_OUT if was_queued else QueueOutcome.REFUSED,
        0 if was_queued else min(predicted),
        min(retry_after, default=0),
    )


NO_WAIT = WaitLimits(0.0, 0.0)
