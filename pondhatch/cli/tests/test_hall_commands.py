"""Evacuating a data hall from the command line: what is shown, what is written, what is refused."""

from __future__ import annotations

import contextlib
import io
import unittest

from fakes._platform_in_memory import PlatformInMemory
from pondhatch.cli._hall_commands import set_evacuation
from pondhatch.cli._reports import EXIT_DONE, EXIT_INPUT, EXIT_UNKNOWN, EXIT_UNREACHABLE
from pondhatch.router import EVACUATION_KIND, UPSTREAM_KIND
from pondhatch.store import IN_FORCE, Evacuations, Listed


class HallCommandsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = PlatformInMemory()
        for at, hall in enumerate(("h1", "h1", "h2")):
            value = {"name": f"e{at}", "service": "lang", "url": "http://10.0.0.1:80", "hall": hall}
            await self.platform.create(UPSTREAM_KIND, f"e{at}", value)

    async def run_command(
        self, hall: str, in_force: bool = True, dry_run: bool = False
    ) -> tuple[int, str]:
        told = io.StringIO()
        with contextlib.redirect_stdout(told), contextlib.redirect_stderr(told):
            code = await set_evacuation(self.platform, hall, in_force, dry_run)
        return code, told.getvalue()

    async def halls(self) -> frozenset[str]:
        listed = await self.platform.list(EVACUATION_KIND)
        assert isinstance(listed, Listed)
        known = Evacuations()
        known.apply_listing(listed, 0.0)
        return known.halls

    async def test_it_is_shown_what_is_left_and_then_written(self) -> None:
        code, told = await self.run_command("h1")
        self.assertEqual((code, await self.halls()), (EXIT_DONE, {"h1"}))
        self.assertIn("lang: 2 upstreams get nothing more, 1 carry it", told)

    async def test_who_is_left_with_nobody_is_told(self) -> None:
        await self.run_command("h1")
        _, told = await self.run_command("h2")
        self.assertIn("lang: nobody is left", told)

    async def test_a_dry_run_writes_nothing(self) -> None:
        code, told = await self.run_command("h1", dry_run=True)
        self.assertEqual((code, await self.halls()), (EXIT_DONE, frozenset()))
        self.assertIn("h1 is evacuated", told)

    async def test_its_end_is_written_in_the_same_place(self) -> None:
        await self.run_command("h1")
        code, told = await self.run_command("h1", in_force=False)
        self.assertEqual((code, await self.halls()), (EXIT_DONE, frozenset()))
        self.assertIn("2 upstreams are used again, 3 carry it", told)
        found = await self.platform.list(EVACUATION_KIND)
        assert isinstance(found, Listed)
        self.assertEqual([each.value for each in found.objects], [{IN_FORCE: False}])

    async def test_a_hall_that_nobody_knows_is_refused(self) -> None:
        code, told = await self.run_command("h9")
        self.assertEqual((code, await self.halls()), (EXIT_INPUT, frozenset()))
        self.assertIn("HALL: no upstream stands in 'h9'; expected one of: h1, h2", told)

    async def test_a_platform_that_is_away_is_told_from_an_answer_that_is_lost(self) -> None:
        self.platform.faults.arm("outage", 1)
        self.assertEqual((await self.run_command("h1"))[0], EXIT_UNREACHABLE)
        self.platform.faults.arm("lost-answer", 1)
        self.assertEqual((await self.run_command("h1"))[0], EXIT_UNKNOWN)
