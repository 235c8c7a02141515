"""For which requests, and how fast, an upstream may take work now.

An upstream that is listed as live may still not be sent whatever comes: its data hall may be
evacuated, it may stand outside the regions that a request is bound to, it may be cold and fall
over above a pace, or it may have said in an answer that it leaves or wants a rest. All of that
is decided here, from what the list of upstreams, their answers, the platform and the
configuration say, for new requests, repeats and the rest of streams alike.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec
from msgspec.structs import replace

from pondhatch.placement._notices import NO_REST, Rest

#: Names of the regions whose upstreams may run a request; None where any may.
Regions: TypeAlias = tuple[str, ...] | None


class ClosedReason(enum.StrEnum):
    """Why an upstream may not be sent a request now; the value is the code told."""

    #: It is about to end, or an operator wants it emptied.
    LEAVING = "upstream-leaving"
    #: Its data hall is to be sent nothing more.
    EVACUATED = "hall-evacuated"
    #: Its region is none of those that the request may run in.
    OUTSIDE_REGIONS = "outside-regions"
    #: It turned a request away, and wants nothing for a while.
    RESTING = "upstream-resting"


class Intake(msgspec.Struct, frozen=True):
    """What one upstream takes now."""

    #: Whether it takes new work, by its own word and the operator's.
    is_live: bool = True
    #: Whether its data hall is evacuated.
    is_evacuated: bool = False
    #: The region of its data hall; empty where nobody says.
    region: str = ""
    #: Requests a second that it bears, being cold; None where it is warm or nobody says.
    cold_pace: float | None = None
    #: What is left of the rests that it asked for.
    rest: Rest = NO_REST

    @property
    def accepts_new(self) -> bool:
        """Whether some new request may be sent to it."""
        return self.is_live and not self.is_evacuated

    def closed_reason(self, regions: Regions, resuming: bool = False) -> ClosedReason | None:
        """Return why a request may not be sent to it, None where it may.

        ``resuming`` says that it is the rest of a stream that it ran. One that leaves takes
        that; one whose hall is evacuated does not.
        """
        if self.is_evacuated:
            return ClosedReason.EVACUATED
        if not is_region_allowed(self.region, regions):
            return ClosedReason.OUTSIDE_REGIONS
        if not self.is_live and not resuming:
            return ClosedReason.LEAVING
        return ClosedReason.RESTING if self.rest.for_this_router > 0 else None

    def closed_reason_for_all(self, resuming: bool = False) -> ClosedReason | None:
        """Return why no router may send it a request, None where some may.

        Its region and a rest that one router was asked for are for that router to know.
        """
        if self.rest.for_all_routers > 0:
            return ClosedReason.RESTING
        return replace(self, rest=NO_REST).closed_reason(None, resuming)


#: Takes all requests, as fast as they come.
OPEN = Intake()
#: Takes the rest of its streams alone.
CLOSING = Intake(is_live=False)


def is_region_allowed(region: str, regions: Regions) -> bool:
    """Return whether what is bound to regions may go to one of them."""
    return regions is None or region in regions


def common_regions(first: Regions, second: Regions) -> Regions:
    """Return the regions that two bindings allow together; none where they share none."""
    if first is None or second is None:
        return second if first is None else first
    return tuple(region for region in first if region in second)
