from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from pondhatch.cli import _levels
from pondhatch.cli._figures import Figures
from pondhatch.cli._levels import metrics_of
from pondhatch.observing import PrometheusMetrics
from pondhatch.router.tests.test_sync import router


class LevelsTest(unittest.TestCase):
    def test_slow_engines_are_counted_while_their_pace_holds(self) -> None:
        state = router("r0")
        for engine, pace, read_at in (("e0", 250, 0.0), ("e1", 90, 0.0), ("e2", 250, -5.0)):
            state.paces.record(engine, pace, read_at)
        part: Any = mock.Mock()
        levels = Figures(state, part, part, part, part).levels()
        self.assertEqual(levels["engines.slow"], 1)


class RouterNameTest(unittest.TestCase):
    """A router's name may be any text; metrics have a grammar of their own."""

    def test_a_name_is_one_part_of_a_metric_sent_to_statsd(self) -> None:
        for name, told in (("edge.1:2|c", "edge_1_2_c"), ("Boa Viagem", "Boa_Viagem")):
            settings: Any = mock.Mock(metrics=None)
            settings.name, settings.statsd.prefix = name, "pondhatch"
            with self.subTest(name=name), mock.patch.object(_levels, "StatsdMetrics") as made:
                metrics_of(settings, PrometheusMetrics(name))
                self.assertEqual(made.call_args.args[2], f"pondhatch.{told}")

    def test_a_name_is_escaped_in_metrics_that_are_served(self) -> None:
        served = PrometheusMetrics('a"b\\c\nd')
        served.gauge("level", 1.0)
        self.assertIn(b'router="a\\"b\\\\c\\nd"', served.text())
