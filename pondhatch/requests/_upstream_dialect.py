"""How upstreams are spoken to: which headers carry what, and what an answer's head says."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

from pondhatch.placement import Notice
from pondhatch.requests._messages import Headers, RequestHead
from pondhatch.requests._outcomes import EngineRefusal
from pondhatch.requests._sending import Target


class AnswerKind(enum.Enum):
    """What an answer's head says of the request, unless it is a refusal."""

    #: The upstream ran the request, and this is its answer.
    ANSWERED = enum.auto()
    #: The answer belongs to another request.
    CROSSED = enum.auto()


class UpstreamDialect(Protocol):
    """Names and formats towards upstreams; decides nothing."""

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return all headers of a request but those that frame its body."""

    def judge(
        self, head: RequestHead, status: int, value_by_name: Mapping[str, str]
    ) -> AnswerKind | EngineRefusal:
        """Say what an answer's head means, a refusal by its reason; names are in lower case."""

    def notice(self, status: int, value_by_name: Mapping[str, str]) -> Notice:
        """Return what an answer's head says of the upstream itself; names are in lower case."""

    def answer_headers(self, headers: Headers, note: Callable[[str], None]) -> Headers:
        """Return the headers of an answer that an upstream may say to a caller.

        ``note`` is told the kind of each other that the upstream had no right to say.
        """

    def last_event(self, head: RequestHead) -> bytes | None:
        """Return the event without which a stream is not whole, or None where there is none."""
