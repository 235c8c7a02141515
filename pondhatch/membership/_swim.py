"""Membership without I/O: who is there, found out in the manner of SWIM.

Each router pings one other at a time, going round a shuffled list, and asks some
others to try where no answer comes. What a router spends does not depend on the
size of the fleet. Changes travel on these packets, and at once by ``news``.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from pondhatch.membership._members import Member, MemberView
from pondhatch.membership._pinging import Probe, Relays, Round
from pondhatch.membership._records import (
    Ack,
    Alive,
    Fault,
    MembershipMessage,
    News,
    Packet,
    Phase,
    Ping,
    PingFor,
    Rumor,
    Status,
    Sync,
    Versions,
    short_id,
)
from pondhatch.membership._rumors import Rumors
from pondhatch.membership._table import Address, Entry, Table


@dataclass(frozen=True)
class Datagram:
    """A packet to be sent."""

    to: Address
    payload: bytes


@dataclass(frozen=True)
class MembershipLimits:
    """Time limits and the budget of a packet."""

    #: Seconds between pings.
    ping_interval: float = 1.0
    #: Seconds without an answer after which others are asked to ping.
    direct_timeout: float = 0.35
    #: Routers that are asked to ping for this one.
    helpers: int = 3
    #: Seconds from suspicion until a router counts as dead.
    suspicion: float = 2.0
    #: Seconds for which a router is passed over after a failed call.
    unreachable: float = 5.0
    #: Seconds for which a dead router is remembered, longer than regions lose each other.
    memory_of_dead: float = 7200.0
    #: Seconds between two tries to reach a dead router or a seed, so that a cut heals.
    reconnect_interval: float = 3.0
    #: Rumors in one packet at most.
    rumors: int = 6
    #: Times that a rumor is passed on, over the logarithm of the fleet's size.
    retellings: float = 3.0
    #: Rumors in one part of a whole view.
    sync_part: int = 20
    #: Seconds between two whole views sent to the others.
    sync_interval: float = 5.0
    #: Peers that are told at once of something new.
    news_fanout: int = 4


class Membership:
    """One router's view of the others."""

    def __init__(
        self,
        own: Alive,
        limits: MembershipLimits,
        rng: random.Random,
        seeds: Iterable[Address] = (),
    ) -> None:
        self.own = own
        self.limits = limits
        self.table = Table()
        self._versions = Versions()
        self._rng = rng
        self._seeds = tuple(seeds)
        self._round = Round(self.table, rng)
        self._number = 0
        self._next_ping = float("-inf")
        self._next_sync = float("-inf")
        self._next_reconnect = float("-inf")
        self._probe: Probe | None = None
        self._relays = Relays()
        self._view = MemberView(self.table)
        self._rumors = Rumors(self.table, limits.rumors, limits.retellings)
        self._encoder = msgspec.msgpack.Encoder()

    # -- what this router says of itself ------------------------------------

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Take in more addresses to try while no peer is known; some are greeted at once."""
        known = {*self._seeds, Address(self.own.host, self.own.port)}
        new = tuple(seed for seed in seeds if seed not in known)
        self._seeds += new
        if new:
            self._next_ping = self._next_reconnect = float("-inf")

    def publish(self, phase: Phase, configuration: int, upstreams: int) -> None:
        """Set what this router says of itself; a new phase is a new word on itself."""
        self._versions = Versions(configuration, upstreams)
        if phase != self.own.phase:
            self._raise_own(self.own.incarnation + 1, phase)

    # -- what the router reads ----------------------------------------------

    def members(self, now: float) -> tuple[Member, ...]:
        """Return this router and all others that are there and can be reached, by name."""
        return self._view.members(self.own, now)

    def is_gone(self, name: str) -> bool:
        """Return whether a router has left or was found dead."""
        return self.is_gone_by_id(short_id(name))

    def is_gone_by_id(self, router: int) -> bool:
        """Return whether a router has left or was found dead, by its short id."""
        entry = self.table.get(router)
        return entry is not None and not entry.there

    def versions(self) -> dict[str, Versions]:
        """Return what each router was last heard to hold, this one included."""
        heard = {entry.alive.name: entry.versions for entry in self.table if entry.there}
        return {self.own.name: self._versions, **heard}

    def ahead(self) -> tuple[str, ...]:
        """Return the routers that were heard to hold something newer than this one."""
        own = self._versions
        return tuple(
            entry.alive.name
            for entry in self.table
            if entry.versions.configuration > own.configuration
            or entry.versions.upstreams > own.upstreams
        )

    def unreachable(self, name: str, now: float) -> None:
        """Note a failed call: the router is passed over for a while and pinged next."""
        router = short_id(name)
        self._view.unreachable(router, now + self.limits.unreachable)
        self._round.put_first(router)

    # -- time and packets ----------------------------------------------------

    def tick(self, now: float) -> list[Datagram]:
        """Do what is due; to be called several times in each ping interval."""
        sent = self._chase_probe(now)
        self._bury_suspects(now)
        if now < self._next_ping:
            return sent
        self.table.forget(now - self.limits.memory_of_dead)
        self._next_ping = now + self.limits.ping_interval
        return [*sent, *self._ping_next(now)]

    def news(self) -> list[Datagram]:
        """Return packets that tell some peers at once what this router holds now."""
        message = News(self.own.router, self._versions, self._rumors.take(self.own))
        return [self._to(address, message) for address in self._some(self.limits.news_fanout)]

    def receive(self, message: MembershipMessage, source: Address, now: float) -> list[Datagram]:
        """Take in a message and return the answers to it."""
        news = False
        if not isinstance(message, PingFor):
            news = self._take_rumors(message.rumors, now)
        answers = self._answer(message, source, now)
        return [*answers, *self.news()] if news else answers

    def _answer(self, message: MembershipMessage, source: Address, now: float) -> list[Datagram]:
        if isinstance(message, Ping):
            return self._answer_ping(message, source, now)
        if isinstance(message, Ack):
            return self._take_ack(message, now)
        if isinstance(message, PingFor):
            return self._ping_for(message, source, now)
        if isinstance(message, News):
            self._heard(message)
            return []
        return self._sync(source, wanted=False) if message.wanted else []

    # -- pinging --------------------------------------------------------------

    def _ping_next(self, now: float) -> list[Datagram]:
        sent = self._reconnect(now)
        target = self._round.next()
        if target is None:
            return sent
        self._number += 1
        self._probe = Probe(target.alive.router, self._number, now)
        return [*sent, self._ping(target.address, self._number)]

    def _reconnect(self, now: float) -> list[Datagram]:
        """Speak to a seed or a router taken for dead: either may be behind a cut that healed."""
        alone = not any(entry.there for entry in self.table)
        if now < self._next_reconnect and not alone:
            return []
        self._next_reconnect = now + self.limits.reconnect_interval
        here = {entry.address for entry in self.table if entry.there}
        here.add(Address(self.own.host, self.own.port))
        dead = {entry.address: entry for entry in self.table if not entry.there}
        absent = sorted({*self._seeds, *dead} - here, key=lambda each: (each.host, each.port))
        if not absent:
            return []
        # One that knows nobody asks several: of a fleet that starts, some are not there yet.
        most = self.limits.news_fanout if alone else 1
        greeted = self._rng.sample(absent, min(len(absent), most))
        return [self._greeting(address, dead.get(address)) for address in greeted]

    def _greeting(self, address: Address, known: Entry | None) -> Datagram:
        """Ask for a whole view; a router taken for dead is told so, and can contradict."""
        about = (known.rumor(),) if known is not None else ()
        return self._to(address, Sync(self.own.router, True, (self.own, *about)))

    def _chase_probe(self, now: float) -> list[Datagram]:
        """Ask others to ping where no answer came, then suspect."""
        probe = self._probe
        if probe is None:
            return []
        waited = now - probe.sent_at
        if waited >= self.limits.ping_interval * 0.95:
            self._probe = None
            return self._suspect(probe.target, now)
        if waited < self.limits.direct_timeout or probe.helped:
            return []
        probe.helped = True
        asked = PingFor(self.own.router, probe.number, probe.target)
        helpers = self._some(self.limits.helpers, but=probe.target)
        return [self._to(helper, asked) for helper in helpers]

    def _suspect(self, router: int, now: float) -> list[Datagram]:
        entry = self.table.get(router)
        if entry is None or not entry.there:
            return []
        fault = Fault(router, entry.alive.incarnation, Status.SUSPECT)
        return self._spread_fault(fault, now)

    def _bury_suspects(self, now: float) -> None:
        suspects = [self.table.entry_by_id[router] for router in self.table.suspects]
        overdue = [entry for entry in suspects if now - entry.since > self.limits.suspicion]
        for entry in overdue:
            fault = Fault(entry.alive.router, entry.alive.incarnation, Status.DEAD)
            if self.table.take_fault(fault, now):
                self._rumors.tell(entry.alive.router)

    def _spread_fault(self, fault: Fault, now: float) -> list[Datagram]:
        if not self.table.take_fault(fault, now):
            return []
        self._rumors.tell(fault.router)
        return self.news()

    def _answer_ping(self, ping: Ping, source: Address, now: float) -> list[Datagram]:
        self._heard(ping)
        ack = Ack(
            self.own.router,
            ping.number,
            self._versions,
            self.table.view(self.own),
            self._rumors.take_for(ping.sender, self.own),
        )
        answers = [self._to(source, ack)]
        if self.table.get(ping.sender) is None:
            return [*answers, *self._sync(source, wanted=True)]
        return [*answers, *self._sync_if_due(ping.view, source, now)]

    def _take_ack(self, ack: Ack, now: float) -> list[Datagram]:
        relayed = self._relays.answered(ack.number, now)
        if relayed is not None:
            passed_on = msgspec.structs.replace(ack, number=relayed.number)
            return [self._to(relayed.asker, passed_on)]
        probe = self._probe
        direct = probe is not None and probe.number == ack.number and not probe.helped
        self.table.heard_from(ack.sender, ack.versions)
        if direct:
            self._view.reached(ack.sender)
        if probe is None or probe.number != ack.number:
            return []
        self._probe = None
        entry = self.table.get(ack.sender)
        return self._sync_if_due(ack.view, entry.address, now) if entry is not None else []

    def _ping_for(self, asked: PingFor, source: Address, now: float) -> list[Datagram]:
        entry = self.table.get(asked.target)
        if entry is None:
            return []
        self._number += 1
        self._relays.note(self._number, source, asked.number, now)
        return [self._ping(entry.address, self._number)]

    def _ping(self, address: Address, number: int) -> Datagram:
        view = self.table.view(self.own)
        ping = Ping(self.own.router, number, self._versions, view, self._rumors.take(self.own))
        return self._to(address, ping)

    def _heard(self, message: Ping | News) -> None:
        self.table.heard_from(message.sender, message.versions)
        self._view.reached(message.sender)

    # -- rumors ---------------------------------------------------------------

    def _take_rumors(self, rumors: Iterable[Rumor], now: float) -> bool:
        """Take in rumors; return whether any was news."""
        news = False
        for rumor in rumors:
            if rumor.router == self.own.router:
                news = self._answer_rumor(rumor) or news
                continue
            taken = (
                self.table.take_alive(rumor, now)
                if isinstance(rumor, Alive)
                else self.table.take_fault(rumor, now)
            )
            if taken:
                self._rumors.tell(rumor.router)
            news = news or taken
        return news

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
        self.table.revision += 1
        self._rumors.tell(self.own.router)

    # -- whole views ----------------------------------------------------------

    def _sync_if_due(self, view: int, address: Address, now: float) -> list[Datagram]:
        """Exchange whole views where the fingerprints differ, but not often."""
        if view == self.table.view(self.own) or now < self._next_sync:
            return []
        self._next_sync = now + self.limits.sync_interval * self._rng.uniform(0.5, 1.5)
        return self._sync(address, wanted=True)

    def _sync(self, address: Address, wanted: bool) -> list[Datagram]:
        rumors = [self.own, *(entry.rumor() for entry in self.table)]
        size = self.limits.sync_part
        parts = [tuple(rumors[at : at + size]) for at in range(0, len(rumors), size)]
        return [
            self._to(address, Sync(self.own.router, wanted and at == 0, part))
            for at, part in enumerate(parts)
        ]

    # -- helpers ----------------------------------------------------------------

    def _some(self, count: int, but: int | None = None) -> list[Address]:
        pool = self._view.addresses(but)
        return self._rng.sample(pool, min(count, len(pool)))

    def _to(self, address: Address, message: Packet) -> Datagram:
        return Datagram(address, self._encoder.encode(message))
