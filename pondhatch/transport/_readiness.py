"""The readiness check of the load balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource

READY = 200
NOT_READY = 503
NOT_FOUND = 404


class Readiness(Resource):
    """Answers 200 while the router is ready for requests, else 503."""

    isLeaf = True

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._path = path.encode()
        self._is_ready = is_ready

    def render(self, request: Any) -> bytes:
        """Answer with the router's readiness as status, or 404 for any other path."""
        if request.path != self._path:
            request.setResponseCode(NOT_FOUND)
            return b""
        request.setResponseCode(READY if self._is_ready() else NOT_READY)
        return b""
