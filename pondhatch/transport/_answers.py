"""Writes answers and refusals to callers."""

from __future__ import annotations

from typing import Any, Protocol

from pondhatch.requests import Broken, Headers, KeptAnswer, Refusal, Unknown
from pondhatch.transport._headers import as_bytes

#: Marks a stored answer, replayed to a later request with the same idempotency key.
REPLAYED_HEADER = b"X-Pondhatch-Replayed"
#: Status of a failure of this router itself.
ROUTER_FAILED = 500


class Answers(Protocol):
    """Writes answers and refusals in the format of an interface."""

    def refuse(self, request: Any, refusal: Refusal) -> None:
        """Write a refusal: the reason, whether the request ran, and when to retry."""

    def begin(self, request: Any, status: int, headers: Headers, request_id: str) -> None:
        """Write an answer's head."""

    def end_broken(self, request: Any, broken: Broken, is_stream: bool) -> None:
        """End a broken answer so that it does not look complete to the caller.

        ``is_stream`` says whether the answer is an event stream.
        """


def write_head(request: Any, status: int, headers: Headers) -> None:
    """Write an answer's head; given headers replace the default ones of the same name."""
    request.setResponseCode(status)
    request.defaultContentType = None
    for name, _ in headers:
        request.responseHeaders.removeHeader(name)
    # As bytes: text would be encoded as UTF-8, with two bytes for each character above 127.
    for raw_name, raw_value in as_bytes(headers):
        request.responseHeaders.addRawHeader(raw_name, raw_value)


def abort_connection(request: Any) -> None:
    """Abort a caller's connection, so that a partial answer does not look complete."""
    if request.channel is not None:
        request.channel.forceAbortClient()


def refuse_after_failure(request: Any, answers: Answers) -> None:
    """End a request that failed in this router; whether it has run is unknown."""
    if request.startedWriting:
        abort_connection(request)
        return
    reason = "the router failed while it served this request"
    answers.refuse(request, Unknown("router-failed", reason, ROUTER_FAILED))


def replay(request: Any, answers: Answers, answer: KeptAnswer, request_id: str) -> None:
    """Write the stored answer of an earlier request."""
    answers.begin(request, answer.status, answer.headers, request_id)
    request.setHeader(REPLAYED_HEADER, b"true")
    request.write(answer.body)
