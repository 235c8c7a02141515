"""One router's part in one lease at the platform, as a machine without I/O.

A lease is an object that its holder rewrites every few seconds. Nobody compares
clocks: a holder counts from before the call that renewed it, a candidate from
after the read that first showed the renewal, so a candidate always waits longer.
Each new holder raises the fencing number by one, in the write that makes it the
holder.

A planned change of holder is told from an emergency: a holder that steps down
first stops giving orders, then marks the lease as released, and the next one
takes it at once. Where a holder was lost, the next one waits for the lease to
lapse, and longer still before it orders engines that ignore fencing numbers.
The split is that of Vitess's planned and emergency reparenting.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from pondhatch.authority._holding import new_holding
from pondhatch.store import (
    Accepted,
    Conflict,
    Found,
    Missing,
    OutcomeUnknown,
    Unavailable,
)

#: Kind of the platform's objects that are leases.
LEASE_KIND = "pondhatch-lease"
#: Own writes that are recognised when they turn out to have taken effect late.
KEPT_NONCES = 8


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as it lies at the platform."""

    holder: str
    fencing: int
    #: Tells a write from every other write, so that a writer recognises its own.
    nonce: str
    #: Whether the holder stepped down.
    released: bool = False


@dataclass(frozen=True)
class Terms:
    """The times of a lease, in seconds. A holder keeps ``margin`` back for clocks that drift."""

    duration: float = 10.0
    renew_every: float = 3.0
    #: Between two reads of a candidate.
    read_every: float = 2.0
    margin: float = 1.0
    #: An order is given up after so long; none is begun that could outlast the lease.
    order_seconds: float = 2.0
    #: How long a new holder lets engines alone that ignore fencing numbers, after an
    #: emergency: orders of the last holder that were under way have ended by then.
    settle: float = 4.0


@dataclass(frozen=True)
class Read:
    """Read the lease."""


@dataclass(frozen=True)
class Write:
    """Write the lease, if it still has the version; None means if there is none."""

    record: LeaseRecord
    version: int | None


Call = Read | Write
WriteOutcome = Accepted | Conflict | OutcomeUnknown | Unavailable
ReadOutcome = Found | Missing | Unavailable


@dataclass
class _Facts:
    """What a keeper remembers besides its state."""

    router: str
    terms: Terms
    new_nonce: Callable[[], str]
    #: The record as last read or written, its version, and when it was first seen so.
    record: LeaseRecord | None = None
    version: int | None = None
    seen_at: float = float("inf")
    #: When the next call is due.
    due_at: float = float("-inf")
    #: When the call that is under way was begun, and what it writes.
    began_at: float = 0.0
    writing: LeaseRecord | None = None
    #: When each of our writes that may have taken effect was begun, by nonce.
    began_by_nonce: dict[str, float] = field(default_factory=dict)
    #: Highest fencing number that the lease had, or that an engine told of.
    highest: int = 0
    #: Until when this router holds the lease by its own clock, margin taken off.
    valid_until: float = float("-inf")
    #: From when on engines that ignore fencing numbers may be ordered.
    settled_at: float = float("-inf")


