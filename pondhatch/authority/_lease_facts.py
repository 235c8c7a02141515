"""What a router knows of one lease, and the writes that follow from it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.authority._lease_record import LeaseCall, LeaseRecord, LeaseTimings, WriteLease
from pondhatch.store import NO_ERA, Position, position_of

#: Own writes that are recognised when they turn out to have taken effect late.
MAX_NONCES = 8


class LeaseFacts(msgspec.Struct):
    """What a keeper remembers besides its state: what it saw, wrote, and may rely on."""

    router: str
    timings: LeaseTimings
    new_nonce: Callable[[], str]
    #: The record as last read or written, its version, and when it was first seen so.
    record: LeaseRecord | None = None
    version: Position | None = None
    seen_at: float = float("inf")
    #: When the next call is due.
    next_call_at: float = float("-inf")
    #: When the call that is under way was begun, and what it writes.
    call_started_at: float = 0.0
    pending_write: LeaseRecord | None = None
    #: When each of our writes that may have taken effect was begun, by nonce.
    started_by_nonce: dict[str, float] = msgspec.field(default_factory=dict)
    #: Highest fencing number that the lease had, or that an engine told of.
    highest_fencing: int = 0
    #: Until when this router holds the lease by its own clock, margin taken off.
    valid_until: float = float("-inf")
    #: From when on engines that ignore fencing numbers may be ordered.
    unfenced_from: float = float("-inf")
    #: How often the platform had come back from an older copy, and since when that is known.
    era: int = NO_ERA
    era_since: float = float("-inf")

    def needs_read(self) -> bool:
        """Return whether the lease has to be read before anything is decided."""
        return self.seen_at == float("inf")

    def observe_era(self, era: int, now: float) -> bool:
        """Take in the platform's era; return whether it has begun since the last word.

        What the platform then holds of the lease is older than what was known, and says nothing:
        not that nobody holds it, and not that this router does.
        """
        if era <= self.era:
            return False
        self.era, self.era_since = era, now
        self.record, self.version = None, None
        self.valid_until = float("-inf")
        self.started_by_nonce.clear()
        self.require_read(now)
        return True

    def require_read(self, now: float) -> None:
        """Have the lease read at once."""
        self.seen_at = float("inf")
        self.next_call_at = now

    def set_observed(
        self, record: LeaseRecord | None, version: Position | None, now: float
    ) -> None:
        """Take in the lease as read, or as given up by a write; None where there is none."""
        if version != self.version or self.needs_read():
            self.seen_at = now
        self.record, self.version = record, version
        if record is not None:
            self.highest_fencing = max(self.highest_fencing, record.fencing)

    def set_malformed(self) -> None:
        """Take in that the lease as read makes no sense: nothing is known of it, but its numbers.

        It counts as unread, so that nobody claims it; once it is whole again its time is
        counted from there.
        """
        self.record, self.version = None, None
        self.seen_at = float("inf")
        self.started_by_nonce.clear()

    def set_held(self, record: LeaseRecord, version: Position, started_at: float) -> None:
        """Take in that a write of ours, begun at a moment, is the lease's last."""
        self.record, self.version, self.seen_at = record, version, started_at
        self.valid_until = started_at + self.timings.duration - self.timings.clock_margin

    def set_unfenced_from(self, started_at: float) -> None:
        """Work out from when on a new holder may order engines that ignore fencing numbers."""
        planned = self.record is None or self.record.released
        # Of an era that began just now, nobody knows whether the last holder stepped down; its
        # orders have ended once a lease's time and then this have passed.
        planned = planned and started_at >= self.old_leases_end_at() + self.timings.unfenced_delay
        self.unfenced_from = float("-inf") if planned else started_at + self.timings.unfenced_delay

    def old_leases_end_at(self) -> float:
        """Return from when on no lease of an era before can be held any more."""
        if self.era == NO_ERA:
            return float("-inf")
        return self.era_since + self.timings.duration

    def may_be_claimed(self, now: float) -> bool:
        """Return whether nobody holds the lease any more."""
        if now < self.old_leases_end_at():
            return False
        if self.record is None or self.record.released:
            return True
        return now >= self.seen_at + self.timings.duration

    def claim(self) -> WriteLease:
        """Return the write that makes this router the holder."""
        last_fencing = self.record.fencing if self.record is not None else 0
        # Above all numbers of the eras before, also those that this router never heard of.
        fencing = max(last_fencing, self.highest_fencing, position_of(self.era, 0)) + 1
        return WriteLease(LeaseRecord(self.router, fencing, self.new_nonce()), self.version)

    def renewal(self, held: LeaseRecord) -> WriteLease:
        """Return the write that renews a held lease, its number above all that were seen."""
        fencing = self.highest_fencing + 1 if self.highest_fencing > held.fencing else held.fencing
        renewed = msgspec.structs.replace(held, nonce=self.new_nonce(), fencing=fencing)
        return WriteLease(renewed, self.version)

    def release(self, held: LeaseRecord) -> WriteLease:
        """Return the write that gives a held lease up."""
        released = msgspec.structs.replace(held, nonce=self.new_nonce(), released=True)
        return WriteLease(released, self.version)

    def start_call(self, call: LeaseCall, now: float, pause: float) -> LeaseCall:
        """Note that a call begins, the next one due after a pause; return the call."""
        self.call_started_at = now
        self.next_call_at = now + pause
        if isinstance(call, WriteLease):
            self._record_write(call.record, now)
        return call

    def _record_write(self, record: LeaseRecord, now: float) -> None:
        self.pending_write = record
        if not record.released:
            self.started_by_nonce[record.nonce] = now
        while len(self.started_by_nonce) > MAX_NONCES:
            del self.started_by_nonce[next(iter(self.started_by_nonce))]
