from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from loguru import logger

from fakes._virtual_loop import run_virtually
from pondhatch.cli._rounds import ROUND_SECONDS, Rounds
from pondhatch.cli._router_process import RouterProcess

#: Calls of a round, each a part of its own.
PARTS = (
    "state.tick",
    "_beliefs.look",
    "_granting.tick",
    "_crash_guarding.tick",
    "_notice_keeping.tick",
    "_connections.close_gone",
    "state.gossip.tick",
    "state.limits.tick",
)
#: Seconds for which the rounds run: about 50 of them.
RUN_SECONDS = 5.0


class RoundsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        number = logger.add(self.lines.append, level="ERROR", format="{message}")
        self.addCleanup(logger.remove, number)

    def run_with(self, failing: str) -> dict[str, int]:
        """Run a router's rounds, one part of which fails; return how often each was run."""
        parts = mock.MagicMock()
        process: Any = RouterProcess.__new__(RouterProcess)
        process.state = parts.state
        for name in (
            "_beliefs",
            "_granting",
            "_crash_guarding",
            "_notice_keeping",
            "_connections",
            "_gossip_port",
        ):
            setattr(process, name, getattr(parts, name))
        _part(parts, failing).side_effect = ValueError(f"in {failing}")

        async def main() -> None:
            parts.state.clock = asyncio.get_running_loop().time
            task = asyncio.ensure_future(process._new_rounds().run())
            await asyncio.sleep(RUN_SECONDS)
            task.cancel()

        run_virtually(main())
        return {name: _part(parts, name).call_count for name in PARTS}

    def test_a_part_that_fails_keeps_no_other_from_running(self) -> None:
        for failing in PARTS:
            with self.subTest(failing=failing):
                self.lines.clear()
                counts = self.run_with(failing)
                self.assertGreater(min(counts.values()), 40, counts)
                self.assertEqual(len(self.lines), 1, self.lines)
                self.assertIn(f"in {failing}", self.lines[0])


class TurnsTest(unittest.TestCase):
    def test_a_round_is_one_turn_of_the_loop(self) -> None:
        async def main() -> tuple[int, int]:
            loop: Any = asyncio.get_running_loop()
            rounds = Rounds({"counted": lambda: None}, loop.time)
            with mock.patch.object(loop, "_run_once", wraps=loop._run_once) as turns:
                task = asyncio.ensure_future(rounds.run())
                await asyncio.sleep(RUN_SECONDS)
                task.cancel()
            return turns.call_count, round(RUN_SECONDS / ROUND_SECONDS)

        turns, rounds = run_virtually(main())
        # And some for the start and the end.
        self.assertLess(turns, rounds + 10)


def _part(parts: Any, name: str) -> Any:
    for each in name.split("."):
        parts = getattr(parts, each)
    return parts
