"""Which data halls are evacuated, as read from the platform and relayed between routers.

Each hall's state carries the platform's position of its last change. A router keeps the state
with the highest position, so states may arrive in any order, repeatedly, or from peers that were
partitioned.

An evacuation that is missing from a listing has ended as of that listing, even if a peer reports
it later. But a platform that was just restored from an older copy may not list it yet, until its
writer writes it again. So after a restore a missing evacuation ends only once the era has settled;
until then the hall gets no work.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from pondhatch.store._objects import Listed, WatchEvent
from pondhatch.store._position import SETTLE_SECONDS, Position, era_of

#: Field of the platform's object that ends an evacuation while the object stays.
IN_FORCE = "in_force"
#: Version of a router that knows that no hall was ever evacuated; 0 means that nothing is known.
NO_EVACUATIONS: Position = 1


class HallEvacuation(msgspec.Struct, frozen=True):
    """The newest known state of one hall's evacuation."""

    in_force: bool
    version: Position


class EvacuationUpdate(msgspec.Struct, frozen=True):
    """All evacuations that a router knows, for a peer that is behind.

    Always complete, since there are few halls.
    """

    #: The newest known state of each hall's evacuation, by hall.
    word_by_hall: dict[str, HallEvacuation]


class Evacuations(msgspec.Struct):
    """The evacuated halls, which get no work, as one router knows them."""

    #: Whether the platform, or a peer that knew them, has reported them.
    is_known: bool = False
    evacuation_by_hall: dict[str, HallEvacuation] = msgspec.field(default_factory=dict)
    #: Position of the newest listing that this router read.
    _listed_at: Position = 0
    #: When unlisted evacuations of an older era end, in the clock's seconds.
    _settles_at: float = float("inf")

    @property
    def version(self) -> Position:
        """Position of the newest change; 0 if nothing is known."""
        if not self.is_known:
            return 0
        return max(
            (evacuation.version for evacuation in self.evacuation_by_hall.values()),
            default=NO_EVACUATIONS,
        )

    @property
    def halls(self) -> frozenset[str]:
        """The evacuated halls."""
        return frozenset(
            hall for hall, evacuation in self.evacuation_by_hall.items() if evacuation.in_force
        )

    def is_evacuated(self, hall: str) -> bool:
        """Return whether a hall is evacuated, so that its upstreams get no new requests."""
        evacuation = self.evacuation_by_hall.get(hall)
        return evacuation is not None and evacuation.in_force

    def apply_listing(self, listed: Listed, now: float) -> bool:
        """Apply a listing of the platform; return whether it changed anything."""
        was_known, self.is_known = self.is_known, True
        self._listed_at = max(self._listed_at, listed.version)
        listed_by_hall = {
            each.name: HallEvacuation(_is_in_force(each.value), each.version)
            for each in listed.objects
        }
        # An unreadable object counts as an evacuation in force, which its existence means.
        listed_by_hall |= {hall: HallEvacuation(True, listed.version) for hall in listed.left_out}
        changes = [self._set(hall, evacuation) for hall, evacuation in listed_by_hall.items()]
        if listed.is_whole:
            changes += self._end_unlisted(listed_by_hall, listed.version, now)
        return any(changes) or not was_known

    def apply_event(self, event: WatchEvent) -> bool:
        """Apply one event of a watch; return whether it changed anything."""
        if event.type == "removed":
            return self._set(event.name, HallEvacuation(False, event.version))
        if event.type in ("set", "unreadable"):
            in_force = event.type == "unreadable" or _is_in_force(event.value)
            return self._set(event.name, HallEvacuation(in_force, event.version))
        return False

    def apply_update(self, update: EvacuationUpdate, now: float) -> bool:
        """Apply a peer's update; return whether it changed anything."""
        was_known, self.is_known = self.is_known, True
        changes = [self._apply_from_peer(*each, now) for each in update.word_by_hall.items()]
        return any(changes) or not was_known

    def _apply_from_peer(self, hall: str, evacuation: HallEvacuation, now: float) -> bool:
        is_older = evacuation.version <= self._listed_at and hall not in self.evacuation_by_hall
        if is_older and era_of(evacuation.version) == era_of(self._listed_at):
            # The listing would have shown it, so it had ended by then.
            return self._set(hall, HallEvacuation(False, self._listed_at))
        if is_older:
            self._settles_at = min(self._settles_at, now + SETTLE_SECONDS)
        return self._set(hall, evacuation)

    def as_update(self) -> EvacuationUpdate | None:
        """Return all evacuations as an update for a peer; None if nothing is known here."""
        return EvacuationUpdate(dict(self.evacuation_by_hall)) if self.is_known else None

    def end_unconfirmed(self, now: float) -> bool:
        """End evacuations of an older era that were not written again since.

        Does nothing before the era has settled. Returns whether any ended.
        """
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
        self, listed_by_hall: Mapping[str, HallEvacuation], listed_at: Position, now: float
    ) -> list[bool]:
        """End evacuations missing from a complete listing: at once within an era, else later."""
        ended = []
        for hall in self.halls - listed_by_hall.keys():
            if era_of(self.evacuation_by_hall[hall].version) < era_of(listed_at):
                self._settles_at = min(self._settles_at, now + SETTLE_SECONDS)
            else:
                ended.append(self._set(hall, HallEvacuation(False, listed_at)))
        return ended

    def _set(self, hall: str, evacuation: HallEvacuation) -> bool:
        """Store a hall's state unless a newer one is known; return whether in_force changed."""
        known = self.evacuation_by_hall.get(hall)
        if known is not None and known.version >= evacuation.version:
            return False
        self.evacuation_by_hall[hall] = evacuation
        return known is None or known.in_force != evacuation.in_force


def _is_in_force(value: Any) -> bool:
    """Return whether an object's evacuation is in force: it is, unless IN_FORCE is False."""
    return not (isinstance(value, Mapping) and value.get(IN_FORCE) is False)
