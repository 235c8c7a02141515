"""Simulated connections of one router to upstreams, on which answers may come a second time.

Whose an answer is, and which requests a connection may carry, is decided by the code that serves.
"""

from __future__ import annotations

import asyncio

from pondhatch.requests import (
    CROSSED,
    AnswerClaim,
    AnswerKind,
    AwaitedRequest,
    ConnectionUse,
    EngineRefusal,
    NotRun,
    RequestHead,
    Unknown,
    judge,
)
from pondhatch.requests._outcomes import refused_by_engine

#: The id of a request that no connection carried.
FOREIGN_ID = "never sent"


def awaited_of(head: RequestHead) -> AwaitedRequest:
    """Return what is known of a request whose upstream echoes one id for all tries of it."""
    return AwaitedRequest(head.request_id.split(".")[0], head.repeatable, must_be_named=True)


class HistoryConnection:
    """One connection, and the answers that may come on it."""

    def __init__(self) -> None:
        self.use = ConnectionUse()
        self._awaited: AwaitedRequest
        #: The refusals of earlier requests, the newest last.
        self._refusals: list[AnswerClaim] = []

    def begin(self, awaited: AwaitedRequest, seconds: float) -> None:
        """Note that a request is sent, which may be sent again for some seconds."""
        self._awaited = awaited
        self.use.note_request(awaited, asyncio.get_running_loop().time(), seconds)

    def receive_copy(self) -> NotRun | Unknown | None:
        """Receive the second copy of the latest earlier refusal, if there is one.

        Return the outcome of the awaited request by it, or None if its own answer is awaited.
        """
        return self._outcome(self._refusals[-1]) if self._refusals else None

    def receive_foreign(self) -> NotRun | Unknown:
        """Receive an answer to a request that the connection did not carry."""
        return self._outcome(AnswerClaim(FOREIGN_ID)) or _unproven()

    def receive_refusal(self, refusal: EngineRefusal) -> NotRun | Unknown:
        """Receive the refusal of the awaited request."""
        claim = AnswerClaim(self._awaited.id, refusal)
        outcome = self._outcome(claim)
        self._refusals.append(claim)
        return outcome or _unproven()

    def _outcome(self, claim: AnswerClaim) -> NotRun | Unknown | None:
        proof = judge(claim, self._awaited, self.use)
        if isinstance(proof, EngineRefusal):
            return refused_by_engine(proof, "refused")
        return None if proof is AnswerKind.EARLIER else _unproven()


class HistoryConnections:
    """One router's idle connections, by upstream."""

    def __init__(self) -> None:
        self._idle_by_engine: dict[str, list[HistoryConnection]] = {}

    def take(self, engine: str, head: RequestHead) -> HistoryConnection:
        """Return an idle connection that may carry a request, or a new one, and begin there."""
        awaited = awaited_of(head)
        idle = self._idle_by_engine.setdefault(engine, [])
        fitting = [each for each in reversed(idle) if each.use.may_carry(awaited)]
        connection = HistoryConnection()
        if fitting and not head.needs_new_connection:
            connection = fitting[0]
            idle.remove(connection)
        connection.begin(awaited, head.deadline)
        return connection

    def keep(self, engine: str, connection: HistoryConnection) -> None:
        """Keep a connection whose request was answered to the end."""
        self._idle_by_engine.setdefault(engine, []).append(connection)


def _unproven() -> Unknown:
    return Unknown(CROSSED, "another's answer")
