"""Telling something once, however often it is come across."""

from __future__ import annotations

from collections.abc import Hashable

#: Things remembered as told. More wrong entries than a fleet of that size has in all, at a
#: hundred bytes each; beyond them the oldest is forgotten, and may be told again.
REMEMBERED = 4096


class Once:
    """Remembers what was told, so that a log line does not come again with each reading."""

    def __init__(self) -> None:
        #: A dictionary and no set: it keeps the order in which things were told.
        self._told: dict[Hashable, None] = {}

    def is_first(self, thing: Hashable) -> bool:
        """Return whether this is to be told, and remember that it was."""
        if thing in self._told:
            return False
        self._told[thing] = None
        if len(self._told) > REMEMBERED:
            del self._told[next(iter(self._told))]
        return True
