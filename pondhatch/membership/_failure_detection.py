"""Failure detection: pings, indirect pings through others, suspicion, and death.

One router is pinged at a time. Where no answer comes, some others are asked to ping it;
where none comes to them either, it is suspected, and counts as dead unless it contradicts.
"""

from __future__ import annotations

import random

import msgspec

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._dissemination import Dissemination
from pondhatch.membership._members import MemberView
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._pinging import Probe, Relays, Round
from pondhatch.membership._records import Ack, Fault, Ping, PingFor, Status
from pondhatch.membership._table import Address, Table

#: Share of the ping interval after which a router that did not answer is suspected: before
#: the next ping is due.
ANSWER_SHARE = 0.95


class FailureDetector:
    """Pings the other routers in turn, and finds those that do not answer."""

    def __init__(
        self,
        table: Table,
        view: MemberView,
        dissemination: Dissemination,
        limits: MembershipLimits,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._view = view
        self._dissemination = dissemination
        self._limits = limits
        self._rng = rng
        self._round = Round(table, rng)
        #: Number of the last ping sent.
        self._number = 0
        self._probe: Probe | None = None
        self._relays = Relays()

    def put_first(self, router: int) -> None:
        """Have a router pinged next."""
        self._round.put_first(router)

    def ping_next(self, now: float) -> list[Datagram]:
        """Return the ping to the next router in turn; none where no other is there."""
        target = self._round.next()
        if target is None:
            return []
        self._number += 1
        self._probe = Probe(target.alive.router, self._number, now)
        return [self._ping(target.address, self._number)]

    def check_probe(self, now: float) -> list[Datagram]:
        """Ask others to ping where no answer came, then suspect."""
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent_at
        if waited >= self._limits.ping_interval * ANSWER_SHARE:
            self._probe = None
            return self._suspect(probe.target, now)
        if waited < self._limits.direct_timeout or probe.helped:
            return []
        probe.helped = True
        asked = PingFor(self._dissemination.own.router, probe.number, probe.target)
        helpers = self._view.sample(self._limits.helpers, self._rng, but=probe.target)
        return [datagram_to(helper, asked) for helper in helpers]

    def bury_suspects(self, now: float) -> None:
        """Count those as dead that were suspected for too long."""
        suspects = [self._table.entry_by_id[router] for router in self._table.suspects]
        overdue = [entry for entry in suspects if now - entry.since > self._limits.suspicion]
        for entry in overdue:
            fault = Fault(entry.alive.router, entry.alive.incarnation, Status.DEAD)
            self._dissemination.take_rumor(fault, now)

    def take_ack(self, ack: Ack) -> bool:
        """Take in an answer; return whether it is the one that this router waits for."""
        probe = self._probe
        if probe is None or probe.number != ack.number:
            return False
        self._probe = None
        if not probe.helped:
            self._view.reached(ack.sender)
        return True

    def ping_for(self, asked: PingFor, source: Address, now: float) -> list[Datagram]:
        """Ping a router for another one that got no answer from it."""
        entry = self._table.get(asked.target)
        if entry is None:
            return []
        self._number += 1
        self._relays.note(self._number, source, asked.number, now)
        return [self._ping(entry.address, self._number)]

    def relay(self, ack: Ack, now: float) -> Datagram | None:
        """Return the answer passed on to whom it was asked for; None if it was for this router."""
        relayed = self._relays.answered(ack.number, now)
        if relayed is None:
            return None
        passed_on = msgspec.structs.replace(ack, number=relayed.number)
        return datagram_to(relayed.asker, passed_on)

    def _suspect(self, router: int, now: float) -> list[Datagram]:
        entry = self._table.get(router)
        if entry is None or not entry.there:
            return []
        fault = Fault(router, entry.alive.incarnation, Status.SUSPECT)
        return self._dissemination.spread_fault(fault, now)

    def _ping(self, address: Address, number: int) -> Datagram:
        own = self._dissemination
        ping = Ping(own.own.router, number, own.versions, own.fingerprint(), own.rumors())
        return datagram_to(address, ping)
