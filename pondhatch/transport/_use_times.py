"""When a connection was used, and until when it may be reused; no I/O, time is passed in."""

from __future__ import annotations

#: Seconds for which an idle connection is kept if the other side states no time.
IDLE_SECONDS = 30.0
#: Seconds for which a connection is kept that has carried no request yet: the other side has not
#: stated how long it waits for the first.
UNUSED_SECONDS = 2.0
#: Fraction of the other side's stated idle time during which a connection is reused: later,
#: a request could cross the other side's close.
STATED_IDLE_SHARE = 0.5


class UseTimes:
    """The times of one connection, in the loop's seconds, that ReuseRules and sweeps read."""

    def __init__(self) -> None:
        #: Time until which it may be reused, in the loop's seconds.
        self.usable_until = float("-inf")
        #: Whether the other side stated how long it keeps an idle connection.
        self.has_stated_idle = False
        #: Seconds for which the other side states to keep an idle connection; 0 if not stated.
        self.stated_idle_seconds = 0.0
        #: When its last exchange ended, in the loop's seconds.
        self.idle_since = float("-inf")
        #: Whether it was opened without a request and has carried none yet.
        self.is_unused = False
        #: When bytes were last received, and when the last request was written, in the loop's
        #: seconds.
        self.last_received_at = float("-inf")
        self.last_request_at = float("-inf")

    def last_active_at(self) -> float:
        """Return when either side last used the connection, in the loop's seconds."""
        return max(self.last_received_at, self.last_request_at)

    def mark_unused(self, now: float) -> None:
        """Mark a connection that has just opened as idle, without a first request."""
        self.is_unused = True
        self.last_received_at = self.idle_since = now
        self.usable_until = now + UNUSED_SECONDS

    def become_idle(self, now: float, stated_idle_seconds: float | None) -> None:
        """Begin the idle time after an exchange; the other side states it, None if it does not."""
        self.has_stated_idle = stated_idle_seconds is not None
        self.stated_idle_seconds = stated_idle_seconds or 0.0
        self.idle_since = now
        kept_seconds = (
            IDLE_SECONDS if stated_idle_seconds is None else stated_idle_seconds * STATED_IDLE_SHARE
        )
        self.usable_until = self.idle_since + kept_seconds
