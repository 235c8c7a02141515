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
    #: Whether the head may be made of two, of which the first broke off: it names several requests,
    #: or has the first line of an answer within another line.
    may_be_mixed: bool = False


class ConnectionUse:
    """The requests that one connection has carried, one after the other."""

    def __init__(self) -> None:
        #: Number of requests, the current one included.
        self.request_count = 0
        #: Whether an answer came that names no request.
        self.has_unnamed_answer = False
        #: Whether such an answer came from an upstream that must name them.
        self.has_lost_names = False
        #: Until when each remembered request may be sent again, by the hash of its id, since ids
        #: are as long as callers like; the oldest first.
        self._sent_again_until: dict[int, float] = {}

    def is_spent(self) -> bool:
        """Return whether no further request may be carried."""
        return self.has_lost_names or len(self._sent_again_until) >= MAX_REMEMBERED_IDS

    def may_carry(self, request: AwaitedRequest) -> bool:
        """Return whether the answer to a request could be told from those to earlier ones here.

        The second copy of an answer to an earlier try of the same request has its id.
        """
        if self.request_count == 0:
            return True
        if self.is_spent() or self.has_carried(request.id):
            return False
        if request.must_be_named:
            return bool(request.id) and not self.has_unnamed_answer
        return request.repeatable or not self.has_unnamed_answer

    def note_request(self, request: AwaitedRequest, now: float, seconds: float) -> None:
        """Note that a request is sent, which may be sent again for some seconds."""
        self.request_count += 1
        if not request.id:
            return
        until_by_hash = self._sent_again_until
        while len(until_by_hash) >= REMEMBERED_REQUESTS:
            oldest = next(iter(until_by_hash))
            if until_by_hash[oldest] > now:
                break
            del until_by_hash[oldest]
        until_by_hash[hash(request.id)] = now + seconds

    def note_unnamed_answer(self, request: AwaitedRequest) -> None:
        """Note that the answer to a request, or one in its place, names no request."""
        self.has_unnamed_answer = True
        self.has_lost_names |= request.must_be_named

    def has_carried(self, request_id: str) -> bool:
        """Return whether a remembered request had an id."""
        return hash(request_id) in self._sent_again_until


def judge(
    claim: AnswerClaim, request: AwaitedRequest, use: ConnectionUse
) -> AnswerKind | EngineRefusal:
    """Return what an answer on a connection proves about the request that it carries now.

    A refusal is returned only if it is proved that this request was refused.
    """
    kind = _kind_of(claim, request, use)
    if kind is not AnswerKind.ANSWERED or claim.refusal is None:
        return kind
    return claim.refusal


def _kind_of(claim: AnswerClaim, request: AwaitedRequest, use: ConnectionUse) -> AnswerKind:
    if claim.may_be_mixed and use.request_count > 1:
        return AnswerKind.UNPROVEN
    if claim.answered_id is None:
        return _kind_of_unnamed(claim, request, use)
    if claim.answered_id == request.id:
        return AnswerKind.ANSWERED
    return AnswerKind.EARLIER if use.has_carried(claim.answered_id) else AnswerKind.UNPROVEN


def _kind_of_unnamed(claim: AnswerClaim, request: AwaitedRequest, use: ConnectionUse) -> AnswerKind:
    """Return what an answer proves that names no request.

    On a connection's first request nothing else can be meant. On later ones an upstream that need
    not name any is believed, by the order of HTTP, about requests that may run twice: it would
    otherwise need a new connection for each.
    """
    is_first = use.request_count == 1
    if request.must_be_named:
        is_proven = is_first and (claim.refusal is not None or not request.id)
    else:
        is_proven = is_first or request.repeatable
    return AnswerKind.ANSWERED if is_proven else AnswerKind.UNPROVEN
