"""Parses the Retry-After header (RFC 9110, 10.2.3)."""

from __future__ import annotations

import math
from datetime import UTC
from email.utils import parsedate_to_datetime


def seconds_to_wait(value: str, now: float) -> float:
    """Return the seconds from now after which a server asks for a retry; 0 if none are stated.

    ``value`` holds seconds, fractions included, or a date; ``now`` is in seconds since 1970.
    """
    try:
        seconds = float(value)
    except ValueError:
        seconds = _seconds_until(value, now)
    return seconds if math.isfinite(seconds) and seconds > 0 else 0.0


def _seconds_until(date: str, now: float) -> float:
    try:
        moment = parsedate_to_datetime(date)
    except (ValueError, TypeError, OverflowError):
        return 0.0
    if moment.tzinfo is None:
        # All HTTP dates are in UTC, whatever zone they name.
        moment = moment.replace(tzinfo=UTC)
    try:
        return moment.timestamp() - now
    except (ValueError, OverflowError):
        return 0.0
