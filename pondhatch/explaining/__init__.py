"""Timelines of requests and state changes, from the log lines of many routers."""

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
