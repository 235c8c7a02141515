"""Guards how long a starting router holds requests: until it is ready, within a bound."""

from __future__ import annotations

import asyncio
import unittest

from fakes._virtual_loop import run_virtually
from pondhatch.router import RouterState, StartupWait
from pondhatch.router._startup_wait import MAX_WAIT_SECONDS, STARTUP_SECONDS
from pondhatch.router.tests.test_sync import FIRST, router
from pondhatch.store import Listed, Upstream


def now() -> float:
    return asyncio.get_running_loop().time()


def starting_router() -> tuple[RouterState, StartupWait]:
    state = router("r0")
    state.clock = now
    return state, StartupWait(state)


async def seconds_waited(startup_wait: StartupWait) -> float:
    started_at = now()
    await startup_wait.wait()
    return now() - started_at


class StartupWaitTest(unittest.TestCase):
    def test_the_wait_ends_as_soon_as_all_is_known(self) -> None:
        async def main() -> float:
            state, startup_wait = starting_router()
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, state.apply_change, FIRST)
            upstream = Upstream("e0", "lang", "http://x", "h1")
            loop.call_later(0.03, state.upstreams.set, upstream, 5)
            loop.call_later(0.05, state.apply_listed_evacuations, Listed(5, ()))
            return await seconds_waited(startup_wait)

        self.assertAlmostEqual(run_virtually(main()), 0.05, delta=0.015)

    def test_one_request_waits_for_the_maximum_at_most(self) -> None:
        async def main() -> float:
            return await seconds_waited(starting_router()[1])

        self.assertAlmostEqual(run_virtually(main()), MAX_WAIT_SECONDS)

    def test_later_requests_wait_for_the_rest_of_the_startup_and_then_not_at_all(self) -> None:
        async def main() -> list[float]:
            _, startup_wait = starting_router()
            await asyncio.sleep(STARTUP_SECONDS - MAX_WAIT_SECONDS / 2)
            found = [await seconds_waited(startup_wait)]
            await asyncio.sleep(60)
            return [*found, await seconds_waited(startup_wait)]

        last, after = run_virtually(main())
        self.assertAlmostEqual(last, MAX_WAIT_SECONDS / 2, delta=0.011)
        self.assertEqual(after, 0.0)

    def test_a_cancelled_wait_does_not_end_others(self) -> None:
        async def main() -> float:
            _, startup_wait = starting_router()
            cancelled = asyncio.ensure_future(startup_wait.wait())
            await asyncio.sleep(0.01)
            waiting = asyncio.ensure_future(seconds_waited(startup_wait))
            await asyncio.sleep(0.01)
            cancelled.cancel()
            return await waiting

        self.assertAlmostEqual(run_virtually(main()), MAX_WAIT_SECONDS)
