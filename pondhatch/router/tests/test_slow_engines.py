"""Load pattern: steady arrivals, one engine of eight at two fifths of its speed.

As many requests as elsewhere were sent to the slow engine, and one in eight callers waited 2.5
times as long as usual. Three routers with their packets, walks and grants run in virtual time.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from fakes._virtual_loop import run_virtually
from pondhatch.configuration import Change, Edit
from pondhatch.kernel import Tasks
from pondhatch.limits import RetryBudget
from pondhatch.membership import (
    Address,
    Alive,
    Datagram,
    Gossip,
    MembershipLimits,
    Phase,
    short_id,
)
from pondhatch.placement import USUAL_PACE
from pondhatch.platform._engines import EngineDialect
from pondhatch.requests import (
    AnswerStarted,
    BodySource,
    Collaborators,
    Delivery,
    Dispatch,
    PartSink,
    Placed,
    ReplayableBody,
    RequestHead,
    Target,
    WaitLimits,
    Whole,
)
from pondhatch.router import GRANT_MARK, NOTICE_MARK, Granting, NoticeKeeping, RouterState
from pondhatch.router.tests.test_sync import Nobody
from pondhatch.store import Listed, WatchEvent

ROUTERS = ("r0", "r1", "r2")
ENGINES = tuple(f"e{at}" for at in range(8))
SLOTS = 48
SERVICE = Edit(
    "service",
    "lang",
    {
        "kind": "model",
        "models": ["writer"],
        "load_bound": 1.7,
        "load_slack": 3,
        "engine_slots": SLOTS,
    },
)
#: Seconds of a request at the usual speed, and until its answer begins.
USUAL_SECONDS = 0.4
FIRST_SECONDS = 0.05
#: Percent of it that a request takes at the slow engine.
SLOW_PACE = 250
#: Requests a second, and seconds for which they come.
RATE = 80
SECONDS = 12.0
#: When the routers know each other and their loads.
SETTLED = 3.0
#: When something fails, and when what follows from it has passed.
FAILS = 6.0
RECOVERED = 9.0
#: Share of callers that may wait for more than twice the usual time: nine in ten must not.
MOST_LATE = 0.1


class Answer:
    """An answer that takes its time."""

    status = 200
    headers: tuple[tuple[str, str], ...] = ()

    def __init__(self, engines: Engines, engine: str, seconds: float) -> None:
        self._engines, self._engine, self._seconds = engines, engine, seconds

    async def stream_to(self, sink: PartSink) -> None:
        await asyncio.sleep(self._seconds)
        self._engines.running[self._engine] -= 1

    def cancel(self) -> None:
        """Do nothing: no caller leaves here."""


class Engines:
    """One fleet's engines, which state their load and their pace."""

    def __init__(self, slow: str) -> None:
        self.slow = slow
        self.running: Counter[str] = Counter()
        self._dialect = EngineDialect()

    async def answer(self, engine: str, keeping: NoticeKeeping) -> AnswerStarted:
        self.running[engine] += 1
        pace = SLOW_PACE if engine == self.slow else 100
        await asyncio.sleep(FIRST_SECONDS * pace / 100)
        load = f"{self.running[engine]},0,{SLOTS},{pace}"
        keeping.receive_notice(engine, self._dialect.notice(200, {"instance-load": load}))
        return AnswerStarted(Answer(self, engine, (USUAL_SECONDS - FIRST_SECONDS) * pace / 100))


class Sink:
    """A caller who takes everything."""

    def write(self, part: bytes) -> bool:
        return True

    async def ready(self) -> None:
        """Return at once."""


class Connections:
    """One router's connections; see Upstreams."""

    def __init__(self, engines: Engines, keeping: NoticeKeeping) -> None:
        self._engines, self._keeping = engines, keeping

    async def send(self, target: Target, head: RequestHead, body: BodySource) -> AnswerStarted:
        return await self._engines.answer(target.name, self._keeping)


