"""Decides what an answer from an upstream proves about the request that is awaited.

An upstream may send an answer a second time, late, where the answer to the next request on the
connection is due. So nothing that an answer says, neither its status nor a header, is acted on
before ``judge`` has found that it is the awaited request's. Whoever acts on an answer (tries,
connections, notices, paths, relays) goes by its verdict.
"""

from __future__ import annotations

import enum

import msgspec

from pondhatch.requests._outcomes import EngineRefusal

#: Number of the latest requests of a connection whose ids are remembered in any case: the second
#: copy of an answer comes soon after the first.
REMEMBERED_REQUESTS = 32
#: Maximum number of remembered ids of one connection; one with more carries no further request.
MAX_REMEMBERED_IDS = 1024


class AnswerKind(enum.Enum):
    """What an answer proves about the awaited request, unless that is a refusal."""

    #: The upstream answered this request.
    ANSWERED = enum.auto()
    #: Nothing: it answers an earlier request of the connection, once more. This one's answer is
    #: still to come.
    EARLIER = enum.auto()
    #: Nothing: nobody can tell which request it answers.
    UNPROVEN = enum.auto()


class AwaitedRequest(msgspec.Struct, frozen=True):
    """What is known of a request whose answer is awaited."""

    #: The id that its upstream received; empty if none.
    id: str
    #: Whether it may run twice without harm.
    repeatable: bool
    #: Whether its upstream names the request that it answers in each answer.
    must_be_named: bool


class AnswerClaim(msgspec.Struct, frozen=True):
    """What the head of an answer says, before it is known whether it is true of the request."""

    #: The id of the request that it answers; None if it names none.
    answered_id: str | None
    #: Why the upstream did not run that request; None if it does not say so.
    refusal: EngineRefusal | None = None


class ConnectionUse:
    """The requests that one connection has carried, one after the other."""

    def __init__(self) -> None:
        #: Number of requests, the current one included.
        self.request_count = 0
        #: Whether an answer came that names no request.
        self.has_unnamed_answer = False
        #: Until when each remembered request may be sent again, by its id; the oldest first.
        self._sent_again_until: dict[str, float] = {}

    def may_carry(self, request: AwaitedRequest) -> bool:
        """Return whether the answer to a request could be told from those to earlier ones here.

        The second copy of an answer to an earlier try of the same request has its id.
        """
        if self.request_count == 0:
            return True
        if (
            request.id in self._sent_again_until
            or len(self._sent_again_until) >= MAX_REMEMBERED_IDS
        ):
            return False
        if request.must_be_named:
            return bool(request.id) and not self.has_unnamed_answer
        return request.repeatable or not self.has_unnamed_answer

    def note_request(self, request: AwaitedRequest, now: float, seconds: float) -> None:
        """Note that a request is sent, which may be sent again for some seconds."""
        self.request_count += 1
        if not request.id:
            return
        until_by_id = self._sent_again_until
        while len(until_by_id) >= REMEMBERED_REQUESTS:
            oldest = next(iter(until_by_id))
            if until_by_id[oldest] > now:
                break
            del until_by_id[oldest]
        until_by_id[request.id] = now + seconds

    def has_carried(self, request_id: str) -> bool:
        """Return whether a remembered request had an id."""
        return request_id in self._sent_again_until


def judge(
    claim: AnswerClaim, request: AwaitedRequest, use: ConnectionUse
) -> AnswerKind | EngineRefusal:
    """Return what an answer on a connection proves about the request that it carries now.

    A refusal is returned only if it is proved that this request was refused.
    """
    owner = _kind_of(claim, request, use)
    if owner is not AnswerKind.ANSWERED or claim.refusal is None:
        return owner
    return claim.refusal


def _kind_of(claim: AnswerClaim, request: AwaitedRequest, use: ConnectionUse) -> AnswerKind:
    if claim.answered_id is None:
        return _kind_of_unnamed(claim, request, use)
    if claim.answered_id == request.id:
        return AnswerKind.ANSWERED
    return AnswerKind.EARLIER if use.has_carried(claim.answered_id) else AnswerKind.UNPROVEN


def _kind_of_unnamed(claim: AnswerClaim, request: AwaitedRequest, use: ConnectionUse) -> AnswerKind:
    """Return what an answer proves that names no request.

    On a connection's first request nothing else can be meant. Later ones are believed only where
    they would do no harm: an upstream that names no request would otherwise need a new connection
    for each.
    """
    is_first = use.request_count == 1
    if request.must_be_named:
        is_proven = is_first and (claim.refusal is not None or not request.id)
    else:
        is_proven = is_first or request.repeatable
    return AnswerKind.ANSWERED if is_proven else AnswerKind.UNPROVEN
