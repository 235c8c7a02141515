"""Observing: logs and metrics."""

from pondhatch.observing._lines import STANDARD_OUTPUT, LineWriter
from pondhatch.observing._log_throttle import LogThrottle
from pondhatch.observing._logs import log_for, setup_logs
from pondhatch.observing._metrics import AllMetrics, Metrics, NoMetrics, StatsdMetrics
from pondhatch.observing._once import Once
from pondhatch.observing._records import (
    Believed,
    LineRecords,
    LoggedRecords,
    NoRecords,
    Record,
    Records,
    RequestEnded,
)
from pondhatch.observing._served import ServedMetrics

__all__ = [
    "AllMetrics",
    "ServedMetrics",
    "Believed",
    "LineRecords",
    "LineWriter",
    "LoggedRecords",
    "NoRecords",
    "Once",
    "Record",
    "Records",
    "RequestEnded",
    "STANDARD_OUTPUT",
    "LogThrottle",
    "Metrics",
    "NoMetrics",
    "StatsdMetrics",
    "log_for",
    "setup_logs",
]
