"""Failure detection: pings, indirect pings through other routers, suspicion, and death.

One router is pinged at a time. If it does not answer, some others are asked to ping it. If they
get no answer either, it is suspected, and counts as dead unless it refutes the suspicion in time.
"""

from __future__ import annotations

import random

import msgspec

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._dissemination import Dissemination
from pondhatch.membership._member_table import Address, MemberTable
from pondhatch.membership._members import MemberView
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._pinging import PingRotation, Probe, Relays
from pondhatch.membership._records import Ack, Fault, Ping, PingRequest, Status

#: Share of the ping interval after which a router without an answer is suspected: just before
#: the next ping is due.
ACK_SHARE = 0.95


class FailureDetector:
    """Pings the other routers in turn and detects those that do not answer."""

    def __init__(
        self,
        table: MemberTable,
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
        self._rotation = PingRotation(table, rng)
        #: Sequence number of the last ping sent.
        self._number = 0
        self._probe: Probe | None = None
        self._relays = Relays()

    def ping_soon(self, router: int) -> None:
        """Make a router the next one to be pinged."""
        self._rotation.make_next(router)

    def ping_next(self, now: float) -> list[Datagram]:
        """Return the ping to the next router in turn; none if there is no other."""
        target = self._rotation.next()
        if target is None:
            return []
        self._number += 1
        self._probe = Probe(target.alive.router, self._number, now)
        return [self._ping(target.address, self._number)]

    def check_probe(self, now: float) -> list[Datagram]:
        """Return requests for indirect pings, or a suspicion, if the last ping has no answer."""
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent_at
        if waited >= self._limits.ping_interval * ACK_SHARE:
            self._probe = None
            return self._suspect(probe.target, now)
        if waited < self._limits.direct_timeout or probe.is_indirect:
            return []
        probe.is_indirect = True
        ping_request = PingRequest(
            self._dissemination.own_record.router, probe.number, probe.target
        )
        helpers = self._view.sample(self._limits.indirect_pings, self._rng, excluding=probe.target)
        return [datagram_to(helper, ping_request) for helper in helpers]

    def expire_suspects(self, now: float) -> None:
        """Declare routers dead that were suspected for longer than the timeout."""
        suspects = [self._table.entry_by_id[router] for router in self._table.suspects]
        overdue = [
            entry for entry in suspects if now - entry.status_since > self._limits.suspicion_timeout
        ]
        for entry in overdue:
            fault = Fault(entry.alive.router, entry.alive.incarnation, Status.DEAD)
            self._dissemination.apply_rumor(fault, now)

    def match_ack(self, ack: Ack) -> bool:
        """Handle an ack; return whether it answers the current ping."""
        probe = self._probe
        if probe is None or probe.number != ack.number:
            return False
        self._probe = None
        if not probe.is_indirect:
            self._view.mark_reachable(ack.sender)
        return True

    def ping_on_behalf(self, request: PingRequest, source: Address, now: float) -> list[Datagram]:
        """Return a ping to a router on behalf of another one that got no answer from it."""
        entry = self._table.get(request.target)
        if entry is None:
            return []
        self._number += 1
        self._relays.record(self._number, source, request.number, now)
        return [self._ping(entry.address, self._number)]

    def relay(self, ack: Ack, now: float) -> Datagram | None:
        """Return the ack forwarded to the router that asked for the ping; None for own pings."""
        relayed = self._relays.take_answered(ack.number, now)
        if relayed is None:
            return None
        forwarded = msgspec.structs.replace(ack, number=relayed.number)
        return datagram_to(relayed.asker, forwarded)

    def _suspect(self, router: int, now: float) -> list[Datagram]:
        entry = self._table.get(router)
        if entry is None or not entry.is_present:
            return []
        fault = Fault(router, entry.alive.incarnation, Status.SUSPECT)
        return self._dissemination.spread_fault(fault, now)

    def _ping(self, address: Address, number: int) -> Datagram:
        dissemination = self._dissemination
        ping = Ping(
            dissemination.own_record.router,
            number,
            dissemination.versions,
            dissemination.fingerprint(),
            dissemination.next_rumors(),
        )
        return datagram_to(address, ping)
