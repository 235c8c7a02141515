"""How long an entry router waits for the word of an engine's owner, without I/O.

Owners answer in some milliseconds, so one that does not has most likely stopped, frozen,
been cut off or fallen far behind. A request waits for it no longer than the spread of its
own answers warrants and than its caller can bear; the router that would own the engine
without it decides then.
"""

from __future__ import annotations

import msgspec

#: Parts of a whole wait: after the first two the question is sent again, after the last it
#: is given up. Three sends, so that two lost packets of a link that loses one in forty do
#: not count as silence.
WAIT_FRACTIONS = (0.25, 0.25, 0.5)
#: Seconds of a whole wait for an owner whose answers are not known: the first pause is
#: longer than the way to another region and back.
INITIAL_WAIT = 0.4
#: Seconds of a whole wait, at least: a first pause of 10 ms is three round trips between
#: halls of one region (2.8 ms), and covers a turn of the owner's loop.
MIN_WAIT = 0.04
#: Spreads beyond the mean within which nearly all answers come, as for TCP's
#: retransmissions (RFC 6298).
SPREAD_FACTOR = 4.0
#: Weight of the newest answer in the mean and the spread: some four answers tell that an
#: owner has become slow, a second's worth at ten questions a second to each owner.
NEWEST_WEIGHT = 0.25
#: Seconds after which the times of an owner's answers say nothing about the present.
TIMES_VALID_SECONDS = 2.0
#: Mean seconds from which an owner is too slow to own anything: a quarter of the longest
#: wait, so that it would be asked twice for each word.
TOO_SLOW_SECONDS = INITIAL_WAIT * WAIT_FRACTIONS[0]
#: Seconds for which a question that was given up is remembered: what comes later than that
#: tells nothing.
TIMED_OUT_SECONDS = 5.0


class ReplyTimes(msgspec.Struct, frozen=True):
    """How long one owner took for its latest words, in seconds."""

    mean: float
    spread: float
    #: When the last word came, in the clock's seconds.
    at: float

    def with_reply(self, seconds: float, now: float) -> ReplyTimes:
        """Return the times with one more word."""
        deviation = abs(seconds - self.mean)
        return ReplyTimes(
            self.mean + NEWEST_WEIGHT * (seconds - self.mean),
            self.spread + NEWEST_WEIGHT * (deviation - self.spread),
            now,
        )


def send_pauses(times: ReplyTimes | None, max_wait: float) -> tuple[float, ...]:
    """Return the seconds to wait after each send of a question; none where asking is in vain.

    ``times`` are None where nothing is known of the owner; ``bearable`` is for how long the
    request can wait at all.
    """
    most = min(INITIAL_WAIT, max(MIN_WAIT, max_wait))
    if times is None:
        return tuple(part * most for part in WAIT_FRACTIONS)
    if times.mean > most:
        return ()
    usual = (times.mean + SPREAD_FACTOR * times.spread) / WAIT_FRACTIONS[0]
    whole = min(most, max(MIN_WAIT, usual))
    return tuple(part * whole for part in WAIT_FRACTIONS)


class TimedOut(msgspec.Struct, frozen=True):
    """A question whose owner gave no word in time."""

    owner: str
    sent_at: float


class OwnerTimeouts(msgspec.Struct):
    """What one entry router knows of how fast owners answer it."""

    _times_by_owner: dict[str, ReplyTimes] = msgspec.field(default_factory=dict)
    _timed_out_by_number: dict[int, TimedOut] = msgspec.field(default_factory=dict)

    def send_pauses(self, owner: str, max_wait: float, now: float) -> tuple[float, ...]:
        """Return how long to wait for an owner; see ``pauses``."""
        return send_pauses(self._recent_times(owner, now), max_wait)

    def note_reply(self, owner: str, seconds: float, now: float) -> None:
        """Note how long an owner took for a word."""
        known = self._recent_times(owner, now)
        # The first word's spread is half of it, as for TCP.
        first = ReplyTimes(seconds, seconds / 2, now)
        self._times_by_owner[owner] = first if known is None else known.with_reply(seconds, now)

    def note_timeout(self, number: int, owner: str, sent_at: float) -> None:
        """Note that a question got no word in time."""
        self._timed_out_by_number[number] = TimedOut(owner, sent_at)

    def note_late_reply(self, number: int, now: float) -> str | None:
        """Note a word that came too late; return whose it is, None where nobody waited for it."""
        timed_out = self._timed_out_by_number.pop(number, None)
        if timed_out is None:
            return None
        self.note_reply(timed_out.owner, now - timed_out.sent_at, now)
        return timed_out.owner

    def is_too_slow(self, owner: str, now: float) -> bool:
        """Return whether an owner answers, but too slowly to be asked."""
        times = self._recent_times(owner, now)
        return times is not None and times.mean > TOO_SLOW_SECONDS

    def forget_old(self, now: float) -> None:
        """Drop what tells nothing any more."""
        self._timed_out_by_number = {
            number: given_up
            for number, given_up in self._timed_out_by_number.items()
            if now - given_up.sent_at <= TIMED_OUT_SECONDS
        }

    def _recent_times(self, owner: str, now: float) -> ReplyTimes | None:
        times = self._times_by_owner.get(owner)
        return times if times is not None and now - times.at <= TIMES_VALID_SECONDS else None
