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
NO_EVACUATIONS: Position = 1


class HallEvacuation(msgspec.Struct, frozen=True):
    """The newest word on one hall."""

    in_force: bool
    version: Position


class EvacuationUpdate(msgspec.Struct, frozen=True):
    """All that a router knows, for one that is behind; few halls, so always the whole."""

    word_by_hall: dict[str, HallEvacuation]


class Evacuations(msgspec.Struct):
    """The halls that are to be sent nothing more, as one router knows them."""

    #: Whether the platform or a peer that knew it has told of them.
    is_known: bool = False
    evacuation_by_hall: dict[str, HallEvacuation] = msgspec.field(default_factory=dict)
    #: Position of the newest listing that was read here.
    _listed_at: Position = 0
    #: When words of an older era that no listing shows are over, in the clock's seconds.
    _settles_at: float = float("inf")

    @property
    def version(self) -> Position:
        """Position of the newest word; 0 where nothing is known."""
        if not self.is_known:
            return 0
        return max(
            (evacuation.version for evacuation in self.evacuation_by_hall.values()),
            default=NO_EVACUATIONS,
        )

    @property
    def halls(self) -> frozenset[str]:
        """The halls that are evacuated."""
        return frozenset(
            hall for hall, evacuation in self.evacuation_by_hall.items() if evacuation.in_force
        )

    def is_evacuated(self, hall: str) -> bool:
        """Return whether a hall's upstreams are to be sent nothing."""
        evacuation = self.evacuation_by_hall.get(hall)
        return evacuation is not None and evacuation.in_force

    def apply_listing(self, listed: Listed, now: float) -> bool:
        """Take in what the platform lists; return whether any of it was news."""
        was_known, self.is_known = self.is_known, True
        self._listed_at = max(self._listed_at, listed.version)
        shown = {
            each.name: HallEvacuation(_is_in_force(each.value), each.version)
            for each in listed.objects
        }
        # Nobody can read what it says, so what it is there for holds.
        shown |= {hall: HallEvacuation(True, listed.version) for hall in listed.left_out}
        changes = [self._set(hall, evacuation) for hall, evacuation in shown.items()]
        if listed.is_whole:
            changes += self._end_unlisted(shown, listed.version, now)
        return any(changes) or not was_known

    def apply_event(self, event: WatchEvent) -> bool:
        """Take in one event of a watch; return whether it was news."""
        if event.type == "removed":
            return self._set(event.name, HallEvacuation(False, event.version))
        if event.type in ("set", "unreadable"):
            in_force = event.type == "unreadable" or _is_in_force(event.value)
            return self._set(event.name, HallEvacuation(in_force, event.version))
        return False

    def apply_update(self, update: EvacuationUpdate, now: float) -> bool:
        """Take in what a peer knows; return whether any of it was news."""
        was_known, self.is_known = self.is_known, True
        changes = [self._apply_from_peer(*each, now) for each in update.word_by_hall.items()]
        return any(changes) or not was_known

    def _apply_from_peer(self, hall: str, evacuation: HallEvacuation, now: float) -> bool:
        is_older = evacuation.version <= self._listed_at and hall not in self.evacuation_by_hall
        if is_older and era_of(evacuation.version) == era_of(self._listed_at):
            # The listing would have shown it: it was over by then.
            return self._set(hall, HallEvacuation(False, self._listed_at))
        if is_older:
            self._settles_at = min(self._settles_at, now + SETTLE_SECONDS)
        return self._set(hall, evacuation)

    def as_update(self) -> EvacuationUpdate | None:
        """Return what a peer is told; None where nothing is known here."""
        return EvacuationUpdate(dict(self.evacuation_by_hall)) if self.is_known else None

    def settle(self, now: float) -> bool:
        """End what an older era said and nobody has said again; return whether there was any."""
        if now < self._settles_at:
            return False
        self._settles_at = float("inf")
        era = era_of(self._listed_at)
        unconfirmed = [
            hall for hall in self.halls if era_of(self.evacuation_by_hall[hall].version) < era
        ]
        changes = [self._set(hall, HallEvacuation(False, self._listed_at)) for hall in unconfirmed]
        return any(changes)

    def _end_unlisted(
        self, shown: Mapping[str, HallEvacuation], listed_at: Position, now: float
    ) -> list[bool]:
        """End what a whole listing no longer shows, at once within an era."""
        ended = []
        for hall in self.halls - shown.keys():
            if era_of(self.evacuation_by_hall[hall].version) < era_of(listed_at):
                self._settles_at = min(self._settles_at, now + SETTLE_SECONDS)
            else:
                ended.append(self._set(hall, HallEvacuation(False, listed_at)))
        return ended

    def _set(self, hall: str, evacuation: HallEvacuation) -> bool:
        """Take in a word unless a newer one is known; return whether it changes what holds."""
        known = self.evacuation_by_hall.get(hall)
        if known is not None and known.version >= evacuation.version:
            return False
        self.evacuation_by_hall[hall] = evacuation
        return known is None or known.in_force != evacuation.in_force


def _is_in_force(value: Any) -> bool:
    """Return whether an object asks for an evacuation, as it does by being there."""
    return not (isinstance(value, Mapping) and value.get(IN_FORCE) is False)
