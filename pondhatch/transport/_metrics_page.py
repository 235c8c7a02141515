"""The page from which metrics are scraped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource

#: Prometheus' text format.
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
NOT_FOUND = 404


class MetricsPage(Resource):
    """Serves all metrics as text."""

    isLeaf = True

    def __init__(self, path: str, text: Callable[[], bytes]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._path = path.encode()
        self._text = text

    def render(self, request: Any) -> bytes:
        """Return the metrics as text, or 404 for any other path."""
        if request.path != self._path:
            request.setResponseCode(NOT_FOUND)
            return b""
        request.setHeader(b"Content-Type", CONTENT_TYPE)
        return self._text()
