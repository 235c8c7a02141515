"""What a router knows of one lease, and the writes that follow from it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.authority._lease_record import Call, LeaseRecord, Terms, Write
from pondhatch.store import NO_ERA, Position, position_of

#: Own writes that are recognised when they turn out to have taken effect late.
KEPT_NONCES = 8


class LeaseFacts(msgspec.Struct):
    """What a keeper remembers besides its state: what it saw, wrote, and may rely on."""

    router: str
    terms: Terms
    new_nonce: Callable[[], str]
    #: The record as last read or written, its version, and when it was first seen so.
    record: LeaseRecord | None = None
    version: Position | None = None
    seen_at: float = float("inf")
    #: When the next call is due.
    due_at: float = float("-inf")
    #: When the call that is under way was begun, and what it writes.
    began_at: float = 0.0
    writing: LeaseRecord | None = None
    #: When each of our writes that may have taken effect was begun, by nonce.
    began_by_nonce: dict[str, float] = msgspec.field(default_factory=dict)
    #: Highest fencing number that the lease had, or that an engine told of.
    highest: int = 0
    #: Until when this router holds the lease by its own clock, margin taken off.
    valid_until: float = float("-inf")
    #: From when on engines that ignore fencing numbers may be ordered.
    settled_at: float = float("-inf")
    #: How often the platform had come back from an older copy, and since when that is known.
    era: int = NO_ERA
    era_since: float = float("-inf")

    def is_unread(self) -> bool:
        """Return whether the lease has to be read before anything is decided."""
        return self.seen_at == float("inf")

    def note_era(self, era: int, now: float) -> bool:
        """Take in the platform's era; return whether it has begun since the last word.

        What the platform then holds of the lease is older than what was known, and says nothing:
        not that nobody holds it, and not that this router does.
        """
        if era <= self.era:
            return False
        self.era, self.era_since = era, now
        self.record, self.version = None, None
        self.valid_until = float("-inf")
        self.began_by_nonce.clear()
        self.read_again(now)
        return True

    def read_again(self, now: float) -> None:
        """Have the lease read at once."""
        self.seen_at = float("inf")
        self.due_at = now

    def see(self, record: LeaseRecord | None, version: Position | None, now: float) -> None:
        """Take in the lease as read, or as given up by a write; None where there is none."""
        if version != self.version or self.is_unread():
            self.seen_at = now
        self.record, self.version = record, version
        if record is not None:
            self.highest = max(self.highest, record.fencing)

    def see_malformed(self) -> None:
        """Take in that the lease as read makes no sense: nothing is known of it, but its numbers.

        It counts as unread, so that nobody claims it; once it is whole again its time is
        counted from there.
        """
        self.record, self.version = None, None
        self.seen_at = float("inf")
        self.began_by_nonce.clear()

    def hold(self, record: LeaseRecord, version: Position, began_at: float) -> None:
        """Take in that a write of ours, begun at a moment, is the lease's last."""
        self.record, self.version, self.seen_at = record, version, began_at
        self.valid_until = began_at + self.terms.duration - self.terms.margin

    def settle(self, began_at: float) -> None:
        """Work out from when on a new holder may order engines that ignore fencing numbers."""
        planned = self.record is None or self.record.released
        # Of an era that began just now, nobody knows whether the last holder stepped down; its
        # orders have ended once a lease's time and then this have passed.
        planned = planned and began_at >= self.era_settles_at() + self.terms.settle
        self.settled_at = float("-inf") if planned else began_at + self.terms.settle

    def era_settles_at(self) -> float:
        """Return from when on no lease of an era before can be held any more."""
        if self.era == NO_ERA:
            return float("-inf")
        return self.era_since + self.terms.duration

    def may_be_claimed(self, now: float) -> bool:
        """Return whether nobody holds the lease any more."""
        if now < self.era_settles_at():
            return False
        if self.record is None or self.record.released:
            return True
        return now >= self.seen_at + self.terms.duration

    def claim(self) -> Write:
        """Return the write that makes this router the holder."""
        known = self.record.fencing if self.record is not None else 0
        # Above all numbers of the eras before, also those that this router never heard of.
        fencing = max(known, self.highest, position_of(self.era, 0)) + 1
        return Write(LeaseRecord(self.router, fencing, self.new_nonce()), self.version)

    def renewal(self, held: LeaseRecord) -> Write:
        """Return the write that renews a held lease, its number above all that were seen."""
        fencing = self.highest + 1 if self.highest > held.fencing else held.fencing
        renewed = msgspec.structs.replace(held, nonce=self.new_nonce(), fencing=fencing)
        return Write(renewed, self.version)

    def release(self, held: LeaseRecord) -> Write:
        """Return the write that gives a held lease up."""
        released = msgspec.structs.replace(held, nonce=self.new_nonce(), released=True)
        return Write(released, self.version)

    def begin(self, call: Call, now: float, pause: float) -> Call:
        """Note that a call begins, the next one due after a pause; return the call."""
        self.began_at = now
        self.due_at = now + pause
        if isinstance(call, Write):
            self._note_write(call.record, now)
        return call

    def _note_write(self, record: LeaseRecord, now: float) -> None:
        self.writing = record
        if not record.released:
            self.began_by_nonce[record.nonce] = now
        while len(self.began_by_nonce) > KEPT_NONCES:
            del self.began_by_nonce[next(iter(self.began_by_nonce))]
