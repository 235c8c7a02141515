"""How upstreams are spoken to: which headers carry what, and what an answer's head says."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

from pondhatch.requests._messages import Headers, RequestHead
from pondhatch.requests._sending import Target


class Judged(enum.Enum):
    """What an answer's head says of the request."""

    #: The upstream ran the request, and this is its answer.
    ANSWERED = enum.auto()
    #: The upstream says that it did not run the request.
    NOT_RUN = enum.auto()
    #: The upstream is another one than was meant; it did not run the request.
    NOT_THE_ONE = enum.auto()
    #: The answer belongs to another request.
    CROSSED = enum.auto()


class UpstreamDialect(Protocol):
    """Names and formats towards upstreams; decides nothing."""

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return all headers of a request but those that frame its body."""

    def judge(self, head: RequestHead, status: int, value_by_name: Mapping[str, str]) -> Judged:
        """Say what an answer's head means; names are in lower case."""

    def answer_headers(self, headers: Headers, note: Callable[[str], None]) -> Headers:
        """Return the headers of an answer that an upstream may say to a caller.

        ``note`` is told the kind of each other that the upstream had no right to say.
        """

    def last_event(self, head: RequestHead) -> bytes | None:
        """Return the event without which a stream is not whole, or None where there is none."""
