"""Full sync: two routers whose views of the fleet differ exchange them."""

from __future__ import annotations

import random

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._dissemination import Dissemination
from pondhatch.membership._member_table import Address, MemberTable
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._records import FullSyncPart


class FullSync:
    """Sends this router's whole view of the fleet, in parts that fit into a packet."""

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
        self._next_sync = float("-inf")

    def exchange_if_due(self, fingerprint: int, address: Address, now: float) -> list[Datagram]:
        """Return a full sync if the fingerprints differ and the last one is long enough ago."""
        if fingerprint == self._dissemination.fingerprint() or now < self._next_sync:
            return []
        self._next_sync = now + self._limits.sync_interval * self._rng.uniform(0.5, 1.5)
        return self.send(address, wants_reply=True)

    def send(self, address: Address, wants_reply: bool) -> list[Datagram]:
        """Return the packets with the whole view; ``wants_reply`` asks for the receiver's."""
        own_record = self._dissemination.own_record
        rumors = [own_record, *(entry.rumor() for entry in self._table)]
        size = self._limits.sync_part_rumors
        parts = [tuple(rumors[offset : offset + size]) for offset in range(0, len(rumors), size)]
        return [
            datagram_to(address, FullSyncPart(own_record.router, wants_reply and index == 0, part))
            for index, part in enumerate(parts)
        ]
