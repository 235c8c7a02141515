"""Reconnection: contacts seeds and dead routers, so that a partition heals."""

from __future__ import annotations

import random

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._dissemination import Dissemination
from pondhatch.membership._member_table import Address, Entry, MemberTable
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._records import FullSyncPart


class Reconnection:
    """Contacts addresses without a known live router, at intervals."""

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
        """Make the next attempt at once, without waiting for the interval."""
        self._next_reconnect = float("-inf")

    def contact_absent(self, seeds: tuple[Address, ...], now: float) -> list[Datagram]:
        """Return sync requests to a seed or dead router, either of which may be reachable again."""
        is_alone = not any(entry.is_present for entry in self._table)
        if now < self._next_reconnect and not is_alone:
            return []
        self._next_reconnect = now + self._limits.reconnect_interval
        dead = {entry.address: entry for entry in self._table if not entry.is_present}
        absent = self._without_live_router({*seeds, *dead})
        if not absent:
            return []
        # A router that knows no peer asks several: while a fleet starts, some are not up yet.
        limit = self._limits.announcement_fanout if is_alone else 1
        chosen = self._rng.sample(absent, min(len(absent), limit))
        return [self._sync_request(address, dead.get(address)) for address in chosen]

    def _without_live_router(self, addresses: set[Address]) -> list[Address]:
        """Return the addresses, sorted, that are neither this router's nor a live router's."""
        own_record = self._dissemination.own_record
        live = {entry.address for entry in self._table if entry.is_present}
        live.add(Address(own_record.host, own_record.port))
        return sorted(addresses - live, key=lambda each: (each.host, each.port))

    def _sync_request(self, address: Address, known: Entry | None) -> Datagram:
        """Return a request for a full sync; to a dead router with the rumor that it must refute."""
        own_record = self._dissemination.own_record
        about_receiver = (known.rumor(),) if known is not None else ()
        return datagram_to(
            address, FullSyncPart(own_record.router, True, (own_record, *about_receiver))
        )
