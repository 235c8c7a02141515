"""Finds the cause of a failed request in the log lines of all routers."""

from pondhatch.explaining._log_reader import LoggedLine, ParsedLines, causal_order, read_lines
from pondhatch.explaining._timeline import Timeline, TimelineEvent, build_timeline

__all__ = [
    "ParsedLines",
    "LoggedLine",
    "Timeline",
    "TimelineEvent",
    "build_timeline",
    "causal_order",
    "read_lines",
]
