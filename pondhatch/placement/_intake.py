"""Which requests an upstream may be sent now, and at which rate.

An upstream that is listed as live may still not be sent every request: its data hall may be
evacuated, it may be outside the regions that a request is restricted to, it may be cold and fail
above some rate, or it may have stated in an answer that it is shutting down or wants no requests
for some seconds. All of this is decided here, from the list of upstreams, their answers, the
platform and the configuration, alike for new requests, repeats and resumed streams.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec
from msgspec.structs import replace

from pondhatch.placement._notices import NO_REST, Rest

#: Names of the regions whose upstreams may run a request; None for any region.
Regions: TypeAlias = tuple[str, ...] | None


class ClosedReason(enum.StrEnum):
    """Why an upstream may not be sent a request now; the value is the code that callers get."""

    #: It is about to shut down, or an operator drains it.
    LEAVING = "upstream-leaving"
    #: Its data hall is evacuated and gets no more requests.
    EVACUATED = "hall-evacuated"
    #: The request may not run in its region.
    OUTSIDE_REGIONS = "outside-regions"
    #: It refused a request and asked for no requests for a while.
    RESTING = "upstream-resting"
    #: The request goes on with a stream that another version of its software began.
    OTHER_SOFTWARE_VERSION = "other-software-version"


class Intake(msgspec.Struct, frozen=True):
    """Which requests one upstream accepts now."""

    #: Whether it accepts new requests, as stated by itself and by the operator.
    is_live: bool = True
    #: Whether its data hall is evacuated.
    is_evacuated: bool = False
    #: Region of its data hall; empty where unknown.
    region: str = ""
    #: Requests a second that it can take while it is cold; None where it is warm or nothing is
    #: known.
    cold_pace: float | None = None
    #: Remaining time for which it asked for no requests.
    rest: Rest = NO_REST

    @property
    def accepts_new(self) -> bool:
        """Whether any new request may be sent to it."""
        return self.is_live and not self.is_evacuated

    def closed_reason(self, regions: Regions, resuming: bool = False) -> ClosedReason | None:
        """Return why a request may not be sent to the upstream, None where it may.

        ``resuming`` marks the rest of a stream that the upstream ran before. An upstream that is
        leaving accepts that; one in an evacuated hall does not.
        """
        if self.is_evacuated:
            return ClosedReason.EVACUATED
        if not is_region_allowed(self.region, regions):
            return ClosedReason.OUTSIDE_REGIONS
        if not self.is_live and not resuming:
            return ClosedReason.LEAVING
        return ClosedReason.RESTING if self.rest.for_this_router > 0 else None

    def closed_reason_for_all(self, resuming: bool = False) -> ClosedReason | None:
        """Return why no router may send the upstream a request, None where some router may.

        Regions, and a rest that the upstream asked of one router only, are checked by that
        router itself.
        """
        if self.rest.for_all_routers > 0:
            return ClosedReason.RESTING
        return replace(self, rest=NO_REST).closed_reason(None, resuming)


#: Accepts all requests at any rate.
OPEN = Intake()
#: Accepts only the rest of its own streams.
CLOSING = Intake(is_live=False)


def is_region_allowed(region: str, regions: Regions) -> bool:
    """Return whether a request restricted to regions may run in a region."""
    return regions is None or region in regions


def common_regions(first: Regions, second: Regions) -> Regions:
    """Return the regions that two restrictions both allow; empty where they share none."""
    if first is None or second is None:
        return second if first is None else first
    return tuple(region for region in first if region in second)
