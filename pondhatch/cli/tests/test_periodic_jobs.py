from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from loguru import logger

from fakes._virtual_loop import run_virtually
from pondhatch.cli._periodic_jobs import ROUND_SECONDS, PeriodicJobs
from pondhatch.cli._router_process import RouterProcess

#: Methods that are called once a round, each by a job of its own.
JOBS = (
    "state.tick",
    "_platform_reading.checks.tick",
    "_state_recorder.record_changes",
    "_grant_exchange.tick",
    "_crash_evidence.tick",
    "_notice_exchange.tick",
    "_stream_origins.tick",
    "_paths.tick",
    "_relay_calls.close_gone",
    "_connections.close_gone",
    "state.gossip.tick",
    "state.limits.tick",
)
#: Seconds for which the jobs run: about 50 rounds.
RUN_SECONDS = 5.0


class FailingJobTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        number = logger.add(self.lines.append, level="ERROR", format="{message}")
        self.addCleanup(logger.remove, number)

    def run_with(self, failing: str) -> dict[str, int]:
        """Run a router's jobs, one of which fails; return how often each was called."""
        components = mock.MagicMock()
        process: Any = RouterProcess.__new__(RouterProcess)
        process.state = components.state
        for name in (
            "_platform_reading",
            "_state_recorder",
            "_grant_exchange",
            "_crash_evidence",
            "_notice_exchange",
            "_stream_origins",
            "_paths",
            "_relay_calls",
            "_connections",
            "_gossip_port",
        ):
            setattr(process, name, getattr(components, name))
        _nested_attribute(components, failing).side_effect = ValueError(f"in {failing}")

        async def main() -> None:
            components.state.clock = asyncio.get_running_loop().time
            task = asyncio.ensure_future(process._new_periodic_jobs().run())
            await asyncio.sleep(RUN_SECONDS)
            task.cancel()

        run_virtually(main())
        return {name: _nested_attribute(components, name).call_count for name in JOBS}

    def test_a_failing_job_does_not_stop_the_others(self) -> None:
        for failing in JOBS:
            with self.subTest(failing=failing):
                self.lines.clear()
                counts = self.run_with(failing)
                self.assertGreater(min(counts.values()), 40, counts)
                self.assertEqual(len(self.lines), 1, self.lines)
                self.assertIn(f"in {failing}", self.lines[0])


class LoopIterationsTest(unittest.TestCase):
    def test_a_round_is_one_iteration_of_the_loop(self) -> None:
        async def main() -> tuple[int, int]:
            loop: Any = asyncio.get_running_loop()
            jobs = PeriodicJobs({"counted": lambda: None}, loop.time)
            with mock.patch.object(loop, "_run_once", wraps=loop._run_once) as iterations:
                task = asyncio.ensure_future(jobs.run())
                await asyncio.sleep(RUN_SECONDS)
                task.cancel()
            return iterations.call_count, round(RUN_SECONDS / ROUND_SECONDS)

        iterations, rounds = run_virtually(main())
        # Starting and cancelling the jobs takes some more iterations.
        self.assertLess(iterations, rounds + 10)


class RanAtTest(unittest.TestCase):
    def test_the_jobs_tell_when_the_latest_round_began(self) -> None:
        async def main() -> list[float]:
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            jobs = PeriodicJobs({"none": lambda: None}, loop.time)
            found = [jobs.ran_at() - began_at]
            task = asyncio.ensure_future(jobs.run())
            for _ in range(2):
                await asyncio.sleep(1.5 * ROUND_SECONDS)
                found.append(jobs.ran_at() - began_at)
            task.cancel()
            return found

        before, first, later = run_virtually(main())
        self.assertEqual(before, 0.0)
        self.assertAlmostEqual(first, ROUND_SECONDS)
        self.assertAlmostEqual(later, 3 * ROUND_SECONDS)


def _nested_attribute(parts: Any, name: str) -> Any:
    for each in name.split("."):
        parts = getattr(parts, each)
    return parts
