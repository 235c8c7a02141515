"""The HTTP conventions of upstreams: headers of requests, and meaning of an answer's head."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

from pondhatch.placement import Notice
from pondhatch.requests._messages import Headers, RequestHead
from pondhatch.requests._outcomes import EngineRefusal
from pondhatch.requests._sending import Target


class AnswerKind(enum.Enum):
    """What an answer is according to its head, unless it is a refusal."""

    #: The upstream ran the request, and this is its answer.
    ANSWERED = enum.auto()
    #: The answer belongs to another request.
    CROSSED = enum.auto()


class UpstreamDialect(Protocol):
    """Header names and formats of upstreams; makes no decisions."""

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return all headers of a request except those that frame its body."""

    def sent_id(self, head: RequestHead) -> str:
        """Return the id under which an upstream receives a request; empty if it gets none."""

    def answered_id(self, value_by_name: Mapping[str, str]) -> str | None:
        """Return the id of the request that an answer names as its own; None if it names none.

        Names are in lower case.
        """

    def classify(
        self, head: RequestHead, status: int, value_by_name: Mapping[str, str]
    ) -> AnswerKind | EngineRefusal:
        """Return the kind of an answer, or the reason of a refusal; names are in lower case."""

    def notice(self, status: int, value_by_name: Mapping[str, str]) -> Notice:
        """Return the upstream's notice about itself in an answer; names are in lower case."""

    def answer_headers(self, headers: Headers, note: Callable[[str], None]) -> Headers:
        """Return the headers of an answer that may be passed to a caller.

        ``note`` is called with the kind of each header that the upstream may not set.
        """

    def last_event(self, head: RequestHead) -> bytes | None:
        """Return the event that must end a complete stream, or None if there is none."""
