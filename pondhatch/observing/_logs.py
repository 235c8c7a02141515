"""Sets up the log: each message is a short sentence behind the name of the part that logs it."""

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
    """Set up the log in a form: "text", "lines" or "json".

    "text" writes sentences to standard error for people, "lines" writes one JSON object a line
    to standard output, and "json" writes loguru's complete records to standard error.
    ``process`` is the router's name.
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
    """Write a log message as a JSON line, among the lines of the records."""
    record = message.record
    line = {
        "at": round(record["time"].timestamp(), 3),
        "router": record["extra"]["process"],
        "event": "log",
        "level": record["level"].name,
        "part": record["extra"]["part"],
        # Includes the traceback of an error, where there is one.
        "text": str(message).rstrip(),
    }
    STANDARD_OUTPUT.add(msgspec.json.encode(line))


def log_for(part: str) -> Logger:
    """Return the logger of a part, which puts the part's name before each message."""
    return logger.bind(part=part)
