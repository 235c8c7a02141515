"""Metrics, and those that are sent to statsd over UDP. docs/OPERATIONS.md lists every name."""

from __future__ import annotations

from typing import Protocol


class Metrics(Protocol):
    """Counters, timings and gauges."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a level."""


class NoMetrics:
    """Used where no statsd is set."""

    def count(self, name: str, by: int = 1) -> None:
        """Do nothing."""

    def timing(self, name: str, seconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


class CombinedMetrics:
    """Hands each measure to several."""

    def __init__(self, *backends: Metrics) -> None:
        self._backends = backends

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        for backend in self._backends:
            backend.count(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        for backend in self._backends:
            backend.timing(name, seconds)

    def gauge(self, name: str, value: float) -> None:
        """Set a level."""
        for backend in self._backends:
            backend.gauge(name, value)


class StatsdMetrics:
    """Sends each measure as one datagram; a lost one is lost."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        from statsd import StatsClient  # Needed by those alone who have a statsd.

        self._client = StatsClient(host=host, port=port, prefix=prefix)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration; statsd counts in milliseconds."""
        self._client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set a level."""
        self._client.gauge(name, value)
