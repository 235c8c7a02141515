"""Membership by the SWIM protocol, without I/O.

Each router pings one other at a time, in the order of a shuffled list, and asks some others to
ping it if no answer comes. A router's cost does not depend on the size of the fleet. Changes are
piggybacked on these packets, and sent at once by ``announcements``.

This module combines the parts and dispatches messages to them: failure detection, dissemination,
full sync and reconnection.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from pondhatch.membership._datagrams import Datagram, datagram_to
from pondhatch.membership._dissemination import Dissemination
from pondhatch.membership._failure_detection import FailureDetector
from pondhatch.membership._full_sync import FullSync
from pondhatch.membership._member_table import Address, MemberTable
from pondhatch.membership._members import Member, MemberView
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._reconnection import Reconnection
from pondhatch.membership._records import (
    Ack,
    Alive,
    Announcement,
    MembershipMessage,
    Phase,
    Ping,
    PingRequest,
    Versions,
    short_id,
)


class Membership:
    """One router's part in the protocol, and its view of the other routers."""

    def __init__(
        self,
        own: Alive,
        limits: MembershipLimits,
        rng: random.Random,
        seeds: Iterable[Address] = (),
    ) -> None:
        self.limits = limits
        self.table = MemberTable()
        self._seeds = tuple(seeds)
        self._next_ping = float("-inf")
        self._view = MemberView(self.table)
        self._dissemination = Dissemination(own, self.table, self._view, limits, rng)
        self._detector = FailureDetector(self.table, self._view, self._dissemination, limits, rng)
        self._full_sync = FullSync(self.table, self._dissemination, limits, rng)
        self._reconnection = Reconnection(self.table, self._dissemination, limits, rng)

    # -- this router's own record --------------------------------------------

    @property
    def own_record(self) -> Alive:
        """The record that this router publishes about itself."""
        return self._dissemination.own_record

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add addresses to contact while no peer is known; some are contacted at once."""
        known = {*self._seeds, Address(self.own_record.host, self.own_record.port)}
        new = tuple(seed for seed in seeds if seed not in known)
        self._seeds += new
        if new:
            self._next_ping = float("-inf")
            self._reconnection.make_due()

    def publish(
        self,
        phase: Phase,
        configuration: int,
        upstreams: int,
        sees_platform: bool = True,
        evacuations: int = 0,
    ) -> None:
        """Set what this router publishes about itself; a new phase raises its incarnation."""
        versions = Versions(configuration, upstreams, evacuations)
        self._dissemination.publish(phase, versions, sees_platform)

    # -- queries --------------------------------------------------------------

    def members(self, now: float) -> tuple[Member, ...]:
        """Return this router and all others that are present and reachable, sorted by name."""
        return self._view.members(self.own_record, now)

    def is_gone(self, name: str) -> bool:
        """Return whether a router has left or was found dead."""
        return self.is_gone_by_id(short_id(name))

    def is_gone_by_id(self, router: int) -> bool:
        """Return whether a router has left or was found dead, by its short id."""
        entry = self.table.get(router)
        return entry is not None and not entry.is_present

    def out_of_reach(self, since: float, now: float) -> dict[str, str]:
        """Return the halls of the routers that are out of reach, by name.

        That are those that a call has just failed to reach, and those that were found dead after
        ``since``; not those that left or were about to.
        """
        in_reach = {member.name for member in self.members(now)}
        return {
            entry.alive.name: entry.alive.hall
            for entry in self.table
            if entry.alive.name not in in_reach
            and entry.alive.phase == Phase.LIVE
            and (entry.is_present or entry.status_since > since)
        }

    def is_stranded(self) -> bool:
        """Return whether this router knows addresses of others, and has never heard of any."""
        own = Address(self.own_record.host, self.own_record.port)
        return not self.table.entry_by_id and any(seed != own for seed in self._seeds)

    def versions(self) -> dict[str, Versions]:
        """Return the last known versions of each router, this one included."""
        peers = {entry.alive.name: entry.versions for entry in self.table if entry.is_present}
        return {self.own_record.name: self._dissemination.versions, **peers}

    def newest_configuration(self) -> int:
        """Return the newest configuration version that any router is known to hold."""
        return max(self.table.newest_configuration, self._dissemination.versions.configuration)

    def routers_ahead(self) -> tuple[str, ...]:
        """Return the routers that are known to hold anything newer than this one."""
        own = self._dissemination.versions
        table = self.table
        if (
            table.newest_configuration <= own.configuration
            and table.newest_upstreams <= own.upstreams
            and table.newest_evacuations <= own.evacuations
        ):
            return ()
        return tuple(
            entry.alive.name
            for entry in self.table
            if entry.versions.configuration > own.configuration
            or entry.versions.upstreams > own.upstreams
            or entry.versions.evacuations > own.evacuations
        )

    def record_versions(self, sender: int, versions: Versions) -> None:
        """Record the versions that a router says it holds, by its short id."""
        self.table.record_versions(sender, versions)
        self._view.mark_reachable(sender)

    def mark_unreachable(self, name: str, now: float) -> None:
        """Record a failed call to a router: it is left out for a while and pinged next."""
        router = short_id(name)
        self._view.mark_unreachable(router, now + self.limits.unreachable_seconds)
        self._detector.ping_soon(router)

    def mark_reachable(self, name: str) -> None:
        """Record a message from a router itself: it is no longer left out."""
        self._view.mark_reachable(short_id(name))

    # -- time and packets ----------------------------------------------------

    def tick(self, now: float) -> list[Datagram]:
        """Return the packets that are due; to be called several times in each ping interval."""
        sent = self._detector.check_probe(now)
        self._detector.expire_suspects(now)
        if now < self._next_ping:
            return sent
        self.table.drop_gone(now - self.limits.dead_retention)
        self._next_ping = now + self.limits.ping_interval
        contacts = self._reconnection.contact_absent(self._seeds, now)
        return [*sent, *contacts, *self._detector.ping_next(now)]

    def announcements(self) -> list[Datagram]:
        """Return packets that announce this router's versions and rumors to some peers at once."""
        return self._dissemination.announcements()

    def receive(self, message: MembershipMessage, source: Address, now: float) -> list[Datagram]:
        """Handle a message and return the replies."""
        has_changed = False
        if not isinstance(message, PingRequest):
            has_changed = self._dissemination.apply_rumors(message.rumors, now)
        answers = self._answer(message, source, now)
        return [*answers, *self.announcements()] if has_changed else answers

    def _answer(self, message: MembershipMessage, source: Address, now: float) -> list[Datagram]:
        if isinstance(message, Ping):
            return self._answer_ping(message, source, now)
        if isinstance(message, Ack):
            return self._handle_ack(message, now)
        if isinstance(message, PingRequest):
            return self._detector.ping_on_behalf(message, source, now)
        if isinstance(message, Announcement):
            self._record_sender(message)
            return []
        return self._full_sync.send(source, wants_reply=False) if message.wants_reply else []

    def _answer_ping(self, ping: Ping, source: Address, now: float) -> list[Datagram]:
        self._record_sender(ping)
        answers = [datagram_to(source, self._ack(ping))]
        if self.table.get(ping.sender) is None:
            return [*answers, *self._full_sync.send(source, wants_reply=True)]
        return [*answers, *self._full_sync.exchange_if_due(ping.view_fingerprint, source, now)]

    def _ack(self, ping: Ping) -> Ack:
        dissemination = self._dissemination
        rumors = dissemination.next_rumors_for(ping.sender)
        return Ack(
            self.own_record.router,
            ping.number,
            dissemination.versions,
            dissemination.fingerprint(),
            rumors,
        )

    def _handle_ack(self, ack: Ack, now: float) -> list[Datagram]:
        relayed = self._detector.relay(ack, now)
        if relayed is not None:
            return [relayed]
        self.table.record_versions(ack.sender, ack.versions)
        if not self._detector.match_ack(ack):
            return []
        entry = self.table.get(ack.sender)
        if entry is None:
            return []
        return self._full_sync.exchange_if_due(ack.view_fingerprint, entry.address, now)

    def _record_sender(self, message: Ping | Announcement) -> None:
        self.record_versions(message.sender, message.versions)
