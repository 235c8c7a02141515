"""Dissemination: what this router says of itself, and the rumors it takes in and passes on."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._members import MemberView
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._records import Alive, Fault, News, Phase, Rumor, Versions
from pondhatch.membership._rumors import Rumors
from pondhatch.membership._table import Table


class Dissemination:
    """The record that this router keeps of itself, and the rumors that go with its packets."""

    def __init__(
        self,
        own: Alive,
        table: Table,
        view: MemberView,
        limits: MembershipLimits,
        rng: random.Random,
    ) -> None:
        #: What this router says of itself.
        self.own = own
        #: The versions that this router holds.
        self.versions = Versions()
        self._table = table
        self._view = view
        self._rng = rng
        self._news_fanout = limits.news_fanout
        self._rumors = Rumors(table, limits.rumors, limits.retellings)

    def publish(self, phase: Phase, versions: Versions, sees_platform: bool = True) -> None:
        """Set what this router says of itself; what its peers act by raises its incarnation."""
        self.versions = versions
        if (phase, sees_platform) != (self.own.phase, self.own.sees_platform):
            self.own = msgspec.structs.replace(self.own, sees_platform=sees_platform)
            self._raise_own(self.own.incarnation + 1, phase)

    def fingerprint(self) -> int:
        """Return the fingerprint of this router's view of the fleet."""
        return self._table.view(self.own)

    def rumors(self) -> tuple[Rumor, ...]:
        """Return a packet's rumors and count them as told."""
        return self._rumors.take(self.own)

    def rumors_for(self, receiver: int) -> tuple[Rumor, ...]:
        """Return a packet's rumors, with what is said of the receiver if it must answer that."""
        return self._rumors.take_for(receiver, self.own)

    def news(self) -> list[Datagram]:
        """Return packets that tell some peers at once what this router holds now."""
        message = News(self.own.router, self.versions, self.rumors())
        peers = self._view.sample(self._news_fanout, self._rng)
        return [datagram_to(address, message) for address in peers]

    def take_rumors(self, rumors: Iterable[Rumor], now: float) -> bool:
        """Take in rumors; return whether any was news."""
        news = False
        for rumor in rumors:
            about_own = rumor.router == self.own.router
            taken = self._answer_rumor(rumor) if about_own else self.take_rumor(rumor, now)
            news = news or taken
        return news

    def take_rumor(self, rumor: Rumor, now: float) -> bool:
        """Take in a rumor on another router and pass it on if it was news; return whether."""
        taken = (
            self._table.take_alive(rumor, now)
            if isinstance(rumor, Alive)
            else self._table.take_fault(rumor, now)
        )
        if taken:
            self._rumors.tell(rumor.router)
        return taken

    def spread_fault(self, fault: Fault, now: float) -> list[Datagram]:
        """Take in a fault that this router found; return packets that tell of it if it is news."""
        return self.news() if self.take_rumor(fault, now) else []

    def _answer_rumor(self, rumor: Rumor) -> bool:
        """Contradict a rumor that this router is gone, or one of an earlier life."""
        if rumor.incarnation < self.own.incarnation:
            return False
        if isinstance(rumor, Alive) and rumor.incarnation == self.own.incarnation:
            return False
        self._raise_own(rumor.incarnation + 1, Phase(self.own.phase))
        return True

    def _raise_own(self, incarnation: int, phase: Phase) -> None:
        self.own = msgspec.structs.replace(self.own, incarnation=incarnation, phase=phase)
        self._table.revision += 1
        self._rumors.tell(self.own.router)
