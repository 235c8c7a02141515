"""What connections to upstreams report about this router's paths to them."""

from __future__ import annotations

from typing import Protocol


class PathObserver(Protocol):
    """Learns which engines accept connections from this router."""

    def record_connection(self, engine: str) -> None:
        """Record that a connection to an engine opened."""

    def record_answer(self) -> None:
        """Record that some engine answered."""

    def record_failure(self, engine: str) -> None:
        """Record that no connection to an engine opened in time."""

    def connections_valid_since(self, engine: str) -> float:
        """Return from when on an idle connection must have received bytes to be used.

        In the event loop's seconds.
        """


class NoPathObserver:
    """Learns nothing; see PathObserver."""

    def record_connection(self, engine: str) -> None:
        """Do nothing."""

    def record_answer(self) -> None:
        """Do nothing."""

    def record_failure(self, engine: str) -> None:
        """Do nothing."""

    def connections_valid_since(self, engine: str) -> float:
        """Return that any connection may be used."""
        return float("-inf")
