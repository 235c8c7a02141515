"""Where a router tells its metrics, and the levels that it tells there now and then."""

from __future__ import annotations

import asyncio
import re

import msgspec

from pondhatch.cli._figures import Figures
from pondhatch.configuration import Settings
from pondhatch.observing import CombinedMetrics, Metrics, PrometheusMetrics, StatsdMetrics

#: Seconds between two tellings of levels.
LEVEL_SECONDS = 5.0
#: What has a meaning of its own in statsd's packets, or makes one name of two.
UNTOLD_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


def metrics_of(settings: Settings, served: PrometheusMetrics) -> Metrics:
    """Return the metrics that the settings ask for: sent to statsd, served as text, or both."""
    several: list[Metrics] = []
    statsd = settings.statsd
    if statsd is not None:
        prefix = f"{statsd.prefix}.{UNTOLD_CHARACTERS.sub('_', settings.name)}"
        several.append(StatsdMetrics(statsd.host, statsd.port, prefix))
    if settings.metrics is not None:
        several.append(served)
    return CombinedMetrics(*several)


class Levels(msgspec.Struct, frozen=True):
    """Sets a router's levels in its metrics."""

    figures: Figures
    metrics: Metrics
    served: PrometheusMetrics

    async def run(self) -> None:
        """Tell levels now and then until cancelled."""
        while True:
            await asyncio.sleep(LEVEL_SECONDS)
            self._tell()

    def text(self) -> bytes:
        """Return the served metrics as text, with the levels of this moment."""
        self._tell()
        return self.served.text()

    def _tell(self) -> None:
        for name, level in self.figures.levels().items():
            self.metrics.gauge(name, level)
