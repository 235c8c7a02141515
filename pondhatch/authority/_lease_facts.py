"""What a router knows about one lease, and the writes derived from it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.authority._lease_record import LeaseCall, LeaseRecord, LeaseTimings, WriteLease
from pondhatch.store import NO_ERA, Position, position_of

#: Own writes remembered so that they are recognised if they took effect late.
MAX_NONCES = 8


class LeaseFacts(msgspec.Struct):
    """What a LeaseKeeper knows besides its state; times are in seconds of its own clock."""

    router: str
    timings: LeaseTimings
    new_nonce: Callable[[], str]
    #: The record as last read or written; None if there is none or it is unknown.
    record: LeaseRecord | None = None
    #: Version of the record at the platform; None if there is none or it is unknown.
    version: Position | None = None
    #: When this version was first seen, or when this router's write of it started; infinity
    #: means that the lease must be read.
    seen_at: float = float("inf")
    #: Time at which the next call is due.
    next_call_at: float = float("-inf")
    #: Start of the last call, and the record that it is writing, if any.
    call_started_at: float = 0.0
    pending_write: LeaseRecord | None = None
    #: Start of each of this router's writes that may have taken effect, by nonce.
    started_by_nonce: dict[str, float] = msgspec.field(default_factory=dict)
    #: Highest fencing number seen in the lease or reported by an engine.
    highest_fencing: int = 0
    #: Time until which this router may use the lease, with the clock margin subtracted.
    valid_until: float = float("-inf")
    #: Time from which engines that ignore fencing numbers may be given orders.
    unfenced_from: float = float("-inf")
    #: Number of times that the platform was restored from an older copy.
    era: int = NO_ERA
    #: When this router first learned of the era.
    era_since: float = float("-inf")

    def needs_read(self) -> bool:
        """Return whether the lease must be read before anything is decided."""
        return self.seen_at == float("inf")

    def observe_era(self, era: int, now: float) -> bool:
        """Apply the platform's era; return whether it is a new one.

        In a new era the lease at the platform is older than what was known. It shows neither
        that the lease is free nor that this router holds it.
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
        """Make a read of the lease due at once."""
        self.seen_at = float("inf")
        self.next_call_at = now

    def set_observed(
        self, record: LeaseRecord | None, version: Position | None, now: float
    ) -> None:
        """Set the lease as read, or as released by a write; None if there is none."""
        if version != self.version or self.needs_read():
            self.seen_at = now
        self.record, self.version = record, version
        if record is not None:
            self.highest_fencing = max(self.highest_fencing, record.fencing)

    def set_malformed(self) -> None:
        """Forget the lease, since it cannot be decoded; the highest fencing number is kept.

        The lease counts as unread, so that it is not claimed. Once it is valid again, its
        duration is measured from then.
        """
        self.record, self.version = None, None
        self.seen_at = float("inf")
        self.started_by_nonce.clear()

    def set_held(self, record: LeaseRecord, version: Position, started_at: float) -> None:
        """Set the lease as held by this router, by a write started at ``started_at``."""
        self.record, self.version, self.seen_at = record, version, started_at
        self.valid_until = started_at + self.timings.duration - self.timings.clock_margin

    def set_unfenced_from(self, started_at: float) -> None:
        """Set the time from which a new holder may order engines that ignore fencing numbers.

        ``started_at`` is the start of the write that made this router the holder.
        """
        # A holder releases its lease only after its last order has ended; a missing lease counts
        # as released.
        old_orders_ended = self.record is None or self.record.released
        # Soon after a new era began, it is unknown whether the last holder stepped down. Its
        # orders have ended once the lease duration and then the unfenced delay have passed.
        old_orders_ended = (
            old_orders_ended
            and started_at >= self.old_leases_end_at() + self.timings.unfenced_delay
        )
        self.unfenced_from = (
            float("-inf") if old_orders_ended else started_at + self.timings.unfenced_delay
        )

    def old_leases_end_at(self) -> float:
        """Return the time from which no lease of an earlier era is valid."""
        if self.era == NO_ERA:
            return float("-inf")
        return self.era_since + self.timings.duration

    def may_be_claimed(self, now: float) -> bool:
        """Return whether the lease is free to be claimed."""
        if now < self.old_leases_end_at():
            return False
        if self.record is None or self.record.released:
            return True
        return now >= self.seen_at + self.timings.duration

    def claim(self) -> WriteLease:
        """Return the write that makes this router the holder."""
        last_fencing = self.record.fencing if self.record is not None else 0
        # Above all fencing numbers of earlier eras, including those unknown to this router.
        fencing = max(last_fencing, self.highest_fencing, position_of(self.era, 0)) + 1
        return WriteLease(LeaseRecord(self.router, fencing, self.new_nonce()), self.version)

    def renewal(self, held: LeaseRecord) -> WriteLease:
        """Return the write that renews a held lease; raises its fencing number if it is too low."""
        fencing = self.highest_fencing + 1 if self.highest_fencing > held.fencing else held.fencing
        renewed = msgspec.structs.replace(held, nonce=self.new_nonce(), fencing=fencing)
        return WriteLease(renewed, self.version)

    def release(self, held: LeaseRecord) -> WriteLease:
        """Return the write that releases a held lease."""
        released = msgspec.structs.replace(held, nonce=self.new_nonce(), released=True)
        return WriteLease(released, self.version)

    def start_call(self, call: LeaseCall, now: float, pause: float) -> LeaseCall:
        """Record the start of a call, set the next one due after a pause, and return the call."""
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
