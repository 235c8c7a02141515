"""Finds the cause of a failed request in the log lines of all routers."""

from pondhatch.explaining._log_reader import LoggedLine, ParsedLines, causal_order, read_lines
from pondhatch.explaining._story import Story, StoryLine, explain

__all__ = [
    "ParsedLines",
    "LoggedLine",
    "Story",
    "StoryLine",
    "explain",
    "causal_order",
    "read_lines",
]
