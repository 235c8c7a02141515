"""Codes of tries at engines, and what each means for the engine and the request."""

from __future__ import annotations

from pondhatch.placement import ClosedReason
from pondhatch.requests._crash_guard import QUARANTINE_CODES
from pondhatch.requests._grant_requests import EndReason
from pondhatch.requests._outcomes import DEADLINE, EngineRefusal, NotRun
from pondhatch.requests._relaying import PATH_LOST, UPSTREAM_UNREACHABLE

#: The end reason reported to the owner for each refusal of its engine. A bad request is no
#: evidence about the engine; an address that another engine answers at counts as unreachable.
END_REASON_BY_REFUSAL = {
    EngineRefusal.FULL: EndReason.FULL,
    # Not FULL: that would lower the engine's limit further with each refusal.
    EngineRefusal.DECLINED: EndReason.ENGINE_ERROR,
    # The rest that it asks for is announced separately, and is no sign of a fault.
    EngineRefusal.OVERLOADED: EndReason.NEUTRAL,
    EngineRefusal.LEAVING: EndReason.LEAVING,
    EngineRefusal.WRONG_INSTANCE: EndReason.CONNECTION_FAILED,
    EngineRefusal.BAD_REQUEST: EndReason.NEUTRAL,
    EngineRefusal.UNKNOWN: EndReason.ENGINE_ERROR,
}

#: Refusals that count against the limit of a brittle engine.
ROOM_REFUSALS = frozenset({EngineRefusal.FULL, EngineRefusal.DECLINED, EngineRefusal.OVERLOADED})

#: Codes of tries that were abandoned right before their first byte was sent.
CLOSED_CODES = frozenset(ClosedReason)
#: Code of a try at an engine whose software version could not be written down in time.
VERSION_NOT_WRITTEN = "version-not-written"
#: Codes of tries of which no byte was sent.
NOT_SENT_CODES = frozenset(
    {
        *CLOSED_CODES,
        *QUARANTINE_CODES,
        UPSTREAM_UNREACHABLE,
        PATH_LOST,
        DEADLINE,
        VERSION_NOT_WRITTEN,
    }
)
#: Codes of tries that are no evidence about the engine.
NEUTRAL_CODES = frozenset(
    {*CLOSED_CODES, *QUARANTINE_CODES, PATH_LOST, DEADLINE, VERSION_NOT_WRITTEN}
)


def version_not_written(software_version: str) -> NotRun:
    """Return the refusal of a try at an engine of a version that could not be written down."""
    return NotRun(
        VERSION_NOT_WRITTEN,
        "the request was sent to another software version before, and the platform was not told in "
        f"time that it goes to {software_version!r}",
    )
