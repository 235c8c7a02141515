"""Answers to callers of routes: an upstream's as it is, refusals by status alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pondhatch.observing import Metrics
from pondhatch.requests import Broken, Headers, Refusal
from pondhatch.transport._answers import abort_connection, write_head
from pondhatch.transport._caller_dialect import CallerDialect


class RoutedAnswers:
    """Answers passed on unchanged, refusals by status alone; see Answers."""

    def __init__(
        self, dialect: CallerDialect, metrics: Metrics, is_stopping: Callable[[], bool]
    ) -> None:
        self._dialect = dialect
        self._metrics = metrics
        #: Whether this router is stopping, so that connections end with their answer.
        self._is_stopping = is_stopping

    def refuse(self, request: Any, refusal: Refusal) -> None:
        """Write a refusal."""
        self._metrics.count(f"refusals.{refusal.code}")
        write_head(request, refusal.status, self._dialect.refusal_headers(refusal))
        self._close_if_stopping(request)
        # Written when the request is finished: what is unread of its body decides then
        # whether the connection can be used again, and the head must say so.
        request.setHeader(b"Content-Length", b"0")

    def begin(self, request: Any, status: int, headers: Headers, request_id: str) -> None:
        """Write the head of an upstream's answer."""
        write_head(request, status, headers)
        self._close_if_stopping(request)

    def end_broken(self, request: Any, broken: Broken, stream: bool) -> None:
        """Cut the connection: nothing else tells that an answer is not whole."""
        abort_connection(request)

    def _close_if_stopping(self, request: Any) -> None:
        if self._is_stopping():
            request.setHeader(b"Connection", b"close")
            request.channel.persistent = False
