"""Timeouts for the replies of engines' owners, without I/O.

Owners reply within milliseconds, so one that does not has most likely stopped, hung, lost its
network or become overloaded. A request waits for it no longer than the spread of its earlier
replies and the caller's time allow; then the router next in line to own the engine decides.
"""

from __future__ import annotations

import msgspec

from pondhatch.kernel import Standstill

#: Fractions of the total wait: after the first two the grant request is sent again, after the last
#: it times out. Three sends, so that two lost packets on a link that loses one in forty do not
#: look like an unresponsive owner.
WAIT_FRACTIONS = (0.25, 0.25, 0.5)
#: Seconds of the total wait for an owner whose reply times are unknown: the first pause is longer
#: than a round trip to another region.
INITIAL_WAIT = 0.4
#: Minimum seconds of the total wait: its first pause of 10 ms is three round trips between halls of
#: one region (2.8 ms), and covers an iteration of the owner's event loop.
MIN_WAIT = 0.04
#: Nearly all replies arrive within the mean plus this multiple of the spread, as for TCP's
#: retransmission timeout (RFC 6298).
SPREAD_FACTOR = 4.0
#: Weight of the newest reply in the mean and the spread: about four replies show that an owner
#: has become slow; at ten grant requests per second to each owner they come within a second.
NEWEST_WEIGHT = 0.25
#: Seconds after which an owner's reply times are out of date.
TIMES_VALID_SECONDS = 2.0
#: Mean reply seconds above which an owner is too slow to own any engine: a quarter of the longest
#: wait, at which each grant request would be sent twice.
TOO_SLOW_SECONDS = INITIAL_WAIT * WAIT_FRACTIONS[0]
#: A process that runs without a break.
NO_STANDSTILL = Standstill()
#: Seconds for which a timed-out grant request is remembered; a reply after that is ignored.
TIMED_OUT_SECONDS = 5.0


class ReplyTimes(msgspec.Struct, frozen=True):
    """Smoothed times of one owner's latest replies, in seconds."""

    mean: float
    #: Mean absolute deviation from the mean.
    spread: float
    #: When the last reply arrived, in the clock's seconds.
    at: float

    def with_reply(self, seconds: float, now: float) -> ReplyTimes:
        """Return the times with one more reply included."""
        deviation = abs(seconds - self.mean)
        return ReplyTimes(
            self.mean + NEWEST_WEIGHT * (seconds - self.mean),
            self.spread + NEWEST_WEIGHT * (deviation - self.spread),
            now,
        )


def send_pauses(times: ReplyTimes | None, max_wait: float) -> tuple[float, ...]:
    """Return the seconds to wait after each send; empty if the owner is too slow to be asked.

    ``times`` is None if the owner's reply times are unknown; ``max_wait`` is the total number of
    seconds that the request can wait.
    """
    longest = min(INITIAL_WAIT, max(MIN_WAIT, max_wait))
    if times is None:
        return tuple(part * longest for part in WAIT_FRACTIONS)
    if times.mean > longest:
        return ()
    usual = (times.mean + SPREAD_FACTOR * times.spread) / WAIT_FRACTIONS[0]
    total = min(longest, max(MIN_WAIT, usual))
    return tuple(part * total for part in WAIT_FRACTIONS)


class TimedOut(msgspec.Struct, frozen=True):
    """A grant request whose owner did not reply in time."""

    owner: str
    sent_at: float


class OwnerTimeouts(msgspec.Struct):
    """Reply times and timeouts of the owners that one entry router asks."""

    _times_by_owner: dict[str, ReplyTimes] = msgspec.field(default_factory=dict)
    _timed_out_by_number: dict[int, TimedOut] = msgspec.field(default_factory=dict)

    def send_pauses(self, owner: str, max_wait: float, now: float) -> tuple[float, ...]:
        """Return the seconds to wait for an owner after each send; see ``send_pauses``."""
        return send_pauses(self._recent_times(owner, now), max_wait)

    def note_reply(self, owner: str, seconds: float, now: float) -> None:
        """Record how long an owner took to reply."""
        known = self._recent_times(owner, now)
        # The spread starts at half of the first reply time, as for TCP.
        first = ReplyTimes(seconds, seconds / 2, now)
        self._times_by_owner[owner] = first if known is None else known.with_reply(seconds, now)

    def note_timeout(self, number: int, owner: str, sent_at: float) -> None:
        """Record that a grant request got no reply in time."""
        self._timed_out_by_number[number] = TimedOut(owner, sent_at)

    def note_late_reply(
        self, number: int, now: float, standstill: Standstill = NO_STANDSTILL
    ) -> str | None:
        """Record a late reply; return its owner, or None if no timed-out request awaited it.

        Where this process itself stood still, the lateness says nothing of the owner.
        """
        timed_out = self._timed_out_by_number.pop(number, None)
        if timed_out is None:
            return None
        if not standstill.has_been_since(timed_out.sent_at, now):
            self.note_reply(timed_out.owner, now - timed_out.sent_at, now)
        return timed_out.owner

    def is_too_slow(self, owner: str, now: float) -> bool:
        """Return whether an owner replies, but too slowly to be asked."""
        times = self._recent_times(owner, now)
        return times is not None and times.mean > TOO_SLOW_SECONDS

    def drop_expired(self, now: float) -> None:
        """Drop timed-out grant requests that were sent more than TIMED_OUT_SECONDS ago."""
        self._timed_out_by_number = {
            number: timed_out
            for number, timed_out in self._timed_out_by_number.items()
            if now - timed_out.sent_at <= TIMED_OUT_SECONDS
        }

    def _recent_times(self, owner: str, now: float) -> ReplyTimes | None:
        times = self._times_by_owner.get(owner)
        return times if times is not None and now - times.at <= TIMES_VALID_SECONDS else None