class Router:
    """One router's parts, as its process puts them together."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        clock = asyncio.get_running_loop().time
        address = fleet.address_by_name[name]
        own = Alive(short_id(name), 1, Phase.LIVE, name, address.host, address.port, "h1")
        seeds = list(fleet.address_by_name.values())
        gossip = Gossip(own, MembershipLimits(), random.Random(name), seeds)
        self.state = RouterState(name, "h1", gossip, clock, lambda member: Nobody())
        self.state.load_management = "as-needed"
        self.state.take_change(Change(1, "first", "root", 0.0, "", (SERVICE,)))
        for version, engine in enumerate(ENGINES, 1):
            value = {"name": engine, "service": "lang", "url": "http://10.0.0.1:80", "hall": "h1"}
            self.state.take_upstream_event(WatchEvent("set", version, engine, value))
        self.state.take_listed_evacuations(Listed(10, ()))
        self.send: Callable[[Iterable[Datagram]], None] = partial(fleet.send, address)
        self.keeping = NoticeKeeping(self.state, self.send)
        self.granting = Granting(self.state, self.send, Tasks(), 1)
        connections = Connections(fleet.engines, self.keeping)
        self._ways = Collaborators(self.granting.entry, connections)

    def receive(self, payload: bytes, source: Address) -> None:
        if payload.startswith(GRANT_MARK):
            self.granting.receive(payload.removeprefix(GRANT_MARK), source)
        elif payload.startswith(NOTICE_MARK):
            self.keeping.receive(payload.removeprefix(NOTICE_MARK))
        else:
            self.send(self.state.gossip.receive(payload, source, self.state.clock()))
            self.state.refresh()
            self.granting.follow_members()

    def tick(self) -> None:
        self.state.tick()
        self.granting.tick()
        self.keeping.tick()
        self.send(self.state.gossip.tick(self.state.clock()))

    async def send_request(self, number: int) -> bool:
        """Send one request through this router; return whether its caller got all of it."""
        until = self.state.clock() + 10.0
        head = RequestHead(f"q{number}", "a", "lang", 0, "POST", "/", (), True, 10.0, 5)
        walk = Dispatch(
            self.state,
            self._ways,
            RetryBudget(),
            head,
            ReplayableBody(b""),
            lambda: until - self.state.clock(),
            WaitLimits(0.2, 1.0),
        )
        placed = await walk.run()
        if not isinstance(placed, Placed):
            return False
        return isinstance((await Delivery(walk, placed, Sink()).run()).outcome, Whole)


class Fleet:
    """Routers and engines."""

    def __init__(self) -> None:
        self.address_by_name = {
            name: Address("127.0.0.1", 7000 + at) for at, name in enumerate(ROUTERS)
        }
        self.engines = Engines(ENGINES[0])
        self.are_notices_lost = False
        #: When each request that was answered came, and how long it took.
        self.answered: list[tuple[float, float]] = []
        self.router_by_name = {name: Router(name, self) for name in ROUTERS}

    def send(self, source: Address, datagrams: Iterable[Datagram]) -> None:
        loop = asyncio.get_running_loop()
        for each in datagrams:
            if not (self.are_notices_lost and each.payload.startswith(NOTICE_MARK)):
                name = ROUTERS[each.to.port - 7000]
                router = self.router_by_name[name]
                loop.call_later(0.001, router.receive, each.payload, source)

    def owner(self) -> Router:
        """Return the slow engine's owner."""
        state = self.router_by_name["r0"].state
        return self.router_by_name[state.owner_name(self.engines.slow) or ""]

    def owner_pace(self) -> int:
        """Return the pace by which the slow engine's owner decides now."""
        target = self.owner().state.target(self.engines.slow)
        assert target is not None
        return target.pace

    async def meet(self) -> None:
        """Have the routers begin, and wait until they know each other."""
        self._running = asyncio.ensure_future(self._rounds())
        await asyncio.sleep(1.0)

    async def run(self, entries: tuple[str, ...] = ROUTERS) -> int:
        """Send all requests; return how many had no answer."""
        clock = asyncio.get_running_loop().time

        async def request(number: int) -> bool:
            began = clock()
            is_whole = await self.router_by_name[entries[number % len(entries)]].send_request(
                number
            )
            self.answered.append((began, clock() - began))
            return is_whole

        running: list[asyncio.Future[bool]] = []
        while clock() < SECONDS:
            running.append(asyncio.ensure_future(request(len(running))))
            await asyncio.sleep(1 / RATE)
        found = await asyncio.gather(*running)
        return found.count(False)

    async def _rounds(self) -> None:
        while True:
            for router in self.router_by_name.values():
                router.tick()
            await asyncio.sleep(0.1)

    def late(self, since: float, until: float = SECONDS) -> float:
        """Return the share of the callers in a time that waited for twice the usual time."""
        took = [seconds for began, seconds in self.answered if since <= began < until]
        return sum(seconds > 2 * USUAL_SECONDS for seconds in took) / len(took)


class SlowEngineTest(unittest.TestCase):
    def test_nine_in_ten_callers_are_answered_in_time(self) -> None:
        async def history() -> tuple[int, float]:
            fleet = Fleet()
            await fleet.meet()
            unanswered = await fleet.run()
            return unanswered, fleet.late(SETTLED)

        unanswered, late = run_virtually(history())
        self.assertEqual(unanswered, 0)
        self.assertLess(late, MOST_LATE)

    # A pace is known where it is told, and the router that was told goes away.
    def test_the_next_owner_holds_it_back_after_its_owner_drained(self) -> None:
        async def history() -> tuple[int, float, bool]:
            fleet = Fleet()
            await fleet.meet()
            first = fleet.owner()
            others = tuple(name for name in ROUTERS if name != first.state.name)

            def drain() -> None:
                first.state.phase = Phase.DRAINING

            asyncio.get_running_loop().call_later(FAILS, drain)
            unanswered = await fleet.run(others)
            return unanswered, fleet.late(RECOVERED), fleet.owner() is not first

        unanswered, late, has_moved = run_virtually(history())
        self.assertEqual((unanswered, has_moved), (0, True))
        self.assertLess(late, MOST_LATE)

    # The owner is asked by others alone here, so it knows no pace but by their packets.
    def test_lost_packets_cost_the_lowered_ceiling_and_nothing_else(self) -> None:
        async def history() -> tuple[int, int, float]:
            fleet = Fleet()
            await fleet.meet()
            owner = fleet.owner()
            owner.state.load_management = "on"
            others = tuple(name for name in ROUTERS if name != owner.state.name)
            loop = asyncio.get_running_loop()

            def lose(are_lost: bool) -> None:
                fleet.are_notices_lost = are_lost

            paces: list[int] = []
            loop.call_later(FAILS, lose, True)
            loop.call_later(FAILS + 0.7, lambda: paces.append(fleet.owner_pace()))
            loop.call_later(RECOVERED - 1.0, lose, False)
            unanswered = await fleet.run(others)
            return unanswered, paces[0], fleet.late(RECOVERED)

        unanswered, pace, late = run_virtually(history())
        self.assertEqual((unanswered, pace), (0, USUAL_PACE))
        self.assertLess(late, MOST_LATE)
