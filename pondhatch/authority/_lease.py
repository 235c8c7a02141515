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

import msgspec

from pondhatch.authority._holding import new_holding
from pondhatch.authority._lease_facts import LeaseFacts
from pondhatch.authority._lease_record import (
    Call,
    LeaseRecord,
    Read,
    ReadOutcome,
    Terms,
    WriteOutcome,
)
from pondhatch.store import (
    Accepted,
    Conflict,
    Found,
    Missing,
    OutcomeUnknown,
    Unavailable,
    era_of,
)


class LeaseKeeper:
    """See the module; call ``due``, make the call it asks for, and tell what came of it."""

    def __init__(self, router: str, terms: Terms, new_nonce: Callable[[], str]) -> None:
        self._facts = LeaseFacts(router, terms, new_nonce)
        self._machine = new_holding()
        #: Why the lease as last read makes no sense; empty where it does.
        self.malformed = ""

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
        if facts.is_unread() or not facts.may_be_claimed(now):
            return facts.begin(Read(), now, facts.terms.read_every)
        return facts.begin(facts.claim(), now, facts.terms.read_every)

    def told_era(self, now: float, era: int) -> None:
        """Take in the platform's era, from whomever it was heard; a new one ends all orders."""
        if self._facts.note_era(era, now):
            self._machine.lost()

    def told_read(self, now: float, outcome: ReadOutcome) -> None:
        """Take in what a read showed."""
        facts = self._facts
        if isinstance(outcome, Unavailable):
            return
        as_of = outcome.as_of if isinstance(outcome, Missing) else outcome.object.version
        self.told_era(now, era_of(as_of))
        if era_of(as_of) < facts.era:
            return
        if isinstance(outcome, Missing):
            self.malformed = ""
            facts.see(None, None, now)
            self._machine.lost()
            facts.due_at = now
            return
        record = self._record_in(outcome)
        if record is None:
            # Who holds it, and under which number, is not known: nobody gives orders by it.
            facts.see_malformed()
            self._machine.lost()
            return
        facts.see(record, outcome.object.version, now)
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
        if isinstance(outcome, Accepted) and era_of(outcome.version) != facts.era:
            # Decided by what was known of another era.
            self.told_era(now, era_of(outcome.version))
            facts.read_again(now)
            return
        if isinstance(outcome, Accepted):
            if written.released:
                facts.see(written, outcome.version, now)
                self._machine.lost()
            else:
                self._won(written, outcome.version, facts.began_at)
            return
        if isinstance(outcome, Conflict | OutcomeUnknown):
            # Read back, and recognise the own write by its nonce.
            facts.read_again(now)
        if isinstance(outcome, Conflict):
            facts.valid_until = float("-inf")

    def told_number(self, highest: int) -> None:
        """Take in that an engine has seen a higher fencing number than this router's.

        A holder whose lease is its own still raises its number above; for another,
        that write conflicts, and it learns that it is the holder no longer.
        """
        self._facts.highest = max(self._facts.highest, highest)

    def _record_in(self, found: Found) -> LeaseRecord | None:
        """Return the lease as read, None where it makes no sense."""
        self.malformed = ""
        try:
            return msgspec.convert(found.object.value, LeaseRecord)
        except msgspec.ValidationError as error:
            self.malformed = str(error)
            return None

    def _due_as_holder(self, now: float, orders_under_way: bool) -> Call | None:
        facts = self._facts
        if facts.is_unread():
            return facts.begin(Read(), now, facts.terms.read_every) if now >= facts.due_at else None
        if facts.record is None:
            raise ValueError("a holder knows its record")
        if not self._machine.may_order():
            if orders_under_way or now < facts.due_at:
                return None
            return facts.begin(facts.release(facts.record), now, facts.terms.read_every)
        outnumbered = facts.highest > facts.record.fencing
        if now < facts.due_at and not outnumbered:
            return None
        return facts.begin(facts.renewal(facts.record), now, facts.terms.renew_every)

    def _won(self, record: LeaseRecord, version: int, began_at: float) -> None:
        """Take in that a write of ours, begun at a moment, is the lease's last."""
        if not self._machine.is_holder():
            self._facts.settle(began_at)
        self._machine.won()
        self._facts.hold(record, version, began_at)
