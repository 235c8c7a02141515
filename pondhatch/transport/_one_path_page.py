"""A page that is served at one path only."""

from __future__ import annotations

from abc import abstractmethod
from typing import Any

from twisted.web.resource import Resource

NOT_FOUND = 404


class OnePathPage(Resource):
    """Answers 404 for any path but its own."""

    isLeaf = True

    def __init__(self, path: str) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._path = path.encode()

    def render(self, request: Any) -> bytes:
        """Return the page, or 404 for any other path."""
        if request.path != self._path:
            request.setResponseCode(NOT_FOUND)
            return b""
        return self._page(request)

    @abstractmethod
    def _page(self, request: Any) -> bytes:
        """Return the page's body, after setting its status and headers."""
