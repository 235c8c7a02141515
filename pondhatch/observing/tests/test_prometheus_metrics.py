"""Metrics rendered in Prometheus' text format."""

from __future__ import annotations

import unittest

from prometheus_client.parser import text_string_to_metric_families

from pondhatch.observing import CombinedMetrics, PrometheusMetrics


class PrometheusMetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = PrometheusMetrics("r0")

    def value_by_sample(self) -> dict[tuple[str, str], float]:
        """Return the exposed values by sample name and by the label other than the router."""
        families = text_string_to_metric_families(self.metrics.text().decode())
        return {
            (sample.name, "".join(v for k, v in sample.labels.items() if k != "router")): value
            for family in families
            for sample in family.samples
            if (value := sample.value) is not None and sample.labels["router"] == "r0"
        }

    def test_counters_of_one_family_share_a_name(self) -> None:
        self.metrics.count("requests.whole", 3)
        self.metrics.count("requests.engines-full")
        self.metrics.count("callers.gone")
        values = self.value_by_sample()
        self.assertEqual(values["pondhatch_requests_total", "whole"], 3)
        self.assertEqual(values["pondhatch_requests_total", "engines-full"], 1)
        self.assertEqual(values["pondhatch_callers_gone_total", ""], 1)

    def test_durations_are_counted_by_bucket_and_summed_up(self) -> None:
        for seconds in (0.05, 0.3, 0.3, 99.0):
            self.metrics.timing("requests.placed", seconds)
        values = self.value_by_sample()
        name = "pondhatch_requests_placed_seconds"
        counts = [values[f"{name}_bucket", bound] for bound in ("0.025", "0.05", "0.4", "+Inf")]
        self.assertEqual(counts, [0, 1, 3, 4])
        self.assertEqual(values[f"{name}_count", ""], 4)
        self.assertAlmostEqual(values[f"{name}_sum", ""], 99.65)

    def test_gauges_keep_the_last_value(self) -> None:
        self.metrics.gauge("routers.known", 7)
        self.metrics.gauge("routers.known", 8)
        self.assertEqual(self.value_by_sample(), {("pondhatch_routers_known", ""): 8})

    def test_the_text_is_empty_before_the_first_measurement(self) -> None:
        self.assertEqual(self.metrics.text(), b"")

    def test_combined_metrics_pass_each_measurement_to_all_backends(self) -> None:
        other = PrometheusMetrics("r1")
        combined = CombinedMetrics(self.metrics, other)
        combined.count("callers.gone")
        combined.timing("requests.whole", 1.0)
        combined.gauge("routers.known", 2)
        for each in (self.metrics, other):
            found = (each.count_by_name, list(each.histogram_by_name), each.gauge_by_name)
            expected = ({"callers.gone": 1}, ["requests.whole"], {"routers.known": 2})
            self.assertEqual(found, expected)
