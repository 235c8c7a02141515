"""Logs a condition once, however often it is found."""

from __future__ import annotations

from collections.abc import Hashable

#: Maximum number of remembered keys, more than a fleet has invalid entries. Each takes about a
#: hundred bytes. Beyond the maximum the oldest key is forgotten, so that it may be logged again.
MAX_REMEMBERED = 4096


class LogOnce:
    """Remembers what was logged, so that repeated reads of an entry do not log it again."""

    def __init__(self) -> None:
        #: A dictionary used as a set that keeps the order of insertion.
        self._logged: dict[Hashable, None] = {}

    def is_first(self, key: Hashable) -> bool:
        """Return whether this key is to be logged, and remember it as logged."""
        if key in self._logged:
            return False
        self._logged[key] = None
        if len(self._logged) > MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        return True
