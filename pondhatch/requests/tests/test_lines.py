"""Waiting at a full engine: granted, out of patience, pushed out, refused at once."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from fakes._virtual_loop import run_virtually
from pondhatch.placement import Full, Granted, Verdict
from pondhatch.requests import GrantRequest
from pondhatch.requests._engine_queues import QUEUE_LIMIT, EngineQueues

FULL = Full(2, 2)
ASKED = GrantRequest(1, 1, "e", "a", chat=0, priority=5, max_wait_ms=1000)


class Engine:
    """A full engine whose slots the test frees."""

    def __init__(self) -> None:
        self.free = 0
        self.returned = 0
        self.lines = EngineQueues(self.give_back)

    def give_back(self, engine: str) -> None:
        self.returned += 1

    def ask(self) -> Verdict:
        if self.free == 0:
            return FULL
        self.free -= 1
        return Granted(2, 2)

    def wait(self, asked: GrantRequest = ASKED) -> asyncio.Task[Verdict]:
        return asyncio.ensure_future(self.lines.wait(asked, FULL, self.ask))

    def release(self) -> None:
        self.free += 1
        self.lines.note_released("e", asyncio.get_running_loop().time())


class LinesTest(unittest.TestCase):
    def test_a_freed_slot_goes_to_who_waits(self) -> None:
        async def main() -> tuple[Verdict, int]:
            engine = Engine()
            waiting = engine.wait()
            await asyncio.sleep(0.1)
            engine.release()
            return await waiting, engine.lines.waiting_count("e")

        self.assertEqual(run_virtually(main()), (Granted(2, 2), 0))

    # An engine was granted to nobody any more: whoever left took out the place of another.
    def test_who_joins_as_the_last_ones_leave_keeps_its_place(self) -> None:
        async def main() -> tuple[Verdict, Verdict, int]:
            engine = Engine()
            first, second = engine.wait(), engine.wait()
            await asyncio.sleep(0.1)
            # In this order in one turn of the loop: the second leaves, the third joins, and the
            # first, whose turn has come, is woken after both.
            second.cancel()
            third = engine.wait()
            engine.release()
            granted = await first
            engine.release()
            return granted, await third, engine.lines.waiting_count("e")

        self.assertEqual(run_virtually(main()), (Granted(2, 2), Granted(2, 2), 0))

    def test_patience_ends(self) -> None:
        async def main() -> tuple[Verdict, float]:
            verdict = await Engine().wait()
            return verdict, asyncio.get_running_loop().time()

        verdict, at = run_virtually(main())
        self.assertEqual(verdict, FULL)
        self.assertAlmostEqual(at, 1.0, places=2)

    def test_a_grant_to_one_who_went_away_is_given_back(self) -> None:
        async def main() -> int:
            engine = Engine()
            waiting = engine.wait()
            await asyncio.sleep(0.1)
            engine.release()
            waiting.cancel()
            await asyncio.wait([waiting])
            return engine.returned + engine.free

        self.assertEqual(run_virtually(main()), 1)

    def test_a_full_line_refuses_its_own_kind_and_makes_room_for_the_urgent(self) -> None:
        async def main() -> tuple[list[Verdict], Verdict]:
            engine = Engine()
            waiting = [engine.wait() for _ in range(QUEUE_LIMIT)]
            await asyncio.sleep(0.01)
            refused = await engine.wait()
            urgent = engine.wait(msgspec.structs.replace(ASKED, priority=0))
            await asyncio.sleep(0.01)
            pushed_out = [task.result() for task in waiting if task.done()]
            engine.release()
            return [refused, *pushed_out], await urgent

        refused, urgent = run_virtually(main())
        self.assertEqual((refused, urgent), ([FULL, FULL], Granted(2, 2)))

    def test_who_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        async def main() -> tuple[Verdict, float]:
            engine = Engine()
            patient = msgspec.structs.replace(ASKED, max_wait_ms=9000)
            waiting = [engine.wait(patient) for _ in range(6)]
            for _ in range(4):
                engine.release()
                await asyncio.sleep(0.5)
            waiting.append(engine.wait(patient))
            await asyncio.sleep(0.01)
            before = asyncio.get_running_loop().time()
            verdict = await engine.wait()
            spent = asyncio.get_running_loop().time() - before
            await asyncio.gather(*waiting)
            return verdict, spent

        self.assertEqual(run_virtually(main()), (FULL, 0.0))

    def test_a_quiet_account_is_not_refused_for_the_line_of_a_loud_one(self) -> None:
        async def main() -> tuple[Verdict, float]:
            engine = Engine()
            loud = msgspec.structs.replace(ASKED, max_wait_ms=60_000)
            waiting = [engine.wait(loud) for _ in range(QUEUE_LIMIT)]
            for _ in range(4):
                engine.release()
                await asyncio.sleep(0.5)
            waiting += [engine.wait(loud) for _ in range(4)]
            await asyncio.sleep(0.01)
            began = asyncio.get_running_loop().time()
            quiet = engine.wait(msgspec.structs.replace(ASKED, account="quiet"))
            await asyncio.sleep(0.5)
            engine.release()
            verdict = await quiet
            spent = asyncio.get_running_loop().time() - began
            for task in waiting:
                task.cancel()
            return verdict, spent

        verdict, spent = run_virtually(main())
        self.assertEqual(verdict, Granted(2, 2))
        self.assertAlmostEqual(spent, 0.5, places=2)

    def test_a_long_idle_time_says_nothing_of_an_engines_pace(self) -> None:
        async def main() -> Verdict:
            engine = Engine()
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
