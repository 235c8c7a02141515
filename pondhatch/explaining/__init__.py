"""Explaining: from a failed request's id to its cause, by the lines that routers wrote."""

from pondhatch.explaining._lines import Lines, LoggedLine, in_order, read_lines
from pondhatch.explaining._story import Story, Told, explain

__all__ = [
    "Lines",
    "LoggedLine",
    "Story",
    "Told",
    "explain",
    "in_order",
    "read_lines",
]
