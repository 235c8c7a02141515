"""Requests under which engines end, at several routers that run them in the same moments."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.kernel import Tasks
from pondhatch.membership import (
    Address,
    Alive,
    Datagram,
    Gossip,
    Member,
    MembershipLimits,
    Phase,
    short_id,
)
from pondhatch.observing import NoRecords
from pondhatch.placement import OPEN
from pondhatch.quarantine import ENDS_TO_QUARANTINE
from pondhatch.requests import QUARANTINED, Target
from pondhatch.router import CRASH_MARK, CrashGuarding, RouterState
from pondhatch.router._crash_guarding import FIRST_PROBES, PUSH_SECONDS

CAUSE = 1
#: Seconds for which one packet travels.
TRAVEL = 0.003
#: Seconds from the begin of a run to its end, or to its engine's.
RUN, END = 0.4, 0.1
#: Seconds after which an engine that ended is back, under another name.
BACK = 3.0
#: Engines that one attempt may be sent to.
MOST_TRIES = 2


@dataclass
class World:
    """Routers that hear each other, and engines."""

    routers: int
    engines: int
    rng: random.Random
    #: Share of packets that are lost.
    loss: float = 0.0
    #: Seconds for which an engine that ended still takes connections.
    lingers: float = 0.0
    guards: list[CrashGuarding] = field(default_factory=list)
    live: dict[str, asyncio.Event] = field(default_factory=dict)
    #: Engines that ended, by the request that ended them.
    ended: list[int] = field(default_factory=list)
    #: When each engine ended, in the loop's seconds.
    ended_at: dict[str, float] = field(default_factory=dict)
    #: What became of attempts, in order.
    outcomes: list[tuple[int, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks = Tasks()
        self.members = tuple(
            Member(f"r{at}", Address("10.0.0.1", at), "h1", Phase.LIVE)
            for at in range(self.routers)
        )
        self.guards = [self.new_guard(member) for member in self.members]
        for _ in range(self.engines):
            self.start_engine()

    def new_guard(self, member: Member) -> CrashGuarding:
        own = Alive(short_id(member.name), 1, Phase.LIVE, member.name, "10.0.0.1", 7, "h1")
        gossip = Gossip(own, MembershipLimits(), random.Random(1))
        nobody: Any = None
        state = RouterState(member.name, "h1", gossip, self.loop.time, lambda _: nobody)
        state._members = self.members
        return CrashGuarding(state, self.send, self.tasks, self.rng, NoRecords(), self.has_ended)

    async def has_ended(self, target: Target) -> bool:
        await asyncio.sleep(TRAVEL)
        ended_at = self.ended_at.get(target.name, float("inf"))
        return self.loop.time() >= ended_at + self.lingers

    def send(self, datagrams: Iterable[Datagram]) -> None:
        for each in datagrams:
            if self.rng.random() >= self.loss:
                payload = each.payload.removeprefix(CRASH_MARK)
                self.loop.call_later(TRAVEL, self.guards[each.to.port].receive, payload)

    def start_engine(self) -> None:
        self.live[f"i-{len(self.live)}-{len(self.ended)}-{self.rng.random()}"] = asyncio.Event()

    def end_engine(self, name: str, digest: int) -> None:
        self.live.pop(name).set()
        self.ended.append(digest)
        self.ended_at[name] = self.loop.time()
        self.loop.call_later(BACK, self.start_engine)

    async def attempt(self, router: int, digest: int) -> str:
        """Have a request run at one engine after another; return how that ended."""
        watch = self.guards[router].watch(digest)
        outcome = "lost"
        until = self.loop.time() + 8.0
        try:
            for _ in range(MOST_TRIES):
                refusal = await watch.wait_for_turn(lambda: until - self.loop.time())
                if refusal is not None:
                    outcome = refusal.code
                    break
                while not self.live:
                    await asyncio.sleep(0.1)
                if await self._run(watch, digest):
                    outcome = "whole"
                    break
            else:
                outcome = QUARANTINED.code if watch.is_quarantined() else outcome
        finally:
            watch.close()
        self.outcomes.append((digest, outcome))
        return outcome

    async def _run(self, watch: Any, digest: int) -> bool:
        engine = self.rng.choice(sorted(self.live))
        gone = self.live[engine]
        if digest == CAUSE:
            self.loop.call_later(END, self._end_if_there, engine)
        try:
            async with asyncio.timeout(RUN):
                await gone.wait()
        except TimeoutError:
            watch.note_completed()
            return True
        ended = await watch.note_connection_lost(Target(engine, "", OPEN, 1.5, 1, 8))
        if not ended and self.lingers < FIRST_PROBES[-1]:
            raise AssertionError("an end that the first probes can see was not seen")
        return False

    def _end_if_there(self, engine: str) -> None:
        if engine in self.live:
            self.end_engine(engine, CAUSE)

    async def rounds(self) -> None:
        """Run all routers' rounds, until cancelled."""
        while True:
            for guard in self.guards:
                guard.tick()
            await asyncio.sleep(0.1)


class HistoryTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        routers=st.integers(1, 6),
        engines=st.integers(2, 9),
        copies=st.integers(1, 2),
        pause=st.sampled_from((0.02, 0.3, 1.0)),
        innocents=st.integers(0, 40),
        lingers=st.sampled_from((0.0, 0.015)),
    )
    def test_one_request_ends_three_engines_and_no_other_is_held_back(
        self,
        seed: int,
        routers: int,
        engines: int,
        copies: int,
        pause: float,
        innocents: int,
        lingers: float,
    ) -> None:
        run_virtually(self.history(seed, routers, engines, copies, pause, innocents, lingers))

    async def history(
        self,
        seed: int,
        routers: int,
        engines: int,
        copies: int,
        pause: float,
        innocents: int,
        lingers: float,
    ) -> None:
        world = World(routers, engines, random.Random(seed), lingers=lingers)
        rounds = asyncio.ensure_future(world.rounds())

        async def repeat_cause() -> None:
            for _ in range(8):
                await world.attempt(world.rng.randrange(routers), CAUSE)
                await asyncio.sleep(pause)

        async def repeat_other(digest: int) -> None:
            await asyncio.sleep(world.rng.random() * 3)
            for _ in range(3):
                outcome = await world.attempt(world.rng.randrange(routers), digest)
                if outcome != "lost":
                    return
                await asyncio.sleep(pause)

        callers = [repeat_cause() for _ in range(copies)]
        callers += [repeat_other(100 + at) for at in range(innocents)]
        await asyncio.gather(*callers)
        rounds.cancel()
        self.assertLessEqual(len(world.ended), ENDS_TO_QUARANTINE)
        told = [outcome for digest, outcome in world.outcomes if digest == CAUSE]
        self.assertEqual(told[-1], QUARANTINED.code)
        others = [outcome for digest, outcome in world.outcomes if digest != CAUSE]
        self.assertNotIn(QUARANTINED.code, others)

    @settings(max_examples=50, deadline=None)
    @given(seed=st.integers(0, 2**32))
    def test_where_a_fifth_of_all_packets_is_lost_it_is_known_everywhere_soon(
        self, seed: int
    ) -> None:
        run_virtually(self.lossy_history(seed))

    async def lossy_history(self, seed: int) -> None:
        world = World(6, 9, random.Random(seed), loss=0.2)
        rounds = asyncio.ensure_future(world.rounds())
        for at in range(3):
            await world.attempt(at, CAUSE)
        await asyncio.sleep(10 * PUSH_SECONDS)
        rounds.cancel()
        for guard in world.guards:
            self.assertTrue(guard.is_quarantined(CAUSE))


class OneRouterTest(unittest.TestCase):
    def test_a_caller_that_leaves_after_the_cut_leaves_the_evidence(self) -> None:
        async def history() -> None:
            world = World(2, 3, random.Random(1))
            attempt = asyncio.ensure_future(world.attempt(0, CAUSE))
            await asyncio.sleep(END + TRAVEL / 2)
            attempt.cancel()
            await asyncio.sleep(1.0)
            self.assertEqual([guard.suspects.ends(CAUSE) for guard in world.guards], [1, 1])

        run_virtually(history())

    def test_an_end_that_shows_late_is_evidence_all_the_same(self) -> None:
        async def history() -> None:
            world = World(2, 3, random.Random(1), lingers=0.3)
            await world.attempt(0, CAUSE)
            await asyncio.sleep(1.0)
            self.assertEqual([guard.suspects.ends(CAUSE) for guard in world.guards], [2, 2])

        run_virtually(history())

    def test_an_engine_that_lives_on_is_looked_at_four_times_and_no_evidence(self) -> None:
        async def history() -> None:
            world = World(1, 1, random.Random(1))
            (engine,) = world.live
            watch, began = world.guards[0].watch(CAUSE), world.loop.time()
            self.assertFalse(await watch.note_connection_lost(Target(engine, "", OPEN, 1.5, 1, 8)))
            self.assertLess(world.loop.time() - began, 0.03)
            await asyncio.sleep(1.0)
            self.assertFalse(watch.is_suspected())

        run_virtually(history())

    def test_a_router_that_starts_is_told_what_the_others_know(self) -> None:
        async def history() -> None:
            world = World(4, 9, random.Random(1))
            for at in range(2):
                await world.attempt(at, CAUSE)
            world.guards[3] = world.new_guard(world.members[3])
            for guard in world.guards[:3]:
                guard._state._members = world.members[:3]
                guard.tick()
                guard._state._members = world.members
                guard.tick()
            await asyncio.sleep(2 * TRAVEL)
            self.assertTrue(world.guards[3].is_quarantined(CAUSE))

        run_virtually(history())

    def test_a_quiet_fleet_sends_nothing(self) -> None:
        async def history() -> None:
            world = World(2, 1, random.Random(1))
            sent: list[Datagram] = []
            world.guards[0]._send = sent.extend
            await world.attempt(0, 5)
            for _ in range(50):
                world.guards[0].tick()
                await asyncio.sleep(0.1)
            self.assertEqual(sent, [])

        run_virtually(history())

    def test_what_does_not_parse_is_dropped(self) -> None:
        async def history() -> None:
            world = World(1, 1, random.Random(1))
            for payload in (b"", b"\x93\x50", b"nonsense", b"\x92\x50\x91\x92\x01\x02"):
                world.guards[0].receive(payload)
            self.assertEqual(world.guards[0].suspects.ends(CAUSE), 0)

        run_virtually(history())
