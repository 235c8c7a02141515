"""One router's part in one lease at the platform, without I/O.

A lease is an object that its holder rewrites every few seconds. No clocks are
compared between routers: a holder measures the duration from before the call
that renewed the lease, a candidate from after the read that first showed the
renewal, so the candidate always waits longer. Each new holder raises the
fencing number by at least one, in the write that makes it the holder.

A planned change of holder differs from an emergency. A holder that steps down
stops giving orders and then marks the lease as released, and the next one
claims it at once. After a holder was lost, the next one waits for the lease to
expire, and longer still before it orders engines that ignore fencing numbers.
Vitess distinguishes planned and emergency reparenting in the same way.
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
    """Decides on one router's calls for one lease; see the module.

    Make the call that ``next_call`` returns, and pass its outcome to ``handle_read`` or
    ``handle_write``.
    """

    def __init__(self, router: str, timings: LeaseTimings, new_nonce: Callable[[], str]) -> None:
        self._facts = LeaseFacts(router, timings, new_nonce)
        self._state = new_lease_state()
        #: Why the lease as last read could not be decoded; empty if it could.
        self.malformed_reason = ""

    @property
    def record(self) -> LeaseRecord | None:
        """The lease as last read or written; None if there is none or it is unknown."""
        return self._facts.record

    @property
    def order_timeout(self) -> float:
        """Timeout of an order, in seconds."""
        return self._facts.timings.order_timeout

    def is_holder(self) -> bool:
        """Return whether this router is the holder, as far as it knows; see ``order_fencing``."""
        return self._state.is_holder()

    def order_fencing(self, now: float, checks_fencing: bool) -> int | None:
        """Return the fencing number for an order sent now, or None if none may be sent.

        ``checks_fencing`` says whether the engine refuses old fencing numbers.
        """
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
        """Return the call to make now, if any.

        ``should_hold`` says whether this router should be the holder.
        """
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
        """Apply the platform's era, from any source; in a new one this router holds no lease."""
        if self._facts.observe_era(era, now):
            self._state.lost()

    def handle_read(self, now: float, outcome: ReadOutcome) -> None:
        """Apply the outcome of a read."""
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
            # The holder and the fencing number are unknown, so no router may give orders.
            facts.set_malformed()
            self._state.lost()
            return
        facts.set_observed(record, outcome.object.version, now)
        started_at = facts.started_by_nonce.get(record.nonce)
        if record.holder != facts.router or started_at is None or record.released:
            facts.started_by_nonce.clear()
            self._state.lost()
            # A released lease can be claimed at once.
            facts.next_call_at = now if record.released else facts.next_call_at
            return
        self._record_acquired(record, outcome.object.version, started_at)

    def handle_write(self, now: float, outcome: WriteOutcome) -> None:
        """Apply the outcome of a write. Raises ValueError if no write is in flight."""
        facts = self._facts
        written = facts.pending_write
        if written is None:
            raise ValueError("no write is in flight")
        facts.pending_write = None
        if isinstance(outcome, Accepted) and era_of(outcome.version) != facts.era:
            # The write was based on what was known in another era.
            self.observe_era(now, era_of(outcome.version))
            facts.require_read(now)
            return
        if isinstance(outcome, Accepted):
            if written.released:
                facts.set_observed(written, outcome.version, now)
                self._state.lost()
            else:
                self._record_acquired(written, outcome.version, facts.call_started_at)
            return
        if isinstance(outcome, Conflict | OutcomeUnknown):
            # Read the lease back; the nonce shows whether this write took effect.
            facts.require_read(now)
        if isinstance(outcome, Conflict):
            facts.valid_until = float("-inf")

    def observe_fencing(self, highest: int) -> None:
        """Apply an engine's highest fencing number, which is higher than this router's.

        A router that still holds the lease then raises its own number above it. If the router
        has lost the lease, its write conflicts, and so it learns of the loss.
        """
        self._facts.highest_fencing = max(self._facts.highest_fencing, highest)

    def _decode_record(self, found: Found) -> LeaseRecord | None:
        """Return the lease as read, or None if it cannot be decoded."""
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
            raise ValueError("the holder has no record of its lease")
        if not self._state.may_order():
            if orders_in_flight or now < facts.next_call_at:
                return None
            return facts.start_call(facts.release(facts.record), now, facts.timings.read_every)
        fencing_too_low = facts.highest_fencing > facts.record.fencing
        if now < facts.next_call_at and not fencing_too_low:
            return None
        return facts.start_call(facts.renewal(facts.record), now, facts.timings.renew_every)

    def _record_acquired(self, record: LeaseRecord, version: int, started_at: float) -> None:
        """Record that this router holds the lease, by a write started at ``started_at``."""
        if not self._state.is_holder():
            self._facts.set_unfenced_from(started_at)
        self._state.acquired()
        self._facts.set_held(record, version, started_at)
