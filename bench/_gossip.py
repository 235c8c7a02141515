"""What membership costs and how fast it is, from the serving core at fleet sizes up to 470.

Packets are handed over in memory and the clock is stepped; bytes count the seal
and the headers of UDP and IP.
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
#: One way between two halls of a region, in seconds.
DELAY = 0.0015
#: Seconds between a router's rounds, as the process has them.
ROUND = 0.1
HALLS = 11
#: Services of which one router owns engines, and how many engines of each.
SERVICES_OWNED = 3


@dataclass(frozen=True)
class GossipFigures:
    """What one run showed."""

    routers: int
    #: Bytes a second of one router, sent and received.
    bytes_a_second: float
    #: Processor seconds a second of one router.
    processor: float
    #: The fleet's load as a router knows it, over the true one: mean.
    load_known: float
    #: Pairs of live routers of which one suspects the other, as a share.
    false_suspicion: float
    #: Seconds until nobody trusts a frozen router any more.
    detection: float
    #: Seconds until a new version is known everywhere.
    news: float


class _Bench:
    def __init__(self, routers: int, limits: MembershipLimits, seed: int) -> None:
        self.now = 0.0
        self.bytes = 0
        self.processor = 0.0
        self.frozen: set[int] = set()
        rng = random.Random(seed)
        seeds = [Address(HOST, FIRST_PORT)]
        self.cores = []
        for at in range(routers):
            name = f"router-{at}"
            own = Alive(short_id(name), 1, 0, name, HOST, FIRST_PORT + at, f"hall-{at % HALLS}")
            core = Gossip(own, limits, random.Random(rng.random()), seeds)
            loads = tuple(
                ServiceLoad(short_id(f"service-{(at + n) % 19}"), 2, 140)
                for n in range(SERVICES_OWNED)
            )
            core.publish(Phase.LIVE, 1, 1, loads)
            self.cores.append(core)
        self._events: list[tuple[float, int, int, int, bytes]] = []
        self._count = 0
        self._next_tick = [rng.uniform(0, ROUND) for _ in self.cores]
        for at, when in enumerate(self._next_tick):
            self._push(when, at, -1, b"")

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, at, source, payload = heapq.heappop(self._events)
            if source < 0:
                self._push(self.now + ROUND, at, -1, b"")
            if at in self.frozen:
                continue
            core = self.cores[at]
            started = time.perf_counter()
            if source < 0:
                sent = core.tick(self.now)
            else:
                sent = core.receive(payload, Address(HOST, FIRST_PORT + source), self.now)
            self.processor += time.perf_counter() - started
            self.send(at, sent)
        self.now = end

    def send(self, sender: int, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            self.bytes += 2 * (len(datagram.payload) + OVERHEAD)
            to = datagram.to.port - FIRST_PORT
            self._push(self.now + DELAY, to, sender, datagram.payload)

    def _push(self, when: float, at: int, source: int, payload: bytes) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, at, source, payload))


def measure(
    routers: int, limits: MembershipLimits, seed: int = 1, seconds: float = 20.0
) -> GossipFigures:
    """Let a fleet form, then measure a quiet stretch, a frozen router and a new version."""
    bench = _Bench(routers, limits, seed)
    warm = 30.0 + routers / 10
    bench.run_until(warm)
    bench.bytes, bench.processor = 0, 0.0
    bench.run_until(warm + seconds)
    spent = routers * seconds
    figures = (bench.bytes / spent, bench.processor / spent)
    true_load = (routers - 1) * SERVICES_OWNED * 140
    known = [_load_known(core, bench.now) for core in bench.cores]
    trusted = sum(len(core.members(bench.now)) for core in bench.cores)
    news = _news(bench)
    return GossipFigures(
        routers=routers,
        bytes_a_second=figures[0],
        processor=figures[1],
        load_known=statistics.mean(known) / true_load,
        false_suspicion=1 - trusted / routers**2,
        detection=_detection(bench),
        news=news,
    )


def _load_known(core: Gossip, now: float) -> int:
    return sum(core.in_flight_elsewhere(f"service-{at}", now) for at in range(19))


def _news(bench: _Bench) -> float:
    """Spread a new version as a router does: whoever learns of it tells some at once."""
    started = bench.now
    knows = {0}
    _tell(bench, 0)
    while len(knows) < len(bench.cores) and bench.now - started < 60:
        bench.run_until(bench.now + DELAY)
        for at, core in enumerate(bench.cores):
            if at not in knows and any(
                held.configuration == 2 for held in core.versions().values()
            ):
                knows.add(at)
                _tell(bench, at)
    return bench.now - started


def _tell(bench: _Bench, at: int) -> None:
    core = bench.cores[at]
    core.publish(Phase.LIVE, 2, 1, ())
    bench.send(at, core.announcements())


def _detection(bench: _Bench) -> float:
    frozen = len(bench.cores) - 1
    name = bench.cores[frozen].membership.own_record.name
    bench.frozen.add(frozen)
    started = bench.now
    while bench.now - started < 120:
        bench.run_until(bench.now + 0.5)
        views = [core.members(bench.now) for at, core in enumerate(bench.cores) if at != frozen]
        if not any(member.name == name for view in views for member in view):
            break
    return bench.now - started


def measure_gossip(sizes: tuple[int, ...] = (8, 32, 128)) -> Iterator[Measure]:
    """Measure membership and the summing of loads at several fleet sizes."""
    for size in sizes:
        figures = measure(size, MembershipLimits())
        name = f"gossip_{size}"
        yield Measure(f"{name}.control", figures.bytes_a_second, "B/s a router")
        yield Measure(f"{name}.processor", figures.processor * 100, "% of a core a router")
        yield Measure(f"{name}.false_suspicion", figures.false_suspicion, "share of pairs")
        yield Measure(f"{name}.load_known", figures.load_known, "share of the true load")
        yield Measure(f"{name}.detection", figures.detection, "s until a frozen router is given up")
        yield Measure(f"{name}.news", figures.news * 1000, "ms until a new version is heard of")
