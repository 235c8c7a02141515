"""Large requests among many small ones, at engines whose memory is short.

The pattern: long documents come now and then among short chats. By the count of requests alone an
engine gets several long ones at once, runs out of memory, and breaks streams off.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar
from unittest.mock import patch

from msgspec.structs import replace

from fakes._virtual_loop import run_virtually
from pondhatch.limits import RetryBudget
from pondhatch.membership import short_id
from pondhatch.placement import OPEN, Granted, winner
from pondhatch.requests import (
    AnswerStarted,
    BodySource,
    Busy,
    Collaborators,
    Dispatch,
    EndReason,
    GrantRequest,
    Headers,
    OwnerReply,
    PartSink,
    Placed,
    ReplayableBody,
    RequestHead,
    Target,
    WaitLimits,
)
from pondhatch.requests._owner_timeouts import INITIAL_WAIT
from pondhatch.requests.tests._history import Fleet, View

Result = TypeVar("Result")

ENGINES = ("e0", "e1", "e2")
#: Tokens that an engine's memory holds.
MEMORY = 10_000
#: Tokens and seconds of a short chat, and of a long document.
SMALL, SMALL_SECONDS = 300, 0.3
LARGE, LARGE_SECONDS = 4_000, 1.0
#: Arrivals a second of both: together three quarters of the engines' memory on average.
SMALL_RATE, LARGE_RATE = 40.0, 4.0
SECONDS = 30.0


def run(main: Coroutine[Any, Any, Result], managed: bool = True) -> Result:
    """Run a test in virtual time at engines with a memory, whose owners may know of it."""

    def target(view: View, engine: str) -> Target:
        return Target(engine, "", OPEN, 1.5, len(ENGINES), 48, load_slack=40, memory_tokens=MEMORY)

    with (
        patch.object(View, "is_load_managed", lambda view: managed),
        patch.object(View, "target", target),
    ):
        return run_virtually(main)


def head(tokens: int, **changes: Any) -> RequestHead:
    """Return the head of a request with a prompt of its own."""
    plain = RequestHead("q", "a", "s", 0, "POST", "/", (), True, 10.0, 5, prompt_tokens=tokens)
    return replace(plain, **changes)


class Answer:
    """An answer that takes a while, and holds memory until its end."""

    status = 200
    headers: Headers = ()

    def __init__(self, seconds: float, ended: Callable[[], None]) -> None:
        self._seconds, self._ended = seconds, ended

    async def stream_to(self, sink: PartSink) -> None:
        await asyncio.sleep(self._seconds)
        self._ended()

    def cancel(self) -> None:
        self._ended()


class Engines:
    """See Upstreams; notes the most tokens that any engine held at once."""

    def __init__(self) -> None:
        self.used: Counter[str] = Counter()
        self.most = 0

    async def send(self, target: Target, head: RequestHead, body: BodySource) -> AnswerStarted:
        tokens = head.prompt_tokens
        self.used[target.name] += tokens
        self.most = max(self.most, self.used[target.name])
        seconds = LARGE_SECONDS if tokens == LARGE else SMALL_SECONDS
        return AnswerStarted(Answer(seconds, lambda: self.used.subtract({target.name: tokens})))


async def play() -> tuple[int, dict[int, float]]:
    """Return the most tokens at one engine, and the share served of each size."""
    fleet, engines, rng = Fleet([], [], False), Engines(), random.Random(1)
    came: Counter[int] = Counter()
    served: Counter[int] = Counter()

    async def request(number: int, tokens: int) -> None:
        router = fleet.routers[fleet.names[number % 3]]
        asked = head(tokens, request_id=f"q{number}")
        ways, body = Collaborators(router.entry, engines), ReplayableBody(b"")
        walk = Dispatch(
            router.view, ways, RetryBudget(), asked, body, lambda: 10.0, WaitLimits(0.0, 2.0)
        )
        came[tokens] += 1
        placed = await walk.run()
        if isinstance(placed, Placed):
            served[tokens] += 1
            await placed.reply.answer.stream_to(None)  # type: ignore[arg-type]

    async def arrive(rate: float, tokens: int, tasks: list[asyncio.Task[None]]) -> None:
        while asyncio.get_running_loop().time() < SECONDS:
            await asyncio.sleep(rng.expovariate(rate))
            tasks.append(asyncio.create_task(request(len(tasks), tokens)))

    tasks: list[asyncio.Task[None]] = []
    await asyncio.gather(arrive(SMALL_RATE, SMALL, tasks), arrive(LARGE_RATE, LARGE, tasks))
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    assert not any(
        router.owner._engine_memory._counts.by_engine for router in fleet.routers.values()
    )
    return engines.most, {tokens: served[tokens] / came[tokens] for tokens in came}


class LargeAmongSmallTest(unittest.TestCase):
    def test_no_engine_runs_out_of_memory_and_both_sizes_are_served(self) -> None:
        most, share_by_tokens = run(play())
        self.assertLessEqual(most, MEMORY)
        for tokens, share in share_by_tokens.items():
            self.assertGreater(share, 0.95, tokens)

    def test_where_load_is_not_managed_nothing_is_held_back(self) -> None:
        most, share_by_tokens = run(play(), managed=False)
        self.assertGreater(most, MEMORY)
        self.assertEqual(set(share_by_tokens.values()), {1.0})


class OwnerCase(unittest.TestCase):
    """A fleet of three; ``owner`` owns the engine, ``entry`` asks."""

    def setUp(self) -> None:
        self.owner = winner("e0", ("r0", "r1", "r2")) or ""
        self.entry = next(name for name in ("r0", "r1", "r2") if name != self.owner)

    async def ask(
        self, fleet: Fleet, tokens: int, owner: str = "", engine: str = "e0", **changes: Any
    ) -> tuple[OwnerReply, int]:
        """Return an owner's reply, and the number of the question."""
        entry = fleet.routers[self.entry].entry
        number, fields = entry.next_number(), {"chat": 0, "priority": 5, **changes}
        asked = GrantRequest(number, short_id(self.entry), engine, "a", tokens=tokens, **fields)
        return await entry.ask(owner or self.owner, asked, INITIAL_WAIT), number

    def used(self, fleet: Fleet, owner: str = "") -> int:
        return fleet.routers[owner or self.owner].owner._engine_memory._counts.used("e0")


