"""How old a router's knowledge of the platform may be, and when it has to ask for itself.

Most routers read nothing from the platform but learn of changes from others, whose silence proves
nothing: they may have ended, stand still, or be cut off. So a router counts what it holds as the
newest only as of a moment at which somebody asked the platform, itself or one whose confirmation
it received. Once that is too long ago, it asks for itself.

A change is in force at a router within the sum of its patience, of what confirmations may have
waited unread on the way (``MAX_UNNOTICED_WAIT_SECONDS`` for each router that passed them on), and
of one check.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.membership import Confirmation, TreeLevel, Versions
from pondhatch.store import Position

#: Seconds for which a router relies on the last confirmation, by its level. Only the first router
#: of the fleet asks while all is well. The others wait for two of its confirmations and the way
#: down the tree, so that one that is lost or late makes nobody ask. Each level waits longer than
#: the one above: where the upper one asks in place of a router that is lost, the lower one hears
#: of it in time.
PATIENCE_SECONDS: Mapping[TreeLevel, float] = {
    TreeLevel.FLEET_TOP: 0.35,
    TreeLevel.NEXT_TOP: 0.8,
    TreeLevel.HALL_TOP: 0.9,
    TreeLevel.SECOND: 1.0,
    TreeLevel.THIRD: 1.1,
    TreeLevel.LOWER: 1.2,
}
#: Seconds by which a confirmation must be newer than the known one to be passed on: of several that
#: arrive for the same moment, one is enough.
MIN_GAIN_SECONDS = 0.05
#: Seconds after which a confirmation that this router was too far behind to use is dropped.
PENDING_SECONDS = 5.0
#: Seconds from the round before the last one after which packets may have waited unread, as two
#: rounds take 0.2 s at most.
LATE_ROUNDS_SECONDS = 0.25
#: Maximum seconds for which a packet may have waited without being counted as late.
MAX_UNNOTICED_WAIT_SECONDS = 0.15


class _Pending(msgspec.Struct, frozen=True):
    """A confirmation of versions that this router has yet to pull."""

    versions: Versions
    position: Position
    confirmed_at: float


class Freshness(msgspec.Struct):
    """Up to when this router is known to hold the newest of everything, in the clock's seconds."""

    #: The platform's position up to which this router holds everything; 0 if unknown.
    position: Position = 0
    #: When somebody asked the platform for it; what this router holds was the newest then.
    confirmed_at: float = float("-inf")
    _pending: _Pending | None = None
    _last_round_at: float = float("-inf")
    _round_before_at: float = float("-inf")

    def age(self, now: float) -> float:
        """Return for how many seconds this router may have missed a change."""
        return now - self.confirmed_at

    def seconds_until_due(self, level: TreeLevel, now: float) -> float:
        """Return after how many seconds this router has to ask the platform itself."""
        return max(0.0, PATIENCE_SECONDS[level] - self.age(now))

    def note_round(self, now: float) -> None:
        """Note one of the rounds, which are due ten times a second."""
        self._round_before_at, self._last_round_at = self._last_round_at, now

    def record_check(self, position: Position, asked_at: float) -> None:
        """Record that this router read everything up to a position of the platform."""
        if asked_at > self.confirmed_at:
            self.position, self.confirmed_at = position, asked_at

    def hear(self, confirmation: Confirmation, own: Versions, now: float) -> bool:
        """Note another router's confirmation; return whether it holds for this router now.

        ``own`` are the versions that this router holds. If it is behind them, the confirmation
        is kept until it has pulled them.
        """
        confirmed_at = now - self._possible_wait(now) - confirmation.age_ms / 1000
        if confirmed_at < self.confirmed_at + MIN_GAIN_SECONDS:
            return False
        if self._pending is None or confirmed_at > self._pending.confirmed_at:
            self._pending = _Pending(confirmation.versions, confirmation.position, confirmed_at)
        return self.use_pending(own, now)

    def use_pending(self, own: Versions, now: float) -> bool:
        """Return whether a confirmation that was kept holds for this router by now."""
        pending = self._pending
        if pending is None:
            return False
        is_usable = _holds(own, pending.versions)
        if is_usable or now - pending.confirmed_at > PENDING_SECONDS:
            self._pending = None
        if not is_usable or pending.confirmed_at <= self.confirmed_at:
            return False
        self.position, self.confirmed_at = pending.position, pending.confirmed_at
        return True

    def _possible_wait(self, now: float) -> float:
        """Return for how many seconds a packet that is read now may have waited.

        After a standstill, packets and rounds come in any order, so the last round alone does not
        show it.
        """
        waited = now - self._round_before_at
        return waited if waited > LATE_ROUNDS_SECONDS else 0.0


def _holds(own: Versions, other: Versions) -> bool:
    return (
        own.configuration >= other.configuration
        and own.upstreams >= other.upstreams
        and own.evacuations >= other.evacuations
    )