class LeaseKeeper:
    """See the module; call ``due``, make the call it asks for, and tell what came of it."""

    def __init__(self, router: str, terms: Terms, new_nonce: Callable[[], str]) -> None:
        self._facts = _Facts(router, terms, new_nonce)
        self._machine = new_holding()

    @property
    def record(self) -> LeaseRecord | None:
        """The lease as last seen."""
        return self._facts.record

    @property
    def order_seconds(self) -> float:
        """Seconds after which an order is to be given up."""
        return self._facts.terms.order_seconds

    def is_holder(self) -> bool:
        """Return whether this router is the holder, as far as it knows; see fencing."""
        return self._machine.is_holder()

    def fencing(self, now: float, checks_fencing: bool) -> int | None:
        """Return the number under which an order may be begun now, or None."""
        facts = self._facts
        if facts.record is None or not self._machine.may_order():
            return None
        if facts.highest > facts.record.fencing:
            return None
        if now + facts.terms.order_seconds > facts.valid_until:
            return None
        if not checks_fencing and now < facts.settled_at:
            return None
        return facts.record.fencing

    def due(self, now: float, wanted: bool, orders_under_way: bool) -> Call | None:
        """Return the call to make now, if any; ``wanted`` says whether to be the holder."""
        facts = self._facts
        if not wanted and self._machine.may_order():
            self._machine.step_down()
            facts.due_at = now
        if self._machine.is_holder():
            return self._due_as_holder(now, orders_under_way)
        if not wanted or now < facts.due_at:
            return None
        if facts.seen_at == float("inf") or not self._may_claim(now):
            return self._begin(Read(), now, facts.terms.read_every)
        return self._begin(self._claim(), now, facts.terms.read_every)

    def told_read(self, now: float, outcome: ReadOutcome) -> None:
        """Take in what a read showed."""
        facts = self._facts
        if isinstance(outcome, Unavailable):
            return
        if isinstance(outcome, Missing):
            self._see(None, None, now)
            self._machine.lost()
            facts.due_at = now
            return
        record = msgspec.convert(outcome.object.value, LeaseRecord)
        self._see(record, outcome.object.version, now)
        began_at = facts.began_by_nonce.get(record.nonce)
        if record.holder != facts.router or began_at is None or record.released:
            facts.began_by_nonce.clear()
            self._machine.lost()
            # Who stepped down need not be waited for.
            facts.due_at = now if record.released else facts.due_at
            return
        self._won(record, outcome.object.version, began_at)

    def told_write(self, now: float, outcome: WriteOutcome) -> None:
        """Take in what came of a write."""
        facts = self._facts
        written = facts.writing
        if written is None:
            raise ValueError("no write was under way")
        facts.writing = None
        if isinstance(outcome, Accepted):
            if written.released:
                self._see(written, outcome.version, now)
                self._machine.lost()
            else:
                self._won(written, outcome.version, facts.began_at)
            return
        if isinstance(outcome, Conflict | OutcomeUnknown):
            # Read back, and recognise the own write by its nonce.
            facts.seen_at = float("inf")
            facts.due_at = now
        if isinstance(outcome, Conflict):
            facts.valid_until = float("-inf")

    def told_number(self, highest: int) -> None:
        """Take in that an engine has seen a higher fencing number than this router's.

        A holder whose lease is its own still raises its number above; for another,
        that write conflicts, and it learns that it is the holder no longer.
        """
        self._facts.highest = max(self._facts.highest, highest)

    def _due_as_holder(self, now: float, orders_under_way: bool) -> Call | None:
        facts = self._facts
        if facts.seen_at == float("inf"):
            return self._begin(Read(), now, facts.terms.read_every) if now >= facts.due_at else None
        if facts.record is None:
            raise ValueError("a holder knows its record")
        if not self._machine.may_order():
            if orders_under_way or now < facts.due_at:
                return None
            released = msgspec.structs.replace(facts.record, nonce=facts.new_nonce(), released=True)
            return self._begin(Write(released, facts.version), now, facts.terms.read_every)
        outnumbered = facts.highest > facts.record.fencing
        if now < facts.due_at and not outnumbered:
            return None
        fencing = facts.highest + 1 if outnumbered else facts.record.fencing
        renewed = msgspec.structs.replace(facts.record, nonce=facts.new_nonce(), fencing=fencing)
        return self._begin(Write(renewed, facts.version), now, facts.terms.renew_every)

    def _may_claim(self, now: float) -> bool:
        """Return whether nobody holds the lease any more."""
        facts = self._facts
        if facts.record is None or facts.record.released:
            return True
        return now >= facts.seen_at + facts.terms.duration

    def _claim(self) -> Write:
        facts = self._facts
        known = facts.record.fencing if facts.record is not None else 0
        fencing = max(known, facts.highest) + 1
        return Write(LeaseRecord(facts.router, fencing, facts.new_nonce()), facts.version)

    def _begin(self, call: Call, now: float, pause: float) -> Call:
        facts = self._facts
        facts.began_at = now
        facts.due_at = now + pause
        if isinstance(call, Write):
            facts.writing = call.record
            if not call.record.released:
                facts.began_by_nonce[call.record.nonce] = now
            while len(facts.began_by_nonce) > KEPT_NONCES:
                del facts.began_by_nonce[next(iter(facts.began_by_nonce))]
        return call

    def _see(self, record: LeaseRecord | None, version: int | None, now: float) -> None:
        facts = self._facts
        if version != facts.version or facts.seen_at == float("inf"):
            facts.seen_at = now
        facts.record, facts.version = record, version
        if record is not None:
            facts.highest = max(facts.highest, record.fencing)

    def _won(self, record: LeaseRecord, version: int, began_at: float) -> None:
        """Take in that a write of ours, begun at a moment, is the lease's last."""
        facts = self._facts
        terms = facts.terms
        if not self._machine.is_holder():
            planned = facts.record is None or facts.record.released
            facts.settled_at = float("-inf") if planned else began_at + terms.settle
        self._machine.won()
        facts.record, facts.version, facts.seen_at = record, version, began_at
        facts.valid_until = began_at + terms.duration - terms.margin
