"""What upstreams say of themselves in their answers, as one router hears it."""

from __future__ import annotations

from pondhatch.placement import Notice
from pondhatch.router._state import RouterState


class NoticeKeeping:
    """One router's part; see UpstreamView."""

    def __init__(self, state: RouterState) -> None:
        self._state = state

    def heard(self, upstream: str, notice: Notice) -> None:
        """Take in what an upstream said of itself in the head of an answer."""
        self._state.hear(upstream, notice)
