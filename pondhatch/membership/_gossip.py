"""Membership by gossip, without I/O: packets and time in, packets out.

Each round a router sends a bounded number of the newest heartbeats that it
knows to a few random peers. The bytes a router spends do not grow with the
fleet; what grows is how long news takes, and the time limits follow that.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

import msgspec

from pondhatch.membership._records import Heartbeat, Packet, Phase, Profile, ServiceLoad, short_id


@dataclass(frozen=True)
class Address:
    """Where a router's gossip and peer service are reached, by IP number."""

    host: str
    port: int


@dataclass(frozen=True)
class Datagram:
    """A packet to be sent."""

    to: Address
    payload: bytes


@dataclass(frozen=True)
class GossipLimits:
    """The control budget and the time limits that follow from it."""

    #: Seconds between rounds.
    interval: float = 0.5
    #: Peers that a round is sent to.
    fanout: int = 1
    #: Heartbeats in one packet at most.
    heartbeats: int = 24
    #: Profiles in one packet at most.
    profiles: int = 6
    #: Shortest silence after which a peer is suspected, in seconds.
    suspect_after: float = 2.5
    #: Silence as a multiple of how long news takes to go round, before suspicion.
    suspect_rounds: float = 4.0
    #: Multiple of the suspicion time after which a peer is forgotten.
    forget_multiple: float = 20.0

    def suspicion(self, routers: int) -> float:
        """Return the silence, in seconds, after which a peer is suspected."""
        heard_a_second = self.fanout * self.heartbeats / self.interval
        return max(self.suspect_after, self.suspect_rounds * routers / heard_a_second)


@dataclass(frozen=True)
class Peer:
    """What is known of another router."""

    heartbeat: Heartbeat
    #: When its heartbeat last advanced, in the clock's seconds.
    advanced_at: float
    profile: Profile | None = None
    #: True after a failed call, until its heartbeat advances again.
    unreachable: bool = False


@dataclass(frozen=True)
class Member:
    """A router that may be given work or asked."""

    name: str
    address: Address
    hall: str
    phase: Phase
    #: Version of the configuration that it has in force.
    configuration: int
    upstreams: int
    #: Seconds since its heartbeat last advanced; 0 for this router.
    silence: float


