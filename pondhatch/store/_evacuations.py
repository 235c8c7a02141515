"""Which data halls are evacuated: as the platform says, relayed between routers.

Each hall's newest word bears the platform's position. Whoever takes words in keeps the newest of
each hall, so they may come in any order, twice, or by way of peers that were cut off.

What a listing does not show is over as of that listing, also where a peer tells of it later. But
a platform that has just come back from an older copy may not show it yet: its writer writes it
again. So what only does not stand there is over once the era has settled, and until then the
hall gets nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from pondhatch.store._objects import Listed, WatchEvent
from pondhatch.store._position import SETTLE_SECONDS, Position, era_of

#: Field of the platform's object that ends an evacuation while the object stays.
IN_FORCE = "in_force"
#: What is told of routers that know that no hall ever was evacuated.
NONE_EVER: Position = 1


class HallWord(msgspec.Struct, frozen=True):
    """The newest word on one hall."""

    in_force: bool
    version: Position


class EvacuationUpdate(msgspec.Struct, frozen=True):
    """All that a router knows, for one that is behind; few halls, so always the whole."""

    word_by_hall: dict[str, HallWord]


class Evacuations(msgspec.Struct):
    """The halls that are to be sent nothing more, as one router knows them."""

    #: Whether the platform or a peer that knew it has told of them.
    is_known: bool = False
    word_by_hall: dict[str, HallWord] = msgspec.field(default_factory=dict)
    #: Position of the newest listing that was read here.
    _listed_at: Position = 0
    #: When words of an older era that no listing shows are over, in the clock's seconds.
    _settles_at: float = float("inf")

    @property
    def version(self) -> Position:
        """Position of the newest word; 0 where nothing is known."""
        if not self.is_known:
            return 0
        return max((word.version for word in self.word_by_hall.values()), default=NONE_EVER)

    @property
    def halls(self) -> frozenset[str]:
        """The halls that are evacuated."""
        return frozenset(hall for hall, word in self.word_by_hall.items() if word.in_force)

    def is_evacuated(self, hall: str) -> bool:
        """Return whether a hall's upstreams are to be sent nothing."""
        word = self.word_by_hall.get(hall)
        return word is not None and word.in_force

    def take_listing(self, listed: Listed, now: float) -> bool:
        """Take in what the platform lists; return whether any of it was news."""
        was_known, self.is_known = self.is_known, True
        self._listed_at = max(self._listed_at, listed.version)
        shown = {
            each.name: HallWord(_says_in_force(each.value), each.version) for each in listed.objects
        }
        # Nobody can read what it says, so what it is there for holds.
        shown |= {hall: HallWord(True, listed.version) for hall in listed.left_out}
        news = [self._set(hall, word) for hall, word in shown.items()]
        if listed.is_whole:
            news += self._end_unlisted(shown, listed.version, now)
        return any(news) or not was_known

    def take_event(self, event: WatchEvent) -> bool:
        """Take in one event of a watch; return whether it was news."""
        if event.type == "removed":
            return self._set(event.name, HallWord(False, event.version))
        if event.type in ("set", "unreadable"):
            in_force = event.type == "unreadable" or _says_in_force(event.value)
            return self._set(event.name, HallWord(in_force, event.version))
        return False

    def take(self, update: EvacuationUpdate, now: float) -> bool:
        """Take in what a peer knows; return whether any of it was news."""
        was_known, self.is_known = self.is_known, True
        news = [self._take_word(*each, now) for each in update.word_by_hall.items()]
        return any(news) or not was_known

    def _take_word(self, hall: str, word: HallWord, now: float) -> bool:
        is_older = word.version <= self._listed_at and hall not in self.word_by_hall
        if is_older and era_of(word.version) == era_of(self._listed_at):
            # The listing would have shown it: it was over by then.
            return self._set(hall, HallWord(False, self._listed_at))
        if is_older:
            self._settles_at = min(self._settles_at, now + SETTLE_SECONDS)
        return self._set(hall, word)

    def told(self) -> EvacuationUpdate | None:
        """Return what a peer is told; None where nothing is known here."""
        return EvacuationUpdate(dict(self.word_by_hall)) if self.is_known else None

    def settle(self, now: float) -> bool:
        """End what an older era said and nobody has said again; return whether there was any."""
        if now < self._settles_at:
            return False
        self._settles_at = float("inf")
        era = era_of(self._listed_at)
        left = [hall for hall in self.halls if era_of(self.word_by_hall[hall].version) < era]
        changes = [self._set(hall, HallWord(False, self._listed_at)) for hall in left]
        return any(changes)

    def _end_unlisted(
        self, shown: Mapping[str, HallWord], listed_at: Position, now: float
    ) -> list[bool]:
        """End what a whole listing no longer shows, at once within an era."""
        ended = []
        for hall in self.halls - shown.keys():
            if era_of(self.word_by_hall[hall].version) < era_of(listed_at):
                self._settles_at = min(self._settles_at, now + SETTLE_SECONDS)
            else:
                ended.append(self._set(hall, HallWord(False, listed_at)))
        return ended

    def _set(self, hall: str, word: HallWord) -> bool:
        """Take in a word unless a newer one is known; return whether it changes what holds."""
        known = self.word_by_hall.get(hall)
        if known is not None and known.version >= word.version:
            return False
        self.word_by_hall[hall] = word
        return known is None or known.in_force != word.in_force


def _says_in_force(value: Any) -> bool:
    """Return whether an object asks for an evacuation, as it does by being there."""
    return not (isinstance(value, Mapping) and value.get(IN_FORCE) is False)
