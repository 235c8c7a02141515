"""Observing: logs and metrics."""

from pondhatch.observing._logs import log_for, setup_logs
from pondhatch.observing._metrics import Metrics, NoMetrics, StatsdMetrics

__all__ = ["Metrics", "NoMetrics", "StatsdMetrics", "log_for", "setup_logs"]
