"""Observing: logs, metrics and records of what a router decides."""

from pondhatch.observing._line_writer import STANDARD_OUTPUT, LineWriter
from pondhatch.observing._log_once import LogOnce
from pondhatch.observing._log_throttle import LogThrottle
from pondhatch.observing._logs import log_for, setup_logs
from pondhatch.observing._metrics import CombinedMetrics, Metrics, NoMetrics, StatsdMetrics
from pondhatch.observing._prometheus_metrics import PrometheusMetrics
from pondhatch.observing._records import (
    LineRecords,
    LoggedRecords,
    NoRecords,
    Record,
    Records,
    RequestEnded,
    RequestRelayed,
    StateChange,
    SurplusReceived,
)

__all__ = [
    "SurplusReceived",
    "CombinedMetrics",
    "PrometheusMetrics",
    "StateChange",
    "LineRecords",
    "LineWriter",
    "LoggedRecords",
    "NoRecords",
    "LogOnce",
    "Record",
    "Records",
    "RequestEnded",
    "RequestRelayed",
    "STANDARD_OUTPUT",
    "LogThrottle",
    "Metrics",
    "NoMetrics",
    "StatsdMetrics",
    "log_for",
    "setup_logs",
]
