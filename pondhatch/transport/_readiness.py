"""The readiness check of the load balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pondhatch.transport._one_path_page import OnePathPage

READY = 200
NOT_READY = 503


class Readiness(OnePathPage):
    """Answers 200 while the router is ready for requests, else 503."""

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        super().__init__(path)
        self._is_ready = is_ready

    def _page(self, request: Any) -> bytes:
        request.setResponseCode(READY if self._is_ready() else NOT_READY)
        return b""
