"""Dissemination: what this router says of itself, and the rumors it takes in and passes on."""

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
    """The record that this router keeps of itself, and the rumors that go with its packets."""

    def __init__(
        self,
        own: Alive,
        table: MemberTable,
        view: MemberView,
        limits: MembershipLimits,
        rng: random.Random,
    ) -> None:
        #: What this router says of itself.
        self.own_record = own
        #: The versions that this router holds.
        self.versions = Versions()
        self._table = table
        self._view = view
        self._rng = rng
        self._announcement_fanout = limits.announcement_fanout
        self._rumors = RumorQueue(table, limits.max_rumors, limits.rumor_repeats)

    def publish(self, phase: Phase, versions: Versions, sees_platform: bool = True) -> None:
        """Set what this router says of itself; what its peers act by raises its incarnation."""
        self.versions = versions
        if (phase, sees_platform) != (self.own_record.phase, self.own_record.sees_platform):
            self.own_record = msgspec.structs.replace(self.own_record, sees_platform=sees_platform)
            self._raise_incarnation(self.own_record.incarnation + 1, phase)

    def fingerprint(self) -> int:
        """Return the fingerprint of this router's view of the fleet."""
        return self._table.view_fingerprint(self.own_record)

    def next_rumors(self) -> tuple[Rumor, ...]:
        """Return a packet's rumors and count them as told."""
        return self._rumors.next_batch(self.own_record)

    def next_rumors_for(self, receiver: int) -> tuple[Rumor, ...]:
        """Return a packet's rumors, with what is said of the receiver if it must answer that."""
        return self._rumors.next_batch_for(receiver, self.own_record)

    def announcements(self) -> list[Datagram]:
        """Return packets that tell some peers at once what this router holds now."""
        message = Announcement(self.own_record.router, self.versions, self.next_rumors())
        peers = self._view.sample(self._announcement_fanout, self._rng)
        return [datagram_to(address, message) for address in peers]

    def apply_rumors(self, rumors: Iterable[Rumor], now: float) -> bool:
        """Take in rumors; return whether any was news."""
        has_changed = False
        for rumor in rumors:
            is_about_self = rumor.router == self.own_record.router
            is_new = self._refute(rumor) if is_about_self else self.apply_rumor(rumor, now)
            has_changed = has_changed or is_new
        return has_changed

    def apply_rumor(self, rumor: Rumor, now: float) -> bool:
        """Take in a rumor on another router and pass it on if it was news; return whether."""
        is_new = (
            self._table.apply_alive(rumor, now)
            if isinstance(rumor, Alive)
            else self._table.apply_fault(rumor, now)
        )
        if is_new:
            self._rumors.enqueue(rumor.router)
        return is_new

    def spread_fault(self, fault: Fault, now: float) -> list[Datagram]:
        """Take in a fault that this router found; return packets that tell of it if it is news."""
        return self.announcements() if self.apply_rumor(fault, now) else []

    def _refute(self, rumor: Rumor) -> bool:
        """Contradict a rumor that this router is gone, or one of an earlier life."""
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
