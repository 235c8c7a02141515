"""Reconnection: seeds and routers taken for dead are tried, so that a cut heals."""

from __future__ import annotations

import random

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._dissemination import Dissemination
from pondhatch.membership._member_table import Address, Entry, MemberTable
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._records import Sync


class Reconnection:
    """Greets addresses at which no live router is known, at intervals."""

    def __init__(
        self,
        table: MemberTable,
        dissemination: Dissemination,
        limits: MembershipLimits,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._dissemination = dissemination
        self._limits = limits
        self._rng = rng
        self._next_reconnect = float("-inf")

    def make_due(self) -> None:
        """Have the next try made without waiting for the interval."""
        self._next_reconnect = float("-inf")

    def contact_absent(self, seeds: tuple[Address, ...], now: float) -> list[Datagram]:
        """Speak to a seed or a router taken for dead: either may be behind a cut that healed."""
        is_alone = not any(entry.is_present for entry in self._table)
        if now < self._next_reconnect and not is_alone:
            return []
        self._next_reconnect = now + self._limits.reconnect_interval
        dead = {entry.address: entry for entry in self._table if not entry.is_present}
        absent = self._without_live_router({*seeds, *dead})
        if not absent:
            return []
        # One that knows nobody asks several: of a fleet that starts, some are not there yet.
        limit = self._limits.announcement_fanout if is_alone else 1
        chosen = self._rng.sample(absent, min(len(absent), limit))
        return [self._sync_request(address, dead.get(address)) for address in chosen]

    def _without_live_router(self, addresses: set[Address]) -> list[Address]:
        """Return those addresses, in order, at which neither this nor a live router is."""
        own_record = self._dissemination.own_record
        live = {entry.address for entry in self._table if entry.is_present}
        live.add(Address(own_record.host, own_record.port))
        return sorted(addresses - live, key=lambda each: (each.host, each.port))

    def _sync_request(self, address: Address, known: Entry | None) -> Datagram:
        """Ask for a whole view; a router taken for dead is told so, and can contradict."""
        own_record = self._dissemination.own_record
        about = (known.rumor(),) if known is not None else ()
        return datagram_to(address, Sync(own_record.router, True, (own_record, *about)))
