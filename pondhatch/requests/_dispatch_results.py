"""Inputs and results of dispatching a request to an engine."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from pondhatch.requests._grant_requests import Busy, OwnerReply
from pondhatch.requests._messages import AnswerStarted
from pondhatch.requests._outcomes import Refusal
from pondhatch.requests._wait_limits import AnswerDeadlines


class Placed(msgspec.Struct, frozen=True):
    """An engine has begun to answer the request."""

    reply: AnswerStarted
    engine: str


class Refused(msgspec.Struct, frozen=True):
    """The request was refused; no other engine will be tried."""

    refusal: Refusal


class RetryLater(msgspec.Struct, frozen=True):
    """Neither the engine nor its owner could be reached; a later try may succeed."""


class StreamPosition(msgspec.Struct, frozen=True):
    """How much of an event stream was delivered to its caller."""

    #: Complete events delivered.
    events: int
    #: Id of the last delivered event; empty if it carried none.
    last_id: str = ""


class WaitLimits(msgspec.Struct, frozen=True):
    """How long a request may wait in an engine's wait queue, in seconds."""

    #: At the engine that is believed to hold the chat's context.
    context_engine: float
    #: At the last engine that is left to ask.
    last_engine: float
    #: When an answer is in time and when it is too late; if None, ``last_engine`` bounds the
    #: wait with load management too.
    deadlines: AnswerDeadlines | None = None


class QueueOutcome(enum.Enum):
    """How a request's wait in the queues of full engines ended."""

    #: The request did not wait, or load management is off.
    NONE = "none"
    GRANTED = "granted"
    #: Every owner predicted that a slot would come free too late.
    REFUSED = "refused"
    #: The request was queued, and no slot came free in time.
    TIMED_OUT = "in-vain"


class QueueResult(msgspec.Struct, frozen=True):
    """Result of the latest wait in the queues of full engines."""

    outcome: QueueOutcome = QueueOutcome.NONE
    #: The shortest wait that the owners predicted, in milliseconds; 0 if none predicted one.
    predicted_ms: int = 0
    #: The shortest retry delay that the owners suggested, in milliseconds; 0 if none did.
    retry_after_ms: int = 0


def result_without_grant(replies: Iterable[OwnerReply]) -> QueueResult:
    """Return the result of a wait without a grant from the owners' final replies."""
    busy = [reply for reply in replies if isinstance(reply, Busy)]
    predicted = [reply.predicted_ms for reply in busy]
    retry_after = [reply.retry_after_ms for reply in busy if reply.retry_after_ms]
    if not busy:
        # No owner reported the state of its engine's queue.
        return QueueResult()
    was_queued = not all(predicted)
    return QueueResult(
        QueueOutcome.TIMED_OUT if was_queued else QueueOutcome.REFUSED,
        0 if was_queued else min(predicted),
        min(retry_after, default=0),
    )


NO_WAIT = WaitLimits(0.0, 0.0)
