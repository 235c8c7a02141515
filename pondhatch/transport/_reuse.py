"""Which kept connection may carry which request, as rules without I/O.

A request that may not be repeated is lost for good where its connection turns out dead, so it
goes only on a connection that is almost certainly open. While load is managed, that is told by
the time-out that the upstream states and by the absence of recent losses, not by the age of the
last bytes alone: where many routers share many engines, each pair talks too seldom for that.
"""

from __future__ import annotations

from typing import Protocol

from pondhatch.transport._http_connection import STATED_IDLE_SHARE

#: Seconds since its last bytes within which a kept connection carries a request that may not
#: be repeated: lost on a silent connection it would be lost for good, while a new connection
#: costs a round trip. Busy addresses use theirs far more often, so they keep theirs.
MAX_SILENT_SECONDS = 0.5
#: Share of the time that the other side states for which an idle connection is used while load
#: is managed, and the seconds that are left of it for a request on its way: a path between data
#: halls takes some hundredths of a second, a busy router some tenths.
MANAGED_SHARE = 0.9
MANAGED_MARGIN = 1.0
#: Seconds after a loss for which HEARD_SECONDS holds although load is managed: what cut one
#: connection may have cut others, and probes of the system have ended those by then.
STRICT_SECONDS = 3.0


class IdleConnection(Protocol):
    """What the rules read of an idle connection."""

    #: Until when it may be taken while load is not managed, in the loop's seconds.
    usable_until: float
    #: Whether the other side stated how long it keeps an idle connection, and for how long.
    has_stated_idle: bool
    stated_idle: float
    #: When its last exchange ended, and when bytes last came on it, in the loop's seconds.
    idle_since: float
    last_received_at: float


class ReuseRules:
    """The rules, and when a connection to an upstream was last lost."""

    def __init__(self) -> None:
        self._lost_at = float("-inf")

    def note_loss(self, now: float) -> None:
        """Note that a connection that had worked was reset or fell silent."""
        self._lost_at = now

    def is_strict(self, now: float) -> bool:
        """Return whether a connection was lost lately, so that the others may be dead as well."""
        return now - self._lost_at < STRICT_SECONDS

    def usable_until(self, connection: IdleConnection, managed: bool) -> float:
        """Return until when an idle connection may be taken at all."""
        if not managed or not connection.has_stated_idle:
            return connection.usable_until
        return connection.idle_since + managed_idle_seconds(connection.stated_idle)

    def is_safe(self, connection: IdleConnection, now: float, managed: bool) -> bool:
        """Return whether a request that may not be repeated may go on a kept connection."""
        if not connection.has_stated_idle:
            return False
        if managed and not self.is_strict(now):
            return now < self.usable_until(connection, managed)
        return now - connection.last_received_at <= MAX_SILENT_SECONDS


def managed_idle_seconds(stated: float) -> float:
    """Return for how long an idle connection is used of the time that the other side states.

    Short times leave no margin; of them no less is used than while load is not managed.
    """
    return max(stated * STATED_IDLE_SHARE, stated * MANAGED_SHARE - MANAGED_MARGIN)
