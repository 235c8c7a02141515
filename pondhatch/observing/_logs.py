"""Logs: short sentences behind the fixed prefix of each part."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {extra[part]}: {message}"


def setup_logs(form: str, level: str, process: str) -> None:
    """Log to standard error: "text" for people, "json" for machines."""
    logger.remove()
    logger.configure(extra={"part": "process", "process": process})
    if form == "json":
        logger.add(sys.stderr, level=level, serialize=True, backtrace=False, diagnose=False)
        return
    logger.add(sys.stderr, level=level, format=TEXT_FORMAT, backtrace=False, diagnose=False)


def log_for(part: str) -> Logger:
    """Return the logger of a part; the part's name stands before each sentence."""
    return logger.bind(part=part)
