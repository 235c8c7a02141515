"""Finds out whose an answer from an upstream is, and reports the answers that nobody awaits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from pondhatch.requests import (
    AnswerClaim,
    AnswerKind,
    AwaitedRequest,
    ConnectionUse,
    EngineRefusal,
    RequestHead,
    UpstreamDialect,
    judge,
)
from pondhatch.transport._head_verdict import HeadVerdict
from pondhatch.transport._http_heads import ResponseHead

#: Number of characters of an id in an answer that are logged.
LOGGED_ID_CHARACTERS = 64


class SurplusAnswer(msgspec.Struct, frozen=True):
    """An answer that is not, or not provably, that of the request whose answer was awaited."""

    upstream: str
    status: int
    #: The id of the awaited request.
    awaited_id: str
    #: The id of the request that the answer names; empty if it names none.
    answered_id: str
    #: Number of requests that the connection has carried.
    request_count: int
    #: Whether it was dropped, and the awaited answer read after it.
    was_skipped: bool


class SurplusObserver(Protocol):
    """Learns of answers that are not the awaited ones."""

    def note_surplus(self, surplus: SurplusAnswer) -> None:
        """Note an answer that proves nothing about the awaited request."""


class NoSurplusObserver:
    """Learns nothing; see SurplusObserver."""

    def note_surplus(self, surplus: SurplusAnswer) -> None:
        """Do nothing."""


class UpstreamAnswerJudge:
    """Judges the answers to one request at one upstream; see AnswerJudge."""

    def __init__(
        self,
        dialect: UpstreamDialect,
        head: RequestHead,
        upstream: str,
        observer: SurplusObserver,
        on_own: Callable[[ResponseHead], None],
    ) -> None:
        self.awaited: AwaitedRequest = dialect.awaited(head)
        #: What the latest answer proves about the request.
        self.proof: AnswerKind | EngineRefusal = AnswerKind.UNPROVEN
        #: That answer's status, whose it is, and its place on its connection, for the logs.
        self.description = ""
        self._dialect = dialect
        self._upstream = upstream
        self._observer = observer
        #: Called with the head of the request's own answer.
        self._on_own = on_own

    def judge(
        self, head: ResponseHead, use: ConnectionUse, can_skip: Callable[[], bool]
    ) -> HeadVerdict:
        """Return whose an answer is, on receipt of its head; see AnswerJudge."""
        answered_id = self._dialect.answered_id(head.value_by_name)
        refusal = self._dialect.refusal(head.status, head.value_by_name)
        may_be_mixed = head.has_inner_status_line or self._names_several(head, answered_id)
        claim = AnswerClaim(answered_id, refusal, may_be_mixed)
        self.proof = judge(claim, self.awaited, use)
        self.description = self._describe(head.status, answered_id, use)
        if answered_id is None:
            use.note_unnamed_answer(self.awaited)
        if self.proof not in (AnswerKind.EARLIER, AnswerKind.UNPROVEN):
            self._on_own(head)
            return HeadVerdict.OWN
        is_skipped = self.proof is AnswerKind.EARLIER and can_skip()
        self._observer.note_surplus(
            SurplusAnswer(
                self._upstream,
                head.status,
                self.awaited.id[:LOGGED_ID_CHARACTERS],
                (answered_id or "")[:LOGGED_ID_CHARACTERS],
                use.request_count,
                is_skipped,
            )
        )
        return HeadVerdict.SKIPPED if is_skipped else HeadVerdict.UNPROVEN

    def _names_several(self, head: ResponseHead, answered_id: str | None) -> bool:
        """Return whether a head names more than one request."""
        if not head.has_repeated_names():
            return False
        ids = {self._dialect.answered_id({name.lower(): value}) for name, value in head.headers}
        return bool(ids - {None, answered_id})

    def _describe(self, status: int, answered_id: str | None, use: ConnectionUse) -> str:
        if answered_id is None:
            whose = "naming no request"
        elif answered_id == self.awaited.id:
            whose = "naming this request"
        else:
            whose = f"naming request {answered_id[:LOGGED_ID_CHARACTERS]}"
        return f"answered {status}, {whose}, on request {use.request_count} of its connection"
