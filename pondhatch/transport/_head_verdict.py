"""The interface by which the sender of a request tells a connection whose an answer is."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from pondhatch.requests import AwaitedRequest, ConnectionUse
from pondhatch.transport._http_heads import ResponseHead


class HeadVerdict(enum.Enum):
    """What the sender of a request found of the head of an answer."""

    #: It is the request's answer.
    OWN = enum.auto()
    #: It is another's; the request's own is to come on the same connection.
    SKIPPED = enum.auto()
    #: Whose it is cannot be told, or the connection's order is lost. The connection is not reused.
    UNPROVEN = enum.auto()


class AnswerJudge(Protocol):
    """Decides whose an answer is, for the sender of a request."""

    #: How the request's answer is recognized; None where each answer counts as its own.
    awaited: AwaitedRequest | None

    def judge(
        self, head: ResponseHead, use: ConnectionUse, can_skip: Callable[[], bool]
    ) -> HeadVerdict:
        """Return whose an answer is, on receipt of its head.

        ``can_skip`` returns whether the answer's end is known, so that another may follow it.
        """


class TrustingJudge:
    """Takes each answer for that of the request sent last; see AnswerJudge."""

    awaited: AwaitedRequest | None = None

    def judge(
        self, head: ResponseHead, use: ConnectionUse, can_skip: Callable[[], bool]
    ) -> HeadVerdict:
        """Return that the answer is the request's own."""
        return HeadVerdict.OWN


TRUSTING_JUDGE = TrustingJudge()
