"""Explaining: from a failed request's id to its cause, by the lines that routers wrote."""

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
