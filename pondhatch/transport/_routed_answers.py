"""Answers to callers of routes: upstreams' answers unchanged, refusals without a body."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pondhatch.observing import Metrics
from pondhatch.requests import Broken, Headers, Refusal
from pondhatch.transport._answers import abort_connection, write_head
from pondhatch.transport._caller_dialect import CallerDialect


class RoutedAnswers:
    """Writes answers unchanged and refusals without a body; see Answers."""

    def __init__(
        self, dialect: CallerDialect, metrics: Metrics, is_stopping: Callable[[], bool]
    ) -> None:
        self._dialect = dialect
        self._metrics = metrics
        #: Returns whether this router is stopping, so that connections close after their answer.
        self._is_stopping = is_stopping

    def refuse(self, request: Any, refusal: Refusal) -> None:
        """Write a refusal."""
        self._metrics.count(f"refusals.{refusal.code}")
        write_head(request, refusal.status, self._dialect.refusal_headers(refusal))
        self._close_if_stopping(request)
        # The head is written when the request is finished: whether its body was read by then
        # decides if the connection can be reused, which the head must state.
        request.setHeader(b"Content-Length", b"0")

    def begin(self, request: Any, status: int, headers: Headers, request_id: str) -> None:
        """Write the head of an upstream's answer."""
        write_head(request, status, headers)
        self._close_if_stopping(request)

    def end_broken(self, request: Any, broken: Broken, is_stream: bool) -> None:
        """Abort the connection: nothing else shows that an answer is incomplete."""
        abort_connection(request)

    def _close_if_stopping(self, request: Any) -> None:
        if self._is_stopping():
            request.setHeader(b"Connection", b"close")
            request.channel.persistent = False
