"""Answers and refusals in the format of the OpenAI-compatible API."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from pondhatch.observing import Metrics
from pondhatch.requests import Broken, Headers, NotRun, Refusal
from pondhatch.transport import abort_connection, write_head

#: Tells a caller whether its request ran: "not-run" or "unknown".
OUTCOME_HEADER = b"X-Pondhatch-Outcome"
REQUEST_ID_HEADER = b"X-Request-Id"
#: Statuses after which a later retry may succeed.
RETRYABLE_STATUSES = (409, 429, 503)


class OpenAiAnswers:
    """Writes refusals as the OpenAI-compatible API's error objects; see Answers."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def refuse(self, request: Any, refusal: Refusal) -> None:
        """Write a refusal as an error object."""
        self._metrics.count(f"refusals.{refusal.code}")
        outcome = "not-run" if isinstance(refusal, NotRun) else "unknown"
        request.setResponseCode(refusal.status)
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(OUTCOME_HEADER, outcome.encode())
        if (
            isinstance(refusal, NotRun)
            and refusal.status in RETRYABLE_STATUSES
            and refusal.retry_after > 0
        ):
            seconds = max(1, math.ceil(refusal.retry_after))
            request.setHeader(b"Retry-After", str(seconds).encode())
        elif not isinstance(refusal, NotRun) or refusal.status not in RETRYABLE_STATUSES:
            request.setHeader(b"X-Should-Retry", b"false")
        error = {"message": refusal.reason, "type": outcome, "code": refusal.code}
        request.write(msgspec.json.encode({"error": error}))

    def begin(self, request: Any, status: int, headers: Headers, request_id: str) -> None:
        """Write an answer's head with the router's request id."""
        forwarded = tuple(pair for pair in headers if pair[0].lower() != "x-request-id")
        write_head(request, status, forwarded)
        request.setHeader(REQUEST_ID_HEADER, request_id.encode())

    def end_broken(self, request: Any, broken: Broken, is_stream: bool) -> None:
        """End a stream with an error event, any other answer by aborting the connection."""
        if is_stream:
            error = {"message": broken.reason, "type": "unknown", "code": broken.code}
            request.write(b"data: " + msgspec.json.encode({"error": error}) + b"\n\n")
            return
        abort_connection(request)
