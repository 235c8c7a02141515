"""Logs: short sentences behind the fixed prefix of each part."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from pondhatch.observing._line_writer import STANDARD_OUTPUT

if TYPE_CHECKING:
    from loguru import Logger, Message

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {extra[part]}: {message}"


def setup_logs(form: str, level: str, process: str) -> None:
    """Log: "text" to standard error for people, "lines" of JSON to standard output.

    "json" writes loguru's own records, each with all that it knows, to standard error.
    """
    logger.remove()
    logger.configure(extra={"part": "process", "process": process})
    if form == "lines":
        logger.add(_add_line, level=level, format="{message}", backtrace=False, diagnose=False)
        return
    if form == "json":
        logger.add(sys.stderr, level=level, serialize=True, backtrace=False, diagnose=False)
        return
    logger.add(sys.stderr, level=level, format=TEXT_FORMAT, backtrace=False, diagnose=False)


def _add_line(message: Message) -> None:
    """Write a sentence of a part as a line among the decisions."""
    record = message.record
    line = {
        "at": round(record["time"].timestamp(), 3),
        "router": record["extra"]["process"],
        "event": "log",
        "level": record["level"].name,
        "part": record["extra"]["part"],
        # With the traceback of an error, where there is one.
        "text": str(message).rstrip(),
    }
    STANDARD_OUTPUT.add(msgspec.json.encode(line))


def log_for(part: str) -> Logger:
    """Return the logger of a part; the part's name stands before each sentence."""
    return logger.bind(part=part)
