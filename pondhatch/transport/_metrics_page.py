"""The page from which metrics are scraped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pondhatch.transport._one_path_page import OnePathPage

#: Prometheus' text format.
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class MetricsPage(OnePathPage):
    """Serves all metrics as text."""

    def __init__(self, path: str, text: Callable[[], bytes]) -> None:
        super().__init__(path)
        self._text = text

    def _page(self, request: Any) -> bytes:
        request.setHeader(b"Content-Type", CONTENT_TYPE)
        return self._text()
