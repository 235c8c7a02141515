"""Metrics that are kept in memory and rendered in Prometheus' text format on request.

Names are derived from the internal ones: the counter ``requests.CODE`` is exposed as
``pondhatch_requests_total{outcome="CODE"}``, so that new codes do not create new names.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from itertools import accumulate
from typing import Any

import msgspec

#: Upper bounds of the histogram buckets, in seconds: they resolve the users' latency objectives of
#: 0.2 to 0.6 s and their deadlines of 1 to 10 s.
BUCKET_BOUNDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.5, 5.0, 10.0)
#: Prefix of every exposed name.
NAME_PREFIX = "pondhatch_"
#: Label whose value is the rest of a counter's name, by the name's first part.
LABEL_BY_FAMILY = {
    "requests": "outcome",
    "refusals": "code",
    "headers_dropped": "kind",
    "relayed": "outcome",
    "surplus_answers": "outcome",
    "streams_resumed": "outcome",
}


class Histogram(msgspec.Struct):
    """A histogram of durations."""

    #: Count by bucket; the additional last bucket takes durations above all bounds.
    counts: list[int] = msgspec.field(default_factory=lambda: [0] * (len(BUCKET_BOUNDS) + 1))
    #: Sum of all durations, in seconds.
    total: float = 0.0

    def add(self, seconds: float) -> None:
        """Add a duration."""
        self.counts[bisect_left(BUCKET_BOUNDS, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the bounds as text, each with the number of durations up to it."""
        bounds = [*(str(bound) for bound in BUCKET_BOUNDS), "+Inf"]
        sums = (float(count) for count in accumulate(self.counts))
        return list(zip(bounds, sums, strict=True))


class PrometheusMetrics(msgspec.Struct):
    """Keeps all measurements in memory and renders them as text; see Metrics."""

    router: str
    count_by_name: dict[str, int] = msgspec.field(default_factory=dict)
    histogram_by_name: dict[str, Histogram] = msgspec.field(default_factory=dict)
    gauge_by_name: dict[str, float] = msgspec.field(default_factory=dict)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.count_by_name[name] = self.count_by_name.get(name, 0) + by

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self.histogram_by_name.setdefault(name, Histogram()).add(seconds)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauge_by_name[name] = value

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        from prometheus_client import generate_latest  # Only loaded on the first request.

        registry: Any = self  # Only its collect() is called.
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families, like a registry of prometheus_client."""
        yield from self._counters()
        yield from self._histograms()
        yield from self._gauges()

    def _counters(self) -> Iterator[Any]:
        from prometheus_client.core import CounterMetricFamily

        families: dict[str, Any] = {}
        for name, count in sorted(self.count_by_name.items()):
            family, _, last = name.partition(".")
            label = LABEL_BY_FAMILY.get(family)
            exposed_name = _exposed_name(family if label else name)
            if exposed_name not in families:
                labels = ["router", label] if label else ["router"]
                families[exposed_name] = CounterMetricFamily(
                    exposed_name, _help_text(name), labels=labels
                )
            values = [self.router, last] if label else [self.router]
            families[exposed_name].add_metric(values, count)
        yield from families.values()

    def _histograms(self) -> Iterator[Any]:
        from prometheus_client.core import HistogramMetricFamily

        for name, histogram in sorted(self.histogram_by_name.items()):
            exposed_name = f"{_exposed_name(name)}_seconds"
            family = HistogramMetricFamily(exposed_name, _help_text(name), labels=["router"])
            family.add_metric([self.router], histogram.cumulative(), histogram.total)
            yield family

    def _gauges(self) -> Iterator[Any]:
        from prometheus_client.core import GaugeMetricFamily

        for name, value in sorted(self.gauge_by_name.items()):
            family = GaugeMetricFamily(_exposed_name(name), _help_text(name), labels=["router"])
            family.add_metric([self.router], value)
            yield family


def _exposed_name(name: str) -> str:
    """Return the name under which a metric is exposed."""
    return NAME_PREFIX + name.replace(".", "_").replace("-", "_")


def _help_text(name: str) -> str:
    return f"See docs/OPERATIONS.md, {name.partition('.')[0]}."
