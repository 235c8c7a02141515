"""The state of data halls in a router's view: their regions, and which are evacuated."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.placement import ClosedReason, Intake, Regions
from pondhatch.store import Evacuations, EvacuationUpdate, Listed, WatchEvent

#: Seconds after the end of an evacuation in which the hall's upstreams count as cold. They may have
#: turned cold just before, and their own report of that arrives on another path.
JUST_REOPENED_SECONDS = 1.0


class HallStates(msgspec.Struct):
    """Regions and evacuations, by hall."""

    region_by_hall: Mapping[str, str] = msgspec.field(default_factory=dict)
    evacuations: Evacuations = msgspec.field(default_factory=Evacuations)
    #: When this router learned that a hall is no longer evacuated, in the clock's seconds.
    _reopened_at: dict[str, float] = msgspec.field(default_factory=dict)

    def region(self, hall: str) -> str:
        """Return a hall's region, or an empty string for an unknown one."""
        return self.region_by_hall.get(hall, "")

    def closed_reason(self, hall: str, regions: Regions) -> ClosedReason | None:
        """Return why a hall is closed to new requests bound to some regions, or None if open."""
        intake = Intake(is_evacuated=self.evacuations.is_evacuated(hall), region=self.region(hall))
        return intake.closed_reason(regions)

    def is_just_reopened(self, hall: str, now: float) -> bool:
        """Return whether an evacuation of the hall has just ended."""
        reopened_at = self._reopened_at.get(hall)
        return reopened_at is not None and now - reopened_at < JUST_REOPENED_SECONDS

    def apply_listing(self, listed: Listed, now: float) -> bool:
        """Apply the platform's list of evacuations; return whether anything changed."""
        before = self.evacuations.halls
        return self._note_reopened(before, self.evacuations.apply_listing(listed, now), now)

    def apply_event(self, event: WatchEvent, now: float) -> bool:
        """Apply one event of the watch on evacuations; return whether it changed anything."""
        before = self.evacuations.halls
        return self._note_reopened(before, self.evacuations.apply_event(event), now)

    def apply_update(self, update: EvacuationUpdate, now: float) -> bool:
        """Apply the evacuations that a peer knows; return whether anything changed."""
        before = self.evacuations.halls
        return self._note_reopened(before, self.evacuations.apply_update(update, now), now)

    def end_unconfirmed_evacuations(self, now: float) -> bool:
        """End evacuations that a settled era lacks; return whether any ended; see Evacuations."""
        before = self.evacuations.halls
        return self._note_reopened(before, self.evacuations.end_unconfirmed(now), now)

    def _note_reopened(self, before: frozenset[str], changed: bool, now: float) -> bool:
        """Record the halls whose evacuation has ended; return ``changed`` unaltered."""
        self._reopened_at |= dict.fromkeys(before - self.evacuations.halls, now)
        return changed
