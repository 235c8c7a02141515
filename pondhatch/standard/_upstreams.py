"""The dialect of upstreams that serve the OpenAI API and of plain services beside them."""

from __future__ import annotations

from collections.abc import Mapping

from pondhatch.requests import LAST_EVENT, EngineRefusal, Headers, Judged, RequestHead, Target
from pondhatch.standard._header_owners import OWNERS
from pondhatch.transport import NoteDropped

#: Header that binds an answer to its request.
REQUEST_ID_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
#: Header by which an upstream says that it did not run a request.
NOT_RUN_HEADER = "x-not-run"


#: What a refusal says of its reason in that header, and by its status where it says none.
REFUSAL_BY_WORD = {
    "full": EngineRefusal.FULL,
    "leaving": EngineRefusal.LEAVING,
    "not-the-one": EngineRefusal.NOT_THE_ONE,
    "bad-request": EngineRefusal.BAD_REQUEST,
}
REFUSAL_BY_STATUS = {
    400: EngineRefusal.BAD_REQUEST,
    421: EngineRefusal.NOT_THE_ONE,
    429: EngineRefusal.FULL,
    503: EngineRefusal.FULL,
}


def _refusal(status: int, word: str) -> EngineRefusal:
    """Return why an upstream did not run a request."""
    by_status = REFUSAL_BY_STATUS.get(status, EngineRefusal.UNKNOWN)
    return REFUSAL_BY_WORD.get(word.strip().lower(), by_status)


class OpenAiUpstreams:
    """See UpstreamDialect."""

    def request_headers(self, head: RequestHead, target: Target) -> Headers:
        """Return a request's headers, under the id of this try.

        What the caller may not say was dropped as it came; see OpenAiCallers.
        """
        return (
            ("Host", target.url.removeprefix("http://")),
            *head.headers,
            (REQUEST_ID_HEADER, head.request_id),
            (PRIORITY_HEADER, str(head.priority)),
        )

    def judge(
        self, head: RequestHead, status: int, value_by_name: Mapping[str, str]
    ) -> Judged | EngineRefusal:
        """Say what an answer's head means; plain services need not echo the id."""
        if NOT_RUN_HEADER in value_by_name:
            return _refusal(status, value_by_name[NOT_RUN_HEADER])
        answered = value_by_name.get(REQUEST_ID_HEADER.lower())
        if answered != head.request_id and (answered is not None or head.chat):
            return Judged.CROSSED
        return Judged.ANSWERED

    def answer_headers(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return the headers of an answer that an upstream may say to a caller."""
        return OWNERS.from_upstream(headers, note)

    def last_event(self, head: RequestHead) -> bytes | None:
        """Return the event that ends every streamed chat."""
        return LAST_EVENT if head.chat else None
