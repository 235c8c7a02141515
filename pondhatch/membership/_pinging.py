"""Whom a router pings, and the pings whose answers it waits for, its own and others'."""

from __future__ import annotations

import random

import msgspec

from pondhatch.membership._member_table import Address, Entry, MemberTable

#: Seconds for which the answer to a ping made for another router is passed on.
RELAY_SECONDS = 1.0


class Probe(msgspec.Struct):
    """The ping that waits for its answer."""

    target: int
    number: int
    sent_at: float
    #: Whether others were asked to ping as well.
    is_indirect: bool = False


class PingRotation:
    """Goes round the routers that are there, in an order shuffled anew each time."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        #: Short ids of those still to come, the next one last.
        self._remaining: list[int] = []

    def put_first(self, router: int) -> None:
        """Have a router come next, whether or not it had its turn."""
        self._remaining.append(router)

    def next(self) -> Entry | None:
        """Return the next router that is there."""
        for _ in range(2):
            while self._remaining:
                entry = self._table.get(self._remaining.pop())
                if entry is not None and entry.is_present:
                    return entry
            self._remaining = [entry.alive.router for entry in self._table if entry.is_present]
            self._rng.shuffle(self._remaining)
        return None


class RelayedPing(msgspec.Struct, frozen=True):
    """A ping made for another router."""

    asker: Address
    #: The number that the asker gave its own ping.
    number: int
    until: float


class Relays:
    """The pings made for other routers, by the number of the ping."""

    def __init__(self) -> None:
        self._relayed_by_number: dict[int, RelayedPing] = {}

    def record(self, number: int, asker: Address, askers_number: int, now: float) -> None:
        """Note a ping made for another router, and forget those that nobody waits for."""
        self._relayed_by_number = {
            made: relayed
            for made, relayed in self._relayed_by_number.items()
            if relayed.until > now
        }
        self._relayed_by_number[number] = RelayedPing(asker, askers_number, now + RELAY_SECONDS)

    def take_answered(self, number: int, now: float) -> RelayedPing | None:
        """Return for whom an answered ping was made, where its answer is still waited for."""
        relayed = self._relayed_by_number.pop(number, None)
        return relayed if relayed is not None and relayed.until > now else None
