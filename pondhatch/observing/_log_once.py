"""Telling something once, however often it is come across."""

from __future__ import annotations

from collections.abc import Hashable

#: Things remembered as told. More wrong entries than a fleet of that size has in all, at a
#: hundred bytes each; beyond them the oldest is forgotten, and may be told again.
MAX_REMEMBERED = 4096


class LogOnce:
    """Remembers what was told, so that a log line does not come again with each reading."""

    def __init__(self) -> None:
        #: A dictionary and no set: it keeps the order in which things were told.
        self._logged: dict[Hashable, None] = {}

    def is_first(self, key: Hashable) -> bool:
        """Return whether this is to be told, and remember that it was."""
        if key in self._logged:
            return False
        self._logged[key] = None
        if len(self._logged) > MAX_REMEMBERED:
            del self._logged[next(iter(self._logged))]
        return True
