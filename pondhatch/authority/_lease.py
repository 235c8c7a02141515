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

from pondhatch.authority._lease_facts import LeaseFacts
from pondhatch.authority._lease_record import (
    LeaseCall,
    LeaseRecord,
    LeaseTimings,
    ReadLease,
    ReadOutcome,
    WriteOutcome,
)
from pondhatch.authority._lease_state import new_lease_state
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

    def __init__(self, router: str, timings: LeaseTimings, new_nonce: Callable[[], str]) -> None:
        self._facts = LeaseFacts(router, timings, new_nonce)
        self._state = new_lease_state()
        #: Why the lease as last read makes no sense; empty where it does.
        self.malformed_reason = ""

    @property
    def record(self) -> LeaseRecord | None:
        """The lease as last seen."""
        return self._facts.record

    @property
    def order_timeout(self) -> float:
        """Seconds after which an order is to be given up."""
        return self._facts.timings.order_timeout

    def is_holder(self) -> bool:
        """Return whether this router is the holder, as far as it knows; see fencing."""
        return self._state.is_holder()

    def order_fencing(self, now: float, checks_fencing: bool) -> int | None:
        """Return the number under which an order may be begun now, or None."""
        facts = self._facts
        if facts.record is None or not self._state.may_order():
            return None
        if facts.highest_fencing > facts.record.fencing:
            return None
        if now + facts.timings.order_timeout > facts.valid_until:
            return None
        if not checks_fencing and now < facts.unfenced_from:
            return None
        return facts.record.fencing

    def next_call(self, now: float, should_hold: bool, orders_in_flight: bool) -> LeaseCall | None:
        """Return the call to make now, if any; ``wanted`` says whether to be the holder."""
        facts = self._facts
        if not should_hold and self._state.may_order():
            self._state.step_down()
            facts.next_call_at = now
        if self._state.is_holder():
            return self._next_call_as_holder(now, orders_in_flight)
        if not should_hold or now < facts.next_call_at:
            return None
        if facts.needs_read() or not facts.may_be_claimed(now):
            return facts.start_call(ReadLease(), now, facts.timings.read_every)
        return facts.start_call(facts.claim(), now, facts.timings.read_every)

    def observe_era(self, now: float, era: int) -> None:
        """Take in the platform's era, from whomever it was heard; a new one ends all orders."""
        if self._facts.observe_era(era, now):
            self._state.lost()

    def handle_read(self, now: float, outcome: ReadOutcome) -> None:
        """Take in what a read showed."""
        facts = self._facts
        if isinstance(outcome, Unavailable):
            return
        as_of = outcome.as_of if isinstance(outcome, Missing) else outcome.object.version
        self.observe_era(now, era_of(as_of))
        if era_of(as_of) < facts.era:
            return
        if isinstance(outcome, Missing):
            self.malformed_reason = ""
            facts.set_observed(None, None, now)
            self._state.lost()
            facts.next_call_at = now
            return
        record = self._decode_record(outcome)
        if record is None:
            # Who holds it, and under which number, is not known: nobody gives orders by it.
            facts.set_malformed()
            self._state.lost()
            return
        facts.set_observed(record, outcome.object.version, now)
        started_at = facts.started_by_nonce.get(record.nonce)
        if record.holder != facts.router or started_at is None or record.released:
            facts.started_by_nonce.clear()
            self._state.lost()
            # Who stepped down need not be waited for.
            facts.next_call_at = now if record.released else facts.next_call_at
            return
        self._acquired(record, outcome.object.version, started_at)

    def handle_write(self, now: float, outcome: WriteOutcome) -> None:
        """Take in what came of a write."""
        facts = self._facts
        written = facts.pending_write
        if written is None:
            raise ValueError("no write was under way")
        facts.pending_write = None
        if isinstance(outcome, Accepted) and era_of(outcome.version) != facts.era:
            # Decided by what was known of another era.
            self.observe_era(now, era_of(outcome.version))
            facts.require_read(now)
            return
        if isinstance(outcome, Accepted):
            if written.released:
                facts.set_observed(written, outcome.version, now)
                self._state.lost()
            else:
                self._acquired(written, outcome.version, facts.call_started_at)
            return
        if isinstance(outcome, Conflict | OutcomeUnknown):
            # Read back, and recognise the own write by its nonce.
            facts.require_read(now)
        if isinstance(outcome, Conflict):
            facts.valid_until = float("-inf")

    def observe_fencing(self, highest: int) -> None:
        """Take in that an engine has seen a higher fencing number than this router's.

        A holder whose lease is its own still raises its number above; for another,
        that write conflicts, and it learns that it is the holder no longer.
        """
        self._facts.highest_fencing = max(self._facts.highest_fencing, highest)

    def _decode_record(self, found: Found) -> LeaseRecord | None:
        """Return the lease as read, None where it makes no sense."""
        self.malformed_reason = ""
        try:
            return msgspec.convert(found.object.value, LeaseRecord)
        except msgspec.ValidationError as error:
            self.malformed_reason = str(error)
            return None

    def _next_call_as_holder(self, now: float, orders_in_flight: bool) -> LeaseCall | None:
        facts = self._facts
        if facts.needs_read():
            return (
                facts.start_call(ReadLease(), now, facts.timings.read_every)
                if now >= facts.next_call_at
                else None
            )
        if facts.record is None:
            raise ValueError("a holder knows its record")
        if not self._state.may_order():
            if orders_in_flight or now < facts.next_call_at:
                return None
            return facts.start_call(facts.release(facts.record), now, facts.timings.read_every)
        fencing_too_low = facts.highest_fencing > facts.record.fencing
        if now < facts.next_call_at and not fencing_too_low:
            return None
        return facts.start_call(facts.renewal(facts.record), now, facts.timings.renew_every)

    def _acquired(self, record: LeaseRecord, version: int, started_at: float) -> None:
        """Take in that a write of ours, begun at a moment, is the lease's last."""
        if not self._state.is_holder():
            self._facts.set_unfenced_from(started_at)
        self._state.acquired()
        self._facts.set_held(record, version, started_at)
