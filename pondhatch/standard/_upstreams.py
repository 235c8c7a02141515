"""The headers of upstreams that serve the OpenAI API, and of plain services."""

from __future__ import annotations

import time
from collections.abc import Mapping

from pondhatch.placement import NO_NOTICE, Notice
from pondhatch.requests import (
    LAST_EVENT,
    AwaitedRequest,
    EngineRefusal,
    Headers,
    RequestHead,
    Target,
)
from pondhatch.standard._header_owners import OWNERS
from pondhatch.transport import NoteDropped, seconds_to_wait

#: Header that matches an answer to its request.
REQUEST_ID_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
#: Header with which an upstream states that it did not run a request, and why.
NOT_RUN_HEADER = "x-not-run"
#: Header in all answers of an upstream that is about to shut down.
LEAVING_HEADER = "x-leaving"
RETRY_AFTER_HEADER = "retry-after"
#: Statuses with which Retry-After asks for a rest: a time in which the upstream gets no requests.
OVERLOADED_STATUSES = frozenset({429, 503})
WRONG_INSTANCE_STATUS = 421


#: Refusals by the reason in the not-run header, and by status if it states none of these.
REFUSAL_BY_REASON = {
    "full": EngineRefusal.FULL,
    "leaving": EngineRefusal.LEAVING,
    "not-the-one": EngineRefusal.WRONG_INSTANCE,
    "bad-request": EngineRefusal.BAD_REQUEST,
}
REFUSAL_BY_STATUS = {
    400: EngineRefusal.BAD_REQUEST,
    WRONG_INSTANCE_STATUS: EngineRefusal.WRONG_INSTANCE,
    429: EngineRefusal.FULL,
    503: EngineRefusal.FULL,
}


def _refusal(status: int, reason: str, notice: Notice) -> EngineRefusal:
    """Return why an upstream did not run a request."""
    by_status = REFUSAL_BY_STATUS.get(status, EngineRefusal.UNKNOWN)
    refusal = REFUSAL_BY_REASON.get(reason.strip().lower(), by_status)
    if refusal is not EngineRefusal.FULL or not notice:
        return refusal
    return EngineRefusal.LEAVING if notice.is_leaving else EngineRefusal.OVERLOADED


class OpenAiUpstreams:
    """The headers of the OpenAI API's upstreams and of plain services; see UpstreamDialect."""

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return a request's headers, with the id of this attempt.

        Headers that the caller may not set were dropped on arrival; see OpenAiCallers.
        """
        return (
            ("Host", target.url.removeprefix("http://")),
            *head.headers,
            (REQUEST_ID_HEADER, head.request_id),
            (PRIORITY_HEADER, str(head.priority)),
        )

    def awaited(self, head: RequestHead) -> AwaitedRequest:
        """Return that engines echo the id of the try; plain services need not."""
        return AwaitedRequest(head.request_id, head.repeatable, must_be_named=bool(head.chat))

    def answered_id(self, value_by_name: Mapping[str, str]) -> str | None:
        """Return the id that an answer echoes, or None."""
        return value_by_name.get(REQUEST_ID_HEADER.lower()) or None

    def refusal(self, status: int, value_by_name: Mapping[str, str]) -> EngineRefusal | None:
        """Return why an upstream says it did not run a request, or None."""
        if NOT_RUN_HEADER not in value_by_name:
            return None
        notice = self.notice(status, value_by_name)
        return _refusal(status, value_by_name[NOT_RUN_HEADER], notice)

    def notice(self, status: int, value_by_name: Mapping[str, str]) -> Notice:
        """Return what an answer's head states about the upstream itself."""
        reason = value_by_name.get(NOT_RUN_HEADER, "").strip().lower()
        if status == WRONG_INSTANCE_STATUS or reason == "not-the-one":
            # An upstream other than the intended one may have answered.
            return NO_NOTICE
        is_leaving = LEAVING_HEADER in value_by_name or reason == "leaving"
        retry_after = value_by_name.get(RETRY_AFTER_HEADER)
        if retry_after is None or status not in OVERLOADED_STATUSES:
            return Notice(is_leaving)
        return Notice(is_leaving, seconds_to_wait(retry_after, time.time()))

    def answer_headers(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return the headers of an answer that an upstream may send to a caller."""
        return OWNERS.from_upstream(headers, note)

    def last_event(self, head: RequestHead) -> bytes | None:
        """Return the event that ends every streamed chat."""
        return LAST_EVENT if head.chat else None
