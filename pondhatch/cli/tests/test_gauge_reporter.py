from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from pondhatch.cli import _gauge_reporter
from pondhatch.cli._gauge_reporter import configured_metrics
from pondhatch.cli._router_statistics import RouterStatistics
from pondhatch.observing import PrometheusMetrics
from pondhatch.router.tests.test_sync import router


class GaugesTest(unittest.TestCase):
    def test_slow_engines_are_counted_while_their_pace_holds(self) -> None:
        state = router("r0")
        for engine, pace, read_at in (("e0", 250, 0.0), ("e1", 90, 0.0), ("e2", 250, -5.0)):
            state.paces.record(engine, pace, read_at)
        component: Any = mock.MagicMock()
        gauges = RouterStatistics(state, *[component] * 8).gauges()
        self.assertEqual(gauges["engines.slow"], 1)


class RouterNameTest(unittest.TestCase):
    """A router's name may be any text, so it must be escaped in names and labels of metrics."""

    def test_a_name_is_one_part_of_a_metric_sent_to_statsd(self) -> None:
        for name, sent in (("edge.1:2|c", "edge_1_2_c"), ("Boa Viagem", "Boa_Viagem")):
            settings: Any = mock.Mock(metrics=None)
            settings.name, settings.statsd.prefix = name, "pondhatch"
            with (
                self.subTest(name=name),
                mock.patch.object(_gauge_reporter, "StatsdMetrics") as statsd_metrics,
            ):
                configured_metrics(settings, PrometheusMetrics(name))
                self.assertEqual(statsd_metrics.call_args.args[2], f"pondhatch.{sent}")

    def test_a_name_is_escaped_in_prometheus_metrics(self) -> None:
        metrics = PrometheusMetrics('a"b\\c\nd')
        metrics.gauge("level", 1.0)
        self.assertIn(b'router="a\\"b\\\\c\\nd"', metrics.text())
