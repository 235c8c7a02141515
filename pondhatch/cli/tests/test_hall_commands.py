"""Evacuating a data hall from the command line: output, stored objects and exit codes."""

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
        for index, hall in enumerate(("h1", "h1", "h2")):
            value = {
                "name": f"e{index}",
                "service": "lang",
                "url": "http://10.0.0.1:80",
                "hall": hall,
            }
            await self.platform.create(UPSTREAM_KIND, f"e{index}", value)

    async def run_command(
        self, hall: str, in_force: bool = True, dry_run: bool = False
    ) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = await set_evacuation(self.platform, hall, in_force, dry_run)
        return code, output.getvalue()

    async def evacuated_halls(self) -> frozenset[str]:
        listed = await self.platform.list(EVACUATION_KIND)
        assert isinstance(listed, Listed)
        evacuations = Evacuations()
        evacuations.apply_listing(listed, 0.0)
        return evacuations.halls

    async def test_an_evacuation_shows_what_is_left_and_is_written(self) -> None:
        code, output = await self.run_command("h1")
        self.assertEqual((code, await self.evacuated_halls()), (EXIT_DONE, {"h1"}))
        self.assertIn("lang: 2 upstreams get no new requests, 1 available", output)

    async def test_a_service_left_without_upstreams_is_shown(self) -> None:
        await self.run_command("h1")
        _, output = await self.run_command("h2")
        self.assertIn("lang: no upstream is left", output)

    async def test_a_dry_run_writes_nothing(self) -> None:
        code, output = await self.run_command("h1", dry_run=True)
        self.assertEqual((code, await self.evacuated_halls()), (EXIT_DONE, frozenset()))
        self.assertIn("h1 is evacuated", output)

    async def test_reopening_a_hall_updates_the_same_object(self) -> None:
        await self.run_command("h1")
        code, output = await self.run_command("h1", in_force=False)
        self.assertEqual((code, await self.evacuated_halls()), (EXIT_DONE, frozenset()))
        self.assertIn("2 upstreams are used again, 3 available", output)
        found = await self.platform.list(EVACUATION_KIND)
        assert isinstance(found, Listed)
        self.assertEqual([each.value for each in found.objects], [{IN_FORCE: False}])

    async def test_a_hall_without_upstreams_is_refused(self) -> None:
        code, output = await self.run_command("h9")
        self.assertEqual((code, await self.evacuated_halls()), (EXIT_INPUT, frozenset()))
        self.assertIn("HALL: no live upstream is in 'h9'; expected one of: h1, h2", output)

    async def test_an_unreachable_platform_and_a_lost_reply_have_different_exit_codes(self) -> None:
        self.platform.faults.arm("outage", 1)
        self.assertEqual((await self.run_command("h1"))[0], EXIT_UNREACHABLE)
        self.platform.faults.arm("lost-answer", 1)
        self.assertEqual((await self.run_command("h1"))[0], EXIT_UNKNOWN)
