"""Waiting for a slot of a full engine: granted, timed out, evicted, or refused at once."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from fakes._virtual_loop import run_virtually
from pondhatch.placement import Full, GateDecision, Granted
from pondhatch.requests import GrantRequest
from pondhatch.requests._engine_queues import QUEUE_LIMIT, EngineQueues

FULL = Full(2, 2)
GRANT_REQUEST = GrantRequest(1, 1, "e", "a", chat=0, priority=5, max_wait_ms=1000)


class FullEngine:
    """A full engine, whose slots the test releases."""

    def __init__(self) -> None:
        self.free = 0
        self.returned = 0
        self.queues = EngineQueues(self.return_slot)

    def return_slot(self, engine: str) -> None:
        self.returned += 1

    def ask(self) -> GateDecision:
        if self.free == 0:
            return FULL
        self.free -= 1
        return Granted(2, 2)

    def wait(self, grant_request: GrantRequest = GRANT_REQUEST) -> asyncio.Task[GateDecision]:
        return asyncio.ensure_future(self.queues.wait(grant_request, FULL, self.ask))

    def release(self) -> None:
        self.free += 1
        self.queues.note_released("e", asyncio.get_running_loop().time())


class EngineQueuesTest(unittest.TestCase):
    def test_a_freed_slot_goes_to_a_waiting_request(self) -> None:
        async def main() -> tuple[GateDecision, int]:
            engine = FullEngine()
            waiting = engine.wait()
            await asyncio.sleep(0.1)
            engine.release()
            return await waiting, engine.queues.waiting_count("e")

        self.assertEqual(run_virtually(main()), (Granted(2, 2), 0))

    # A request that left the queue removed the entry of another request, and then no waiting
    # request got a slot of the engine any more.
    def test_a_request_that_joins_as_the_last_ones_leave_is_served(self) -> None:
        async def main() -> tuple[GateDecision, GateDecision, int]:
            engine = FullEngine()
            first, second = engine.wait(), engine.wait()
            await asyncio.sleep(0.1)
            # In one iteration of the event loop, in this order: the second leaves, the third
            # joins, and the first, which is granted, resumes after both.
            second.cancel()
            third = engine.wait()
            engine.release()
            granted = await first
            engine.release()
            return granted, await third, engine.queues.waiting_count("e")

        self.assertEqual(run_virtually(main()), (Granted(2, 2), Granted(2, 2), 0))

    def test_a_wait_ends_at_its_limit(self) -> None:
        async def main() -> tuple[GateDecision, float]:
            decision = await FullEngine().wait()
            return decision, asyncio.get_running_loop().time()

        decision, at = run_virtually(main())
        self.assertEqual(decision, FULL)
        self.assertAlmostEqual(at, 1.0, places=2)

    def test_a_grant_to_a_cancelled_request_returns_its_slot(self) -> None:
        async def main() -> int:
            engine = FullEngine()
            waiting = engine.wait()
            await asyncio.sleep(0.1)
            engine.release()
            waiting.cancel()
            await asyncio.wait([waiting])
            return engine.returned + engine.free

        self.assertEqual(run_virtually(main()), 1)

    def test_a_full_queue_refuses_equal_priority_and_evicts_for_a_higher_one(self) -> None:
        async def main() -> tuple[list[GateDecision], GateDecision]:
            engine = FullEngine()
            waiting = [engine.wait() for _ in range(QUEUE_LIMIT)]
            await asyncio.sleep(0.01)
            refused = await engine.wait()
            urgent = engine.wait(msgspec.structs.replace(GRANT_REQUEST, priority=0))
            await asyncio.sleep(0.01)
            evicted = [task.result() for task in waiting if task.done()]
            engine.release()
            return [refused, *evicted], await urgent

        refused, urgent = run_virtually(main())
        self.assertEqual((refused, urgent), ([FULL, FULL], Granted(2, 2)))

    def test_a_request_that_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        async def main() -> tuple[GateDecision, float]:
            engine = FullEngine()
            patient = msgspec.structs.replace(GRANT_REQUEST, max_wait_ms=9000)
            waiting = [engine.wait(patient) for _ in range(6)]
            for _ in range(4):
                engine.release()
                await asyncio.sleep(0.5)
            waiting.append(engine.wait(patient))
            await asyncio.sleep(0.01)
            before = asyncio.get_running_loop().time()
            decision = await engine.wait()
            spent = asyncio.get_running_loop().time() - before
            await asyncio.gather(*waiting)
            return decision, spent

        self.assertEqual(run_virtually(main()), (FULL, 0.0))

    def test_one_accounts_queue_does_not_refuse_another_account(self) -> None:
        async def main() -> tuple[GateDecision, float]:
            engine = FullEngine()
            first_account = msgspec.structs.replace(GRANT_REQUEST, max_wait_ms=60_000)
            waiting = [engine.wait(first_account) for _ in range(QUEUE_LIMIT)]
            for _ in range(4):
                engine.release()
                await asyncio.sleep(0.5)
            waiting += [engine.wait(first_account) for _ in range(4)]
            await asyncio.sleep(0.01)
            began = asyncio.get_running_loop().time()
            second_account = engine.wait(msgspec.structs.replace(GRANT_REQUEST, account="quiet"))
            await asyncio.sleep(0.5)
            engine.release()
            decision = await second_account
            spent = asyncio.get_running_loop().time() - began
            for task in waiting:
                task.cancel()
            return decision, spent

        decision, spent = run_virtually(main())
        self.assertEqual(decision, Granted(2, 2))
        self.assertAlmostEqual(spent, 0.5, places=2)

    def test_idle_time_does_not_lower_the_expected_release_rate(self) -> None:
        async def main() -> GateDecision:
            engine = FullEngine()
            for pause in (60.0, 60.0, 0.0):
                engine.release()
                await asyncio.sleep(pause)
            engine.free = 0
            waiting = [engine.wait() for _ in range(3)]
            await asyncio.sleep(0.01)
            last = engine.wait()
            for _ in range(4):
                await asyncio.sleep(0.1)
                engine.release()
            await asyncio.gather(*waiting)
            return await last

        self.assertEqual(run_virtually(main()), Granted(2, 2))
