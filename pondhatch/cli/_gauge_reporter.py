"""Where a router tells its metrics, and the levels that it tells there now and then."""

from __future__ import annotations

import asyncio
import re

import msgspec

from pondhatch.cli._router_statistics import RouterStatistics
from pondhatch.configuration import Settings
from pondhatch.observing import CombinedMetrics, Metrics, PrometheusMetrics, StatsdMetrics

#: Seconds between two tellings of levels.
REPORT_SECONDS = 5.0
#: What has a meaning of its own in statsd's packets, or makes one name of two.
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
    """Sets a router's levels in its metrics."""

    statistics: RouterStatistics
    metrics: Metrics
    prometheus_metrics: PrometheusMetrics

    async def run(self) -> None:
        """Tell levels now and then until cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            self._set_gauges()

    def text(self) -> bytes:
        """Return the served metrics as text, with the levels of this moment."""
        self._set_gauges()
        return self.prometheus_metrics.text()

    def _set_gauges(self) -> None:
        for name, value in self.statistics.gauges().items():
            self.metrics.gauge(name, value)
