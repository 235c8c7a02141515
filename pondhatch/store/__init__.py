"""The platform's object API as a Protocol, and its lists of upstreams and evacuations."""

from pondhatch.store._cold_periods import ColdPeriods
from pondhatch.store._evacuations import IN_FORCE, Evacuations, EvacuationUpdate, HallEvacuation
from pondhatch.store._objects import (
    Accepted,
    Conflict,
    Found,
    Listed,
    Missing,
    OutcomeUnknown,
    Platform,
    PlatformLost,
    StoredObject,
    TooOld,
    Unavailable,
    WatchEvent,
)
from pondhatch.store._position import (
    MAX_ERA,
    NO_ERA,
    REVISION_BITS,
    SETTLE_SECONDS,
    Position,
    era_of,
    position_of,
    revision_of,
)
from pondhatch.store._upstream_reader import UpstreamReader
from pondhatch.store._upstreams import (
    LEAVING,
    LIVE,
    REMOVED,
    Upstream,
    UpstreamEntry,
    UpstreamList,
    UpstreamUpdate,
)
from pondhatch.store._vanished import RETURN_SECONDS, VanishedUpstreams

__all__ = [
    "ColdPeriods",
    "EvacuationUpdate",
    "Evacuations",
    "HallEvacuation",
    "IN_FORCE",
    "RETURN_SECONDS",
    "VanishedUpstreams",
    "LEAVING",
    "LIVE",
    "MAX_ERA",
    "NO_ERA",
    "REVISION_BITS",
    "SETTLE_SECONDS",
    "Position",
    "era_of",
    "position_of",
    "revision_of",
    "REMOVED",
    "Accepted",
    "Conflict",
    "Found",
    "Listed",
    "Missing",
    "OutcomeUnknown",
    "Platform",
    "PlatformLost",
    "StoredObject",
    "TooOld",
    "Unavailable",
    "Upstream",
    "UpstreamEntry",
    "UpstreamList",
    "UpstreamReader",
    "UpstreamUpdate",
    "WatchEvent",
]
