"""Writing answers and refusals to callers."""

from __future__ import annotations

from typing import Any, Protocol

from pondhatch.requests import Broken, Headers, KeptAnswer, Refusal, Unknown
from pondhatch.transport._headers import as_bytes

#: Marks an answer that is the kept one of an earlier request with the same key.
REPLAYED_HEADER = b"X-Pondhatch-Replayed"
#: Status where this router itself failed.
ROUTER_FAILED = 500


class Answers(Protocol):
    """Writes answers and refusals in the form that callers know."""

    def refuse(self, request: Any, refusal: Refusal) -> None:
        """Write a refusal: what happened, whether the request ran, when to come back."""

    def begin(self, request: Any, status: int, headers: Headers, request_id: str) -> None:
        """Write an answer's head."""

    def end_broken(self, request: Any, broken: Broken, stream: bool) -> None:
        """End a broken answer so that no caller takes it for a whole one."""


def write_head(request: Any, status: int, headers: Headers) -> None:
    """Write an answer's head; an upstream's header replaces ours of the same name."""
    request.setResponseCode(status)
    request.defaultContentType = None
    for name, _ in headers:
        request.responseHeaders.removeHeader(name)
    # As bytes: text would be encoded as UTF-8, which makes two bytes of each over 127.
    for raw_name, raw_value in as_bytes(headers):
        request.responseHeaders.addRawHeader(raw_name, raw_value)


def abort_connection(request: Any) -> None:
    """Cut a caller's connection, so that what it got does not look whole."""
    if request.channel is not None:
        request.channel.forceAbortClient()


def refuse_after_failure(request: Any, answers: Answers) -> None:
    """End a request that failed in this router: what it had done by then is not known."""
    if request.startedWriting:
        abort_connection(request)
        return
    reason = "the router failed while it served this request"
    answers.refuse(request, Unknown("router-failed", reason, ROUTER_FAILED))


def replay(request: Any, answers: Answers, answer: KeptAnswer, request_id: str) -> None:
    """Write the kept answer of an earlier request."""
    answers.begin(request, answer.status, answer.headers, request_id)
    request.setHeader(REPLAYED_HEADER, b"true")
    request.write(answer.body)