class WaitingTest(OwnerCase):
    def test_a_large_request_gets_its_memory_though_small_ones_go_on_coming(self) -> None:
        async def main() -> tuple[OwnerReply, float]:
            fleet = Fleet([], [], False)
            release = fleet.routers[self.entry].entry.release

            async def small() -> None:
                reply, number = await self.ask(fleet, 1_000)
                await asyncio.sleep(0.5)
                if isinstance(reply, Granted):
                    release(number, EndReason.ANSWERED)

            async def arrive() -> None:
                while True:
                    tasks.append(asyncio.create_task(small()))
                    await asyncio.sleep(0.05)

            tasks: list[asyncio.Task[None]] = [asyncio.create_task(arrive())]
            await asyncio.sleep(1.0)
            began = asyncio.get_running_loop().time()
            reply, _ = await self.ask(fleet, 8_000, max_wait_ms=5_000)
            for task in tasks:
                task.cancel()
            return reply, asyncio.get_running_loop().time() - began

        reply, waited = run(main())
        self.assertIsInstance(reply, Granted)
        # As long as those take that ran when it came.
        self.assertLess(waited, 0.7)

    def test_one_that_stops_waiting_keeps_no_memory(self) -> None:
        async def main() -> tuple[OwnerReply, OwnerReply, int]:
            fleet = Fleet([], [], False)
            await self.ask(fleet, 5_000)
            waiting = asyncio.ensure_future(self.ask(fleet, 8_000, max_wait_ms=5_000))
            await asyncio.sleep(0.2)
            during, _ = await self.ask(fleet, 1_000)
            waiting.cancel()
            await asyncio.sleep(0.2)
            after, _ = await self.ask(fleet, 1_000)
            return during, after, self.used(fleet)

        during, after, used = run(main())
        self.assertIsInstance(during, Busy)
        self.assertIsInstance(after, Granted)
        self.assertEqual(used, 6_000)


class FailureTest(OwnerCase):
    """Owners that change or start anew while requests run."""

    def test_a_new_owner_counts_what_it_is_told_as_the_mean_of_what_it_knows(self) -> None:
        async def main() -> tuple[int, OwnerReply, int]:
            fleet = Fleet([], [], False)
            numbers = [(await self.ask(fleet, 3_000))[1] for _ in range(2)]
            fleet.network.silent.add(self.owner)
            heir = winner("e0", fleet.live) or ""
            for router in fleet.routers.values():
                router.view.moved_to = heir
            # What it granted at another engine, before it is told of those here.
            numbers.append((await self.ask(fleet, 4_000, heir, "e1"))[1])
            await asyncio.sleep(0.3)
            adopted = self.used(fleet, heir)
            reply, _ = await self.ask(fleet, 2_000, heir)
            for number in numbers:
                fleet.routers[self.entry].entry.release(number, EndReason.ANSWERED)
            await asyncio.sleep(0.3)
            return adopted, reply, self.used(fleet, heir)

        adopted, reply, left = run(main())
        self.assertEqual((adopted, left), (8_000, 0))
        self.assertIsInstance(reply, Busy)

    def test_an_owner_that_starts_anew_ends_with_a_count_of_nothing(self) -> None:
        async def main() -> tuple[int, int]:
            fleet = Fleet([], [], False)
            _, before = await self.ask(fleet, 3_000)
            owner, entry = fleet.routers[self.owner], fleet.routers[self.entry].entry
            owner.gate.by_engine.clear()
            owner.owner.leases.by_holder.clear()
            owner.owner._engine_memory._counts.by_engine.clear()
            entry.report_held_grants(self.owner)
            await asyncio.sleep(0.3)
            _, after = await self.ask(fleet, 2_000)
            used = self.used(fleet)
            for number in (before, after):
                entry.release(number, EndReason.ANSWERED)
            await asyncio.sleep(0.3)
            return used, self.used(fleet)

        self.assertEqual(run(main()), (2_000, 0))


class QuestionTest(unittest.TestCase):
    def asked(self, managed: bool, **stated: Any) -> GrantRequest:
        async def main() -> GrantRequest:
            router = Fleet([], [], False).routers["r0"]
            ways, body = Collaborators(router.entry, Engines()), ReplayableBody(b"")
            asked = head(1_000, **stated)
            walk = Dispatch(router.view, ways, RetryBudget(), asked, body, lambda: 10.0)
            return walk._new_grant_request("e0", is_forced=False)

        return run(main(), managed)

    def test_it_states_the_largest_shared_parts_in_few_bytes_and_the_rest_as_own(self) -> None:
        parts = ((2**32 + 7, 100), (8, 50), (9, 60), (10, 70), (11, 80))
        question = self.asked(True, answer_tokens=200, prompt_parts=parts)
        expected = ((7, 100), (11, 80), (10, 70), (9, 60), (0, 690))
        self.assertEqual((question.tokens, question.parts), (200, expected))

    def test_it_states_nothing_where_load_is_not_managed(self) -> None:
        question = self.asked(False, answer_tokens=200)
        self.assertEqual((question.tokens, question.parts), (0, ()))
