"""A lease as data: its record, its times, and the calls to the platform with their outcomes."""

from __future__ import annotations

import msgspec

from pondhatch.store import Accepted, Conflict, Found, Missing, OutcomeUnknown, Unavailable

#: Kind of the platform's objects that are leases.
LEASE_KIND = "pondhatch-lease"


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as it lies at the platform."""

    holder: str
    fencing: int
    #: Tells a write from every other write, so that a writer recognises its own.
    nonce: str
    #: Whether the holder stepped down.
    released: bool = False


class LeaseTimings(msgspec.Struct, frozen=True):
    """The times of a lease, in seconds. A holder keeps ``margin`` back for clocks that drift."""

    duration: float = 10.0
    renew_every: float = 3.0
    #: Between two reads of a candidate.
    read_every: float = 2.0
    clock_margin: float = 1.0
    #: An order is given up after so long; none is begun that could outlast the lease.
    order_timeout: float = 2.0
    #: How long a new holder lets engines alone that ignore fencing numbers, after an
    #: emergency: orders of the last holder that were under way have ended by then.
    unfenced_delay: float = 4.0


class ReadLease(msgspec.Struct, frozen=True):
    """Read the lease."""


class WriteLease(msgspec.Struct, frozen=True):
    """Write the lease, if it still has the version; None means if there is none."""

    record: LeaseRecord
    version: int | None


LeaseCall = ReadLease | WriteLease
WriteOutcome = Accepted | Conflict | OutcomeUnknown | Unavailable
ReadOutcome = Found | Missing | Unavailable
