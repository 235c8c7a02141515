"""Rules for which requests may reuse which idle connections; performs no I/O.

A request that may not be repeated fails for good if its connection turns out dead, so it reuses
only a connection that is almost certainly open. While load management is active, this is decided
by the idle timeout that the upstream states and by the absence of recent losses, not only by the
time of the last bytes: with many routers and many engines, each pair communicates too rarely for
that.
"""

from __future__ import annotations

from typing import Protocol

from pondhatch.transport._use_times import STATED_IDLE_SHARE

#: Seconds since its last received bytes during which an idle connection may carry a request that
#: may not be repeated. On a dead connection the request would fail for good, while a new one
#: costs a round trip. Connections to busy addresses are used far more often, so they are reused.
MAX_SILENT_SECONDS = 0.5
#: Fraction of the other side's stated idle time during which a connection is reused while load
#: is managed.
MANAGED_IDLE_SHARE = 0.9
#: Seconds subtracted from that time for a request in transit: a path between data halls takes
#: some hundredths of a second, a busy router some tenths.
MANAGED_MARGIN_SECONDS = 1.0
#: Seconds after a loss during which MAX_SILENT_SECONDS applies although load is managed: the
#: cause may have cut other connections too, which the system's probes have closed by then.
STRICT_SECONDS = 3.0


class IdleConnection(Protocol):
    """The state of an idle connection that the rules read."""

    #: Time until which it may be reused while load is not managed, in the loop's seconds.
    usable_until: float
    #: Whether the other side stated how long it keeps an idle connection.
    has_stated_idle: bool
    #: Seconds for which the other side states to keep an idle connection; 0 if not stated.
    stated_idle_seconds: float
    #: When its last exchange ended, in the loop's seconds.
    idle_since: float
    #: When bytes were last received, in the loop's seconds.
    last_received_at: float
    #: Whether it has carried no request yet; it then counts as received from when it opened.
    is_unused: bool


class ReuseRules:
    """The rules, and the time of the last loss of a connection to an upstream."""

    def __init__(self) -> None:
        self._lost_at = float("-inf")

    def note_loss(self, now: float) -> None:
        """Record that a working connection was reset or fell silent."""
        self._lost_at = now

    def is_strict(self, now: float) -> bool:
        """Return whether a connection was lost recently, so that others may be dead too."""
        return now - self._lost_at < STRICT_SECONDS

    def usable_until(self, connection: IdleConnection, managed: bool) -> float:
        """Return the time after which no request may reuse an idle connection."""
        if not managed or not connection.has_stated_idle:
            return connection.usable_until
        return connection.idle_since + managed_idle_seconds(connection.stated_idle_seconds)

    def is_safe(self, connection: IdleConnection, now: float, managed: bool) -> bool:
        """Return whether a request that may not be repeated may reuse a connection."""
        if connection.is_unused:
            return now - connection.last_received_at <= MAX_SILENT_SECONDS
        if not connection.has_stated_idle:
            return False
        if managed and not self.is_strict(now):
            return now < self.usable_until(connection, managed)
        return now - connection.last_received_at <= MAX_SILENT_SECONDS


def managed_idle_seconds(stated: float) -> float:
    """Return the seconds of the stated idle time during which a connection is reused.

    The margin would use up most of a short time. At least STATED_IDLE_SHARE of the time is
    returned, the same as while load is not managed.
    """
    return max(stated * STATED_IDLE_SHARE, stated * MANAGED_IDLE_SHARE - MANAGED_MARGIN_SECONDS)
