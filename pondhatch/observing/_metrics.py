"""The interface of metrics, and its statsd backend. docs/OPERATIONS.md lists every name."""

from __future__ import annotations

from typing import Protocol


class Metrics(Protocol):
    """Counters, timings and gauges."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Discards every measurement."""

    def count(self, name: str, by: int = 1) -> None:
        """Do nothing."""

    def timing(self, name: str, seconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


class CombinedMetrics:
    """Passes each measurement to several backends."""

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
        """Set a gauge."""
        for backend in self._backends:
            backend.gauge(name, value)


class StatsdMetrics:
    """Sends each measurement to statsd as one UDP datagram, without retries."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        from statsd import StatsClient  # Only loaded where statsd is used.

        self._client = StatsClient(host=host, port=port, prefix=prefix)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration, which statsd expects in milliseconds."""
        self._client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)
