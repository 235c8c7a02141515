"""Cost and speed of membership, by the production code at fleet sizes up to 470.

Packets are delivered in memory and the clock is simulated; bytes include the seal and the
headers of UDP and IP.
"""

from __future__ import annotations

import heapq
import random
import statistics
import time
from collections.abc import Iterator
from dataclasses import dataclass

from bench._measures import Measure
from pondhatch.membership import (
    Address,
    Alive,
    Datagram,
    Gossip,
    MembershipLimits,
    Phase,
    ServiceLoad,
    short_id,
)

#: Bytes of IP and UDP headers and of the seal.
OVERHEAD = 28 + 8
HOST = "127.0.0.1"
FIRST_PORT = 1000
#: One-way delay between two halls of a region, in seconds.
ONE_WAY_DELAY = 0.0015
#: Seconds between a router's ticks, as in the router process.
TICK_INTERVAL = 0.1
HALLS = 11
#: Number of services of which one router owns engines.
SERVICES_OWNED = 3


@dataclass(frozen=True)
class GossipFigures:
    """Figures of one run."""

    routers: int
    #: Bytes per second of one router, sent and received.
    bytes_a_second: float
    #: Processor seconds per second of one router.
    processor: float
    #: The fleet's load as a router knows it, as a share of the true load; mean over the routers.
    load_known: float
    #: Share of the pairs of live routers of which one does not count the other as a member.
    false_suspicion: float
    #: Seconds until no router counts a frozen one as a member.
    detection: float
    #: Seconds until all routers know a new version.
    version_spread: float


class _SimulatedFleet:
    """Routers that exchange packets in simulated time."""

    def __init__(self, routers: int, limits: MembershipLimits, seed: int) -> None:
        self.now = 0.0
        #: Bytes sent and received by all routers.
        self.bytes = 0
        #: Processor seconds used by all routers.
        self.processor = 0.0
        #: Numbers of the routers that neither tick nor receive.
        self.frozen: set[int] = set()
        rng = random.Random(seed)
        seeds = [Address(HOST, FIRST_PORT)]
        self.gossips = []
        for index in range(routers):
            name = f"router-{index}"
            own = Alive(
                short_id(name), 1, 0, name, HOST, FIRST_PORT + index, f"hall-{index % HALLS}"
            )
            gossip = Gossip(own, limits, random.Random(rng.random()), seeds)
            loads = tuple(
                ServiceLoad(short_id(f"service-{(index + n) % 19}"), 2, 140)
                for n in range(SERVICES_OWNED)
            )
            gossip.publish(Phase.LIVE, 1, 1, loads)
            self.gossips.append(gossip)
        #: Ticks and packets to come, as a heap: (time, sequence number, receiver, sender or -1
        #: for a tick, payload).
        self._events: list[tuple[float, int, int, int, bytes]] = []
        self._sequence = 0
        self._first_ticks = [rng.uniform(0, TICK_INTERVAL) for _ in self.gossips]
        for index, when in enumerate(self._first_ticks):
            self._push(when, index, -1, b"")

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, receiver, source, payload = heapq.heappop(self._events)
            if source < 0:
                self._push(self.now + TICK_INTERVAL, receiver, -1, b"")
            if receiver in self.frozen:
                continue
            gossip = self.gossips[receiver]
            started = time.perf_counter()
            if source < 0:
                sent = gossip.tick(self.now)
            else:
                sent = gossip.receive(payload, Address(HOST, FIRST_PORT + source), self.now)
            self.processor += time.perf_counter() - started
            self.send(receiver, sent)
        self.now = end

    def send(self, sender: int, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            # Counted once as sent and once as received.
            self.bytes += 2 * (len(datagram.payload) + OVERHEAD)
            receiver = datagram.to.port - FIRST_PORT
            self._push(self.now + ONE_WAY_DELAY, receiver, sender, datagram.payload)

    def _push(self, when: float, receiver: int, source: int, payload: bytes) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, receiver, source, payload))


def measure(
    routers: int, limits: MembershipLimits, seed: int = 1, seconds: float = 20.0
) -> GossipFigures:
    """Let a fleet form; then measure its idle traffic, a new version and a frozen router."""
    fleet = _SimulatedFleet(routers, limits, seed)
    warm_up = 30.0 + routers / 10
    fleet.run_until(warm_up)
    fleet.bytes, fleet.processor = 0, 0.0
    fleet.run_until(warm_up + seconds)
    router_seconds = routers * seconds
    figures = (fleet.bytes / router_seconds, fleet.processor / router_seconds)
    true_load = (routers - 1) * SERVICES_OWNED * 140
    known = [_load_known(gossip, fleet.now) for gossip in fleet.gossips]
    trusted = sum(len(gossip.members(fleet.now)) for gossip in fleet.gossips)
    version_spread = _version_spread_seconds(fleet)
    return GossipFigures(
        routers=routers,
        bytes_a_second=figures[0],
        processor=figures[1],
        load_known=statistics.mean(known) / true_load,
        false_suspicion=1 - trusted / routers**2,
        detection=_detection_seconds(fleet),
        version_spread=version_spread,
    )


def _load_known(gossip: Gossip, now: float) -> int:
    return sum(gossip.in_flight_elsewhere(f"service-{index}", now) for index in range(19))


def _version_spread_seconds(fleet: _SimulatedFleet) -> float:
    """Spread a new version as routers do: each that learns of it announces it to some at once."""
    started = fleet.now
    informed = {0}
    _announce_version(fleet, 0)
    while len(informed) < len(fleet.gossips) and fleet.now - started < 60:
        fleet.run_until(fleet.now + ONE_WAY_DELAY)
        for index, gossip in enumerate(fleet.gossips):
            if index not in informed and any(
                version.configuration == 2 for version in gossip.versions().values()
            ):
                informed.add(index)
                _announce_version(fleet, index)
    return fleet.now - started


def _announce_version(fleet: _SimulatedFleet, index: int) -> None:
    gossip = fleet.gossips[index]
    gossip.publish(Phase.LIVE, 2, 1, ())
    fleet.send(index, gossip.announcements())


def _detection_seconds(fleet: _SimulatedFleet) -> float:
    frozen = len(fleet.gossips) - 1
    name = fleet.gossips[frozen].membership.own_record.name
    fleet.frozen.add(frozen)
    started = fleet.now
    while fleet.now - started < 120:
        fleet.run_until(fleet.now + 0.5)
        views = [
            gossip.members(fleet.now)
            for index, gossip in enumerate(fleet.gossips)
            if index != frozen
        ]
        if not any(member.name == name for view in views for member in view):
            break
    return fleet.now - started


def measure_gossip(sizes: tuple[int, ...] = (8, 32, 128)) -> Iterator[Measure]:
    """Measure membership and the known total load at several fleet sizes."""
    for size in sizes:
        figures = measure(size, MembershipLimits())
        name = f"gossip_{size}"
        yield Measure(f"{name}.control", figures.bytes_a_second, "B/s a router")
        yield Measure(f"{name}.processor", figures.processor * 100, "% of a core a router")
        yield Measure(f"{name}.false_suspicion", figures.false_suspicion, "share of pairs")
        yield Measure(f"{name}.load_known", figures.load_known, "share of the true load")
        yield Measure(f"{name}.detection", figures.detection, "s until a frozen router is given up")
        yield Measure(
            f"{name}.news", figures.version_spread * 1000, "ms until a new version is heard of"
        )
