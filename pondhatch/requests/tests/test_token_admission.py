"""Guards against engines that run out of memory and cut streams off.

The pattern: occasional long documents among many short chats. With a limit on the number of
requests alone, an engine gets several long ones at once.
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
from pondhatch.requests.tests._history import Fleet, RouterView

Result = TypeVar("Result")

ENGINES = ("e0", "e1", "e2")
#: Tokens that an engine's memory holds.
MEMORY = 10_000
#: Tokens and seconds of a short chat, and of a long document.
SMALL, SMALL_SECONDS = 300, 0.3
LARGE, LARGE_SECONDS = 4_000, 1.0
#: Arrivals per second of both kinds, which take three quarters of the engines' memory on average.
SMALL_RATE, LARGE_RATE = 40.0, 4.0
SECONDS = 30.0


def run_managed(main: Coroutine[Any, Any, Result], managed: bool = True) -> Result:
    """Run a test in virtual time with engines of limited memory; ``managed`` is load management."""

    def target(view: RouterView, engine: str) -> Target:
        return Target(engine, "", OPEN, 1.5, len(ENGINES), 48, load_slack=40, memory_tokens=MEMORY)

    with (
        patch.object(RouterView, "is_load_managed", lambda view: managed),
        patch.object(RouterView, "target", target),
    ):
        return run_virtually(main)


def head(tokens: int, **changes: Any) -> RequestHead:
    """Return the head of a request whose prompt shares no parts with others."""
    plain = RequestHead("q", "a", "s", 0, "POST", "/", (), True, 10.0, 5, prompt_tokens=tokens)
    return replace(plain, **changes)


class Answer:
    """An answer that takes ``seconds`` and holds memory until its end."""

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
    """Records the largest number of tokens that any engine held at once; see Upstreams."""

    def __init__(self) -> None:
        self.used: Counter[str] = Counter()
        self.max_used = 0

    async def send(self, target: Target, head: RequestHead, body: BodySource) -> AnswerStarted:
        tokens = head.prompt_tokens
        self.used[target.name] += tokens
        self.max_used = max(self.max_used, self.used[target.name])
        seconds = LARGE_SECONDS if tokens == LARGE else SMALL_SECONDS
        return AnswerStarted(Answer(seconds, lambda: self.used.subtract({target.name: tokens})))


async def simulate() -> tuple[int, dict[int, float]]:
    """Return the peak of tokens at one engine, and the share of requests served by size."""
    fleet, engines, rng = Fleet([], [], False), Engines(), random.Random(1)
    arrived: Counter[int] = Counter()
    served: Counter[int] = Counter()

    async def request(number: int, tokens: int) -> None:
        router = fleet.routers[fleet.names[number % 3]]
        request_head = head(tokens, request_id=f"q{number}")
        collaborators, body = Collaborators(router.entry, engines), ReplayableBody(b"")
        dispatch = Dispatch(
            router.view,
            collaborators,
            RetryBudget(),
            request_head,
            body,
            lambda: 10.0,
            WaitLimits(0.0, 2.0),
        )
        arrived[tokens] += 1
        placed = await dispatch.run()
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
    return engines.max_used, {tokens: served[tokens] / arrived[tokens] for tokens in arrived}


class LargeAmongSmallTest(unittest.TestCase):
    def test_no_engine_runs_out_of_memory_and_both_sizes_are_served(self) -> None:
        most, share_by_tokens = run_managed(simulate())
        self.assertLessEqual(most, MEMORY)
        for tokens, share in share_by_tokens.items():
            self.assertGreater(share, 0.95, tokens)

    def test_without_load_management_nothing_is_held_back(self) -> None:
        most, share_by_tokens = run_managed(simulate(), managed=False)
        self.assertGreater(most, MEMORY)
        self.assertEqual(set(share_by_tokens.values()), {1.0})


class OwnerCase(unittest.TestCase):
    """Three routers: ``owner`` owns the engine, ``entry`` requests grants from it."""

    def setUp(self) -> None:
        self.owner = winner("e0", ("r0", "r1", "r2")) or ""
        self.entry = next(name for name in ("r0", "r1", "r2") if name != self.owner)

    async def ask(
        self, fleet: Fleet, tokens: int, owner: str = "", engine: str = "e0", **changes: Any
    ) -> tuple[OwnerReply, int]:
        """Return an owner's reply, and the number of the grant request."""
        entry = fleet.routers[self.entry].entry
        number, fields = entry.next_number(), {"chat": 0, "priority": 5, **changes}
        grant_request = GrantRequest(
            number, short_id(self.entry), engine, "a", tokens=tokens, **fields
        )
        return await entry.ask(owner or self.owner, grant_request, INITIAL_WAIT), number

    def used(self, fleet: Fleet, owner: str = "") -> int:
        return fleet.routers[owner or self.owner].owner._engine_memory._counts.used("e0")


