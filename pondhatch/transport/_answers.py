"""Writing answers and refusals to callers."""

from __future__ import annotations

import math
from typing import Any, Protocol

import msgspec

from pondhatch.observing import Metrics
from pondhatch.requests import Broken, Headers, KeptAnswer, NotRun, Refusal, Unknown

#: Tells a caller whether its request ran: "not-run" or "unknown".
OUTCOME_HEADER = b"X-Pondhatch-Outcome"
#: Marks an answer that is the kept one of an earlier request with the same key.
REPLAYED_HEADER = b"X-Pondhatch-Replayed"
REQUEST_ID_HEADER = b"X-Request-Id"
#: Status where this router itself failed.
ROUTER_FAILED = 500
#: Statuses after which coming back later helps.
COME_BACK = (409, 429, 503)


class Answers(Protocol):
    """Writes answers and refusals in the form that callers know."""

    def refuse(self, request: Any, refusal: Refusal) -> None:
        """Write a refusal: what happened, whether the request ran, when to come back."""

    def begin(self, request: Any, status: int, headers: Headers, request_id: str) -> None:
        """Write an answer's head."""

    def end_broken(self, request: Any, broken: Broken, stream: bool) -> None:
        """End a broken answer so that no caller takes it for a whole one."""


class OpenAiAnswers:
    """The OpenAI-compatible API's form; see Answers."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def refuse(self, request: Any, refusal: Refusal) -> None:
        """Write a refusal as an error object."""
        self._metrics.count(f"refusals.{refusal.code}")
        outcome = "not-run" if isinstance(refusal, NotRun) else "unknown"
        request.setResponseCode(refusal.status)
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(OUTCOME_HEADER, outcome.encode())
        if isinstance(refusal, NotRun) and refusal.status in COME_BACK and refusal.retry_after > 0:
            seconds = max(1, math.ceil(refusal.retry_after))
            request.setHeader(b"Retry-After", str(seconds).encode())
        elif not isinstance(refusal, NotRun) or refusal.status not in COME_BACK:
            request.setHeader(b"X-Should-Retry", b"false")
        error = {"message": refusal.reason, "type": outcome, "code": refusal.code}
        request.write(msgspec.json.encode({"error": error}))

    def begin(self, request: Any, status: int, headers: Headers, request_id: str) -> None:
        """Write an answer's head under the request's id."""
        passed_on = tuple(pair for pair in headers if pair[0].lower() != "x-request-id")
        write_head(request, status, passed_on)
        request.setHeader(REQUEST_ID_HEADER, request_id.encode())

    def end_broken(self, request: Any, broken: Broken, stream: bool) -> None:
        """End a stream by an error event, anything else by a cut connection."""
        if stream:
            error = {"message": broken.reason, "type": "unknown", "code": broken.code}
            request.write(b"data: " + msgspec.json.encode({"error": error}) + b"\n\n")
            return
        cut(request)


def write_head(request: Any, status: int, headers: Headers) -> None:
    """Write an answer's head; an upstream's header replaces ours of the same name."""
    request.setResponseCode(status)
    request.defaultContentType = None
    for name, _ in headers:
        request.responseHeaders.removeHeader(name)
    for name, value in headers:
        request.responseHeaders.addRawHeader(name, value)


def cut(request: Any) -> None:
    """Cut a caller's connection, so that what it got does not look whole."""
    if request.channel is not None:
        request.channel.forceAbortClient()


def fail(request: Any, answers: Answers) -> None:
    """End a request that failed in this router: what it had done by then is not known."""
    if request.startedWriting:
        cut(request)
        return
    reason = "the router failed while it served this request"
    answers.refuse(request, Unknown("router-failed", reason, ROUTER_FAILED))


def replay(request: Any, answers: Answers, answer: KeptAnswer, request_id: str) -> None:
    """Write the kept answer of an earlier request."""
    answers.begin(request, answer.status, answer.headers, request_id)
    request.setHeader(REPLAYED_HEADER, b"true")
    request.write(answer.body)