class Gossip:
    """One router's view of the others."""

    def __init__(
        self,
        profile: Profile,
        limits: GossipLimits,
        rng: random.Random,
        seeds: Iterable[Address] = (),
    ) -> None:
        self.profile = profile
        self.limits = limits
        self.peer_by_id: dict[int, Peer] = {}
        self._rng = rng
        self._seeds = tuple(seeds)
        self._own = Heartbeat(profile.router, profile.incarnation, 0, Phase.LIVE, 0, 0)
        self._wanted: set[int] = set()
        self._asked_of_us: set[int] = set()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Packet)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Take in more addresses to try while no peer is known."""
        known = set(self._seeds)
        self._seeds += tuple(seed for seed in seeds if seed not in known)

    def publish(
        self, phase: Phase, configuration: int, upstreams: int, loads: tuple[ServiceLoad, ...]
    ) -> None:
        """Set what the next heartbeats say of this router."""
        self._own = msgspec.structs.replace(
            self._own, phase=phase, configuration=configuration, upstreams=upstreams, loads=loads
        )

    def tick(self, now: float) -> list[Datagram]:
        """Advance the own heartbeat and return one round's packets."""
        self._own = msgspec.structs.replace(self._own, beat=self._own.beat + 1)
        self._forget_silent(now)
        targets = self._targets(now)
        if not targets:
            return []
        packet = self._packet()
        return [Datagram(target, packet) for target in targets]

    def news(self, now: float, fanout: int) -> list[Datagram]:
        """Return packets that carry only the own heartbeat, to pass on a new version at once."""
        self._own = msgspec.structs.replace(self._own, beat=self._own.beat + 1)
        payload = self._encoder.encode(Packet(self.profile.router, (self._own,)))
        chosen = self._choose(self._reachable(now), fanout)
        return [Datagram(address, payload) for address in chosen]

    def receive(self, payload: bytes, source: Address, now: float) -> list[Datagram]:
        """Take in a packet; return the answer with profiles the sender wanted.

        A payload that does not parse is dropped.
        """
        try:
            packet = self._decoder.decode(payload)
        except msgspec.DecodeError:
            return []
        for profile in packet.profiles:
            self._learn_profile(profile, now)
        for heartbeat in packet.heartbeats:
            self._learn_heartbeat(heartbeat, now)
        return self._answer(packet, source)

    def unreachable(self, name: str) -> None:
        """Note a failed call: the peer gets no work until it is heard of anew."""
        peer = self.peer_by_id.get(short_id(name))
        if peer is not None:
            self.peer_by_id[short_id(name)] = replace(peer, unreachable=True)

    def members(self, now: float) -> tuple[Member, ...]:
        """Return this router and all peers that are not suspected, by name."""
        own = self._member(self.profile, self._own, 0.0)
        others = [
            self._member(peer.profile, peer.heartbeat, now - peer.advanced_at)
            for peer in self.peer_by_id.values()
            if peer.profile is not None and self._trusted(peer, now)
        ]
        return tuple(sorted([own, *others], key=lambda member: member.name))

    def loads(self, now: float) -> dict[int, tuple[int, int]]:
        """Return (engines, in flight) by service as the trusted peers reported them."""
        totals: dict[int, tuple[int, int]] = {}
        for peer in self.peer_by_id.values():
            if not self._trusted(peer, now):
                continue
            for load in peer.heartbeat.loads:
                engines, in_flight = totals.get(load.service, (0, 0))
                totals[load.service] = (engines + load.engines, in_flight + load.in_flight)
        return totals

    def _member(self, profile: Profile, heartbeat: Heartbeat, silence: float) -> Member:
        return Member(
            name=profile.name,
            address=Address(profile.host, profile.port),
            hall=profile.hall,
            phase=Phase(heartbeat.phase),
            configuration=heartbeat.configuration,
            upstreams=heartbeat.upstreams,
            silence=silence,
        )

    def _trusted(self, peer: Peer, now: float) -> bool:
        if peer.unreachable or peer.heartbeat.phase == Phase.LEFT:
            return False
        return now - peer.advanced_at <= self.limits.suspicion(len(self.peer_by_id) + 1)

    def _learn_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.router == self.profile.router or heartbeat.phase not in tuple(Phase):
            return
        peer = self.peer_by_id.get(heartbeat.router)
        if peer is None:
            self.peer_by_id[heartbeat.router] = Peer(heartbeat, now)
            self._wanted.add(heartbeat.router)
            return
        if heartbeat.age_key <= peer.heartbeat.age_key:
            return
        if heartbeat.incarnation > peer.heartbeat.incarnation:
            self._wanted.add(heartbeat.router)
        self.peer_by_id[heartbeat.router] = replace(
            peer, heartbeat=heartbeat, advanced_at=now, unreachable=False
        )

    def _learn_profile(self, profile: Profile, now: float) -> None:
        if profile.router == self.profile.router:
            return
        first = Heartbeat(profile.router, profile.incarnation, 0, Phase.LIVE, 0, 0)
        peer = self.peer_by_id.get(profile.router, Peer(first, now))
        if peer.profile is not None and profile.incarnation < peer.profile.incarnation:
            return
        self.peer_by_id[profile.router] = replace(peer, profile=profile)
        if profile.incarnation >= peer.heartbeat.incarnation:
            self._wanted.discard(profile.router)

    def _answer(self, packet: Packet, source: Address) -> list[Datagram]:
        profiles = [self._profile_of(router) for router in packet.wanted]
        known = tuple(profile for profile in profiles if profile is not None)
        if not known:
            return []
        answer = Packet(self.profile.router, (self._own,), known[: self.limits.profiles])
        return [Datagram(source, self._encoder.encode(answer))]

    def _profile_of(self, router: int) -> Profile | None:
        if router == self.profile.router:
            return self.profile
        peer = self.peer_by_id.get(router)
        return peer.profile if peer is not None else None

    def _packet(self) -> bytes:
        peers = sorted(self.peer_by_id.values(), key=lambda peer: peer.advanced_at, reverse=True)
        newest = tuple(peer.heartbeat for peer in peers[: self.limits.heartbeats - 1])
        wanted = tuple(sorted(self._wanted)[: self.limits.profiles])
        own_profile = (self.profile,) if self._own.beat <= self.limits.profiles or wanted else ()
        packet = Packet(self.profile.router, (self._own, *newest), own_profile, wanted)
        return self._encoder.encode(packet)

    def _targets(self, now: float) -> list[Address]:
        chosen = self._choose(self._reachable(now), self.limits.fanout)
        fallback = self._choose(self._seeds, 1) if self._seeds else []
        if not chosen:
            return fallback
        if self._own.beat % 10 == 0:
            return [*chosen, *fallback]
        return chosen

    def _reachable(self, now: float) -> list[Address]:
        return [
            Address(peer.profile.host, peer.profile.port)
            for peer in self.peer_by_id.values()
            if peer.profile is not None and self._trusted(peer, now)
        ]

    def _choose(self, addresses: Iterable[Address], count: int) -> list[Address]:
        pool = list(addresses)
        return self._rng.sample(pool, min(count, len(pool)))

    def _forget_silent(self, now: float) -> None:
        limit = self.limits.suspicion(len(self.peer_by_id) + 1) * self.limits.forget_multiple
        silent = [
            router for router, peer in self.peer_by_id.items() if now - peer.advanced_at > limit
        ]
        for router in silent:
            del self.peer_by_id[router]
            self._wanted.discard(router)