class WaitingTest(OwnerCase):
    def test_a_large_request_gets_its_memory_while_small_ones_keep_arriving(self) -> None:
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

        reply, waited = run_managed(main())
        self.assertIsInstance(reply, Granted)
        # The requests that were running when it arrived take 0.5 s.
        self.assertLess(waited, 0.7)

    def test_a_cancelled_request_keeps_no_memory(self) -> None:
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

        during, after, used = run_managed(main())
        self.assertIsInstance(during, Busy)
        self.assertIsInstance(after, Granted)
        self.assertEqual(used, 6_000)


class FailureTest(OwnerCase):
    """Owners that change or restart while requests run."""

    def test_a_new_owner_counts_adopted_grants_at_its_mean_size(self) -> None:
        async def main() -> tuple[int, OwnerReply, int]:
            fleet = Fleet([], [], False)
            numbers = [(await self.ask(fleet, 3_000))[1] for _ in range(2)]
            fleet.network.silent.add(self.owner)
            successor = winner("e0", fleet.live) or ""
            for router in fleet.routers.values():
                router.view.owner_override = successor
            # The successor grants one at another engine before it learns of the two grants above,
            # so its mean is 4,000 tokens.
            numbers.append((await self.ask(fleet, 4_000, successor, "e1"))[1])
            await asyncio.sleep(0.3)
            adopted = self.used(fleet, successor)
            reply, _ = await self.ask(fleet, 2_000, successor)
            for number in numbers:
                fleet.routers[self.entry].entry.release(number, EndReason.ANSWERED)
            await asyncio.sleep(0.3)
            return adopted, reply, self.used(fleet, successor)

        adopted, reply, left = run_managed(main())
        self.assertEqual((adopted, left), (8_000, 0))
        self.assertIsInstance(reply, Busy)

    def test_a_restarted_owner_ends_with_a_count_of_zero(self) -> None:
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

        self.assertEqual(run_managed(main()), (2_000, 0))


class GrantRequestTest(unittest.TestCase):
    def grant_request(self, managed: bool, **stated: Any) -> GrantRequest:
        async def main() -> GrantRequest:
            router = Fleet([], [], False).routers["r0"]
            collaborators, body = Collaborators(router.entry, Engines()), ReplayableBody(b"")
            request_head = head(1_000, **stated)
            dispatch = Dispatch(
                router.view, collaborators, RetryBudget(), request_head, body, lambda: 10.0
            )
            return dispatch._new_grant_request("e0", is_forced=False)

        return run_managed(main(), managed)

    def test_a_grant_request_states_the_largest_shared_parts_and_the_rest_as_own(self) -> None:
        parts = ((2**32 + 7, 100), (8, 50), (9, 60), (10, 70), (11, 80))
        grant_request = self.grant_request(True, answer_tokens=200, prompt_parts=parts)
        expected = ((7, 100), (11, 80), (10, 70), (9, 60), (0, 690))
        self.assertEqual((grant_request.tokens, grant_request.parts), (200, expected))

    def test_a_grant_request_states_no_tokens_without_load_management(self) -> None:
        grant_request = self.grant_request(False, answer_tokens=200)
        self.assertEqual((grant_request.tokens, grant_request.parts), (0, ()))
