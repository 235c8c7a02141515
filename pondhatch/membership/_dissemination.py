"""Dissemination: this router's own record, and the rumors that it applies and passes on."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._member_table import MemberTable
from pondhatch.membership._members import MemberView
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._records import Alive, Announcement, Fault, Phase, Rumor, Versions
from pondhatch.membership._rumors import RumorQueue


class Dissemination:
    """Keeps this router's own record, and the rumors that are piggybacked on its packets."""

    def __init__(
        self,
        own: Alive,
        table: MemberTable,
        view: MemberView,
        limits: MembershipLimits,
        rng: random.Random,
    ) -> None:
        #: The record that this router publishes about itself.
        self.own_record = own
        #: The versions of the data that this router holds.
        self.versions = Versions()
        self._table = table
        self._view = view
        self._rng = rng
        self._announcement_fanout = limits.announcement_fanout
        self._rumors = RumorQueue(table, limits.max_rumors, limits.rumor_repeats)

    def publish(self, phase: Phase, versions: Versions, sees_platform: bool = True) -> None:
        """Update this router's own record and versions.

        A change of the phase or of ``sees_platform``, which peers act upon, raises the incarnation.
        """
        self.versions = versions
        if (phase, sees_platform) != (self.own_record.phase, self.own_record.sees_platform):
            self.own_record = msgspec.structs.replace(self.own_record, sees_platform=sees_platform)
            self._raise_incarnation(self.own_record.incarnation + 1, phase)

    def fingerprint(self) -> int:
        """Return the fingerprint of this router's view of the fleet."""
        return self._table.view_fingerprint(self.own_record)

    def next_rumors(self) -> tuple[Rumor, ...]:
        """Return the rumors for a packet and count them as sent."""
        return self._rumors.next_batch(self.own_record)

    def next_rumors_for(self, receiver: int) -> tuple[Rumor, ...]:
        """Return the rumors for a packet, with a rumor about the receiver that it must refute."""
        return self._rumors.next_batch_for(receiver, self.own_record)

    def announcements(self) -> list[Datagram]:
        """Return packets that announce this router's versions and rumors to some peers at once."""
        message = Announcement(self.own_record.router, self.versions, self.next_rumors())
        peers = self._view.sample(self._announcement_fanout, self._rng)
        return [datagram_to(address, message) for address in peers]

    def apply_rumors(self, rumors: Iterable[Rumor], now: float) -> bool:
        """Apply rumors; return whether any was new."""
        has_changed = False
        for rumor in rumors:
            is_about_self = rumor.router == self.own_record.router
            is_new = self._refute(rumor) if is_about_self else self.apply_rumor(rumor, now)
            has_changed = has_changed or is_new
        return has_changed

    def apply_rumor(self, rumor: Rumor, now: float) -> bool:
        """Apply a rumor about another router, pass it on if it was new; return whether it was."""
        is_new = (
            self._table.apply_alive(rumor, now)
            if isinstance(rumor, Alive)
            else self._table.apply_fault(rumor, now)
        )
        if is_new:
            self._rumors.enqueue(rumor.router)
        return is_new

    def spread_fault(self, fault: Fault, now: float) -> list[Datagram]:
        """Apply a fault that this router detected; return the announcements if it was new."""
        return self.announcements() if self.apply_rumor(fault, now) else []

    def _refute(self, rumor: Rumor) -> bool:
        """Refute a rumor that this router is suspect or dead, or a record of an earlier process.

        Returns whether the incarnation was raised for that.
        """
        if rumor.incarnation < self.own_record.incarnation:
            return False
        if isinstance(rumor, Alive) and rumor.incarnation == self.own_record.incarnation:
            return False
        self._raise_incarnation(rumor.incarnation + 1, Phase(self.own_record.phase))
        return True

    def _raise_incarnation(self, incarnation: int, phase: Phase) -> None:
        self.own_record = msgspec.structs.replace(
            self.own_record, incarnation=incarnation, phase=phase
        )
        self._table.revision += 1
        self._rumors.enqueue(self.own_record.router)
