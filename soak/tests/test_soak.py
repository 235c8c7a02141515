"""Short runs of one seed each against the real programs."""

from __future__ import annotations

import asyncio
import unittest

from soak._plan import draw_plan
from soak._run import run_plan

#: Draws, among others, leaving and resting engines, and a frozen and a killed router.
SEED = 32
SECONDS = 18.0
#: Draws each kind of load fault.
LOAD_SEED = 12


class SoakTest(unittest.TestCase):
    def test_no_promise_breaks_under_drawn_faults(self) -> None:
        records, broken = asyncio.run(run_plan(draw_plan(SEED, SECONDS, 4)))
        self.assertEqual(broken, [])
        self.assertGreater(len(records.attempts), 100)


class LoadSoakTest(unittest.TestCase):
    def test_no_promise_breaks_where_load_is_managed(self) -> None:
        plan = draw_plan(LOAD_SEED, SECONDS, 4, manages_load=True)
        records, broken = asyncio.run(run_plan(plan))
        self.assertEqual(broken, [])
        self.assertGreater(len(records.attempts), 100)
