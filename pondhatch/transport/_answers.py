"""Writing answers and refusals to callers."""

from __future__ import annotations

import math
from typing import Any

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


def refuse(request: Any, metrics: Metrics, refusal: Refusal) -> None:
    """Write a refusal: what happened, whether the request ran, when to come back."""
    metrics.count(f"refusals.{refusal.code}")
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


def fail(request: Any, metrics: Metrics) -> None:
    """End a request that failed in this router: what it had done by then is not known."""
    if request.startedWriting:
        if request.channel is not None:
            request.channel.forceAbortClient()
        return
    reason = "the router failed while it served this request"
    refuse(request, metrics, Unknown("router-failed", reason, ROUTER_FAILED))


def begin_answer(request: Any, status: int, headers: Headers, request_id: str) -> None:
    """Write an answer's head; an upstream's header replaces ours of the same name."""
    request.setResponseCode(status)
    request.defaultContentType = None
    passed_on = [(name, value) for name, value in headers if name.lower() != "x-request-id"]
    for name, _ in passed_on:
        request.responseHeaders.removeHeader(name)
    for name, value in passed_on:
        request.responseHeaders.addRawHeader(name, value)
    request.setHeader(REQUEST_ID_HEADER, request_id.encode())


def replay(request: Any, answer: KeptAnswer, request_id: str) -> None:
    """Write the kept answer of an earlier request."""
    begin_answer(request, answer.status, answer.headers, request_id)
    request.setHeader(REPLAYED_HEADER, b"true")
    request.write(answer.body)


def end_broken(request: Any, broken: Broken, stream: bool) -> None:
    """End a broken answer so that no caller takes it for a whole one."""
    if stream:
        error = {"message": broken.reason, "type": "unknown", "code": broken.code}
        request.write(b"data: " + msgspec.json.encode({"error": error}) + b"\n\n")
        return
    if request.channel is not None:
        request.channel.forceAbortClient()
