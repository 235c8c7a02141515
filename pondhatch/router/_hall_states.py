"""What a router knows of data halls: their regions, and which of them are evacuated."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.placement import Closed, Intake, Regions
from pondhatch.store import Evacuations, EvacuationUpdate, Listed, WatchEvent

#: Seconds after an evacuation in which the hall's upstreams count as cold. They may have turned
#: cold just before its end, and their own word on that comes another way.
JUST_OPENED_SECONDS = 1.0


class HallStates(msgspec.Struct):
    """Regions and evacuations, by hall."""

    region_by_hall: Mapping[str, str] = msgspec.field(default_factory=dict)
    evacuations: Evacuations = msgspec.field(default_factory=Evacuations)
    #: When this router learned that a hall is no longer evacuated, in the clock's seconds.
    _opened_at: dict[str, float] = msgspec.field(default_factory=dict)

    def region(self, hall: str) -> str:
        """Return a hall's region, empty where nobody says."""
        return self.region_by_hall.get(hall, "")

    def closed(self, hall: str, regions: Regions) -> Closed | None:
        """Return why a hall's upstreams may not get new requests bound to some regions."""
        intake = Intake(is_evacuated=self.evacuations.is_evacuated(hall), region=self.region(hall))
        return intake.closed_to(regions)

    def just_opened(self, hall: str, now: float) -> bool:
        """Return whether a hall was evacuated until a moment ago."""
        opened_at = self._opened_at.get(hall)
        return opened_at is not None and now - opened_at < JUST_OPENED_SECONDS

    def take_listing(self, listed: Listed, now: float) -> bool:
        """Take in the evacuations that the platform lists; return whether any was news."""
        before = self.evacuations.halls
        return self._opened(before, self.evacuations.apply_listing(listed, now), now)

    def take_event(self, event: WatchEvent, now: float) -> bool:
        """Take in one event of a watch on evacuations; return whether it was news."""
        before = self.evacuations.halls
        return self._opened(before, self.evacuations.apply_event(event), now)

    def take(self, update: EvacuationUpdate, now: float) -> bool:
        """Take in what a peer knows of evacuations; return whether any was news."""
        before = self.evacuations.halls
        return self._opened(before, self.evacuations.apply_update(update, now), now)

    def settle(self, now: float) -> bool:
        """Do what is due once an era has settled; return whether that changed anything."""
        before = self.evacuations.halls
        return self._opened(before, self.evacuations.settle(now), now)

    def _opened(self, before: frozenset[str], is_news: bool, now: float) -> bool:
        """Note which halls are evacuated no longer; return whether there was news."""
        self._opened_at |= dict.fromkeys(before - self.evacuations.halls, now)
        return is_news
