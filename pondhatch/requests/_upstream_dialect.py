"""The HTTP conventions of upstreams: headers of requests, and meaning of an answer's head."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from pondhatch.placement import Notice
from pondhatch.requests._answer_proof import AwaitedRequest
from pondhatch.requests._messages import Headers, RequestHead
from pondhatch.requests._outcomes import EngineRefusal
from pondhatch.requests._sending import Target


class UpstreamDialect(Protocol):
    """Header names and formats of upstreams; makes no decisions.

    What an answer says is acted on only as far as it is proved; see ``judge``.
    """

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return all headers of a request except those that frame its body."""

    def awaited(self, head: RequestHead) -> AwaitedRequest:
        """Return how the answer to a request is recognized."""

    def answered_id(self, value_by_name: Mapping[str, str]) -> str | None:
        """Return the id of the request that an answer says it is for; None if it names none.

        Names are in lower case.
        """

    def refusal(self, status: int, value_by_name: Mapping[str, str]) -> EngineRefusal | None:
        """Return why an upstream says it did not run a request; None if it does not say so.

        Names are in lower case.
        """

    def notice(self, status: int, value_by_name: Mapping[str, str]) -> Notice:
        """Return the upstream's notice about itself in an answer; names are in lower case."""

    def answer_headers(self, headers: Headers, note: Callable[[str], None]) -> Headers:
        """Return the headers of an answer that may be passed to a caller.

        ``note`` is called with the kind of each header that the upstream may not set.
        """

    def last_event(self, head: RequestHead) -> bytes | None:
        """Return the event that must end a complete stream, or None if there is none."""
