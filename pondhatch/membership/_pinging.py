"""The order in which routers are pinged, and the pings that wait for an ack."""

from __future__ import annotations

import random

import msgspec

from pondhatch.membership._member_table import Address, Entry, MemberTable

#: Seconds for which the ack of a ping on behalf of another router is forwarded.
RELAY_SECONDS = 1.0


class Probe(msgspec.Struct):
    """A ping that waits for its ack."""

    #: Short id of the pinged router.
    target: int
    number: int
    #: In the clock's seconds.
    sent_at: float
    #: Whether other routers were asked to ping as well.
    is_indirect: bool = False


class PingRotation:
    """Iterates over the routers that are present, in a new random order for each round."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng
        #: Short ids of the routers left in this round, the next one last.
        self._remaining: list[int] = []

    def make_next(self, router: int) -> None:
        """Make a router the next one, whether or not it was pinged in this round."""
        self._remaining.append(router)

    def next(self) -> Entry | None:
        """Return the next router that is present, or None if there is none."""
        for _ in range(2):
            while self._remaining:
                entry = self._table.get(self._remaining.pop())
                if entry is not None and entry.is_present:
                    return entry
            self._remaining = [entry.alive.router for entry in self._table if entry.is_present]
            self._rng.shuffle(self._remaining)
        return None


class RelayedPing(msgspec.Struct, frozen=True):
    """A ping sent on behalf of another router."""

    #: The router that asked for it.
    asker: Address
    #: The asker's number of its own ping.
    number: int
    #: Until when the ack is forwarded, in the clock's seconds.
    until: float


class Relays:
    """The pings sent on behalf of other routers, by the number of the ping."""

    def __init__(self) -> None:
        self._relayed_by_number: dict[int, RelayedPing] = {}

    def record(self, number: int, asker: Address, askers_number: int, now: float) -> None:
        """Record a ping on behalf of another router, and drop expired ones."""
        self._relayed_by_number = {
            relayed_number: relayed
            for relayed_number, relayed in self._relayed_by_number.items()
            if relayed.until > now
        }
        self._relayed_by_number[number] = RelayedPing(asker, askers_number, now + RELAY_SECONDS)

    def take_answered(self, number: int, now: float) -> RelayedPing | None:
        """Remove and return an acknowledged ping, or None if unknown or expired."""
        relayed = self._relayed_by_number.pop(number, None)
        return relayed if relayed is not None and relayed.until > now else None
