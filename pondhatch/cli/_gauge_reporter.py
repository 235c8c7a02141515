"""Chooses the metrics backends of a router, and periodically sets its gauges there."""

from __future__ import annotations

import asyncio
import re

import msgspec

from pondhatch.cli._router_statistics import RouterStatistics
from pondhatch.configuration import Settings
from pondhatch.observing import CombinedMetrics, Metrics, PrometheusMetrics, StatsdMetrics

#: Seconds between two reports of the gauges.
REPORT_SECONDS = 5.0
#: Characters that are syntax in statsd packets, or split a metric name into two parts.
INVALID_NAME_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


def configured_metrics(settings: Settings, prometheus_metrics: PrometheusMetrics) -> Metrics:
    """Return the metrics that the settings ask for: sent to statsd, served as text, or both."""
    backends: list[Metrics] = []
    statsd = settings.statsd
    if statsd is not None:
        prefix = f"{statsd.prefix}.{INVALID_NAME_CHARACTERS.sub('_', settings.name)}"
        backends.append(StatsdMetrics(statsd.host, statsd.port, prefix))
    if settings.metrics is not None:
        backends.append(prometheus_metrics)
    return CombinedMetrics(*backends)


class GaugeReporter(msgspec.Struct, frozen=True):
    """Sets the gauges of a router in its metrics."""

    statistics: RouterStatistics
    metrics: Metrics
    prometheus_metrics: PrometheusMetrics

    async def run(self) -> None:
        """Set the gauges periodically until cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            self._set_gauges()

    def text(self) -> bytes:
        """Return the metrics in Prometheus' text format, with the current gauges."""
        self._set_gauges()
        return self.prometheus_metrics.text()

    def _set_gauges(self) -> None:
        for name, value in self.statistics.gauges().items():
            self.metrics.gauge(name, value)
