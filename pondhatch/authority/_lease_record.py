"""Data of a lease: its record, its timings, and the calls to the platform with outcomes."""

from __future__ import annotations

import msgspec

from pondhatch.store import Accepted, Conflict, Found, Missing, OutcomeUnknown, Unavailable

#: Kind of the objects at the platform that hold leases.
LEASE_KIND = "pondhatch-lease"


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as stored at the platform."""

    holder: str
    fencing: int
    #: Unique per write, so that a writer recognises its own.
    nonce: str
    #: Whether the holder stepped down and released the lease.
    released: bool = False


class LeaseTimings(msgspec.Struct, frozen=True):
    """The timings of a lease, in seconds.

    A holder stops using the lease ``clock_margin`` early, because clocks drift.
    """

    duration: float = 10.0
    renew_every: float = 3.0
    #: Interval between two reads by a candidate.
    read_every: float = 2.0
    clock_margin: float = 1.0
    #: Timeout of an order; no order is sent that could outlast the lease.
    order_timeout: float = 2.0
    #: Delay before a new holder orders engines that ignore fencing numbers, unless the last holder
    #: is known to have released the lease. After it, orders of the last holder that were in flight
    #: have ended.
    unfenced_delay: float = 4.0


class ReadLease(msgspec.Struct, frozen=True):
    """Read the lease."""


class WriteLease(msgspec.Struct, frozen=True):
    """Write the lease if it still has ``version``."""

    record: LeaseRecord
    #: Version that the lease must still have; None if there must be no lease yet.
    version: int | None


LeaseCall = ReadLease | WriteLease
WriteOutcome = Accepted | Conflict | OutcomeUnknown | Unavailable
ReadOutcome = Found | Missing | Unavailable
