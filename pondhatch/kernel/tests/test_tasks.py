from __future__ import annotations

import asyncio
import unittest

from loguru import logger

from pondhatch.kernel import Tasks


class TasksTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        handler_id = logger.add(self.lines.append, level="ERROR", format="{message}")
        self.addCleanup(logger.remove, handler_id)

    async def test_a_failed_task_logs_its_name_and_error(self) -> None:
        async def failing() -> None:
            raise ValueError("a wrong entry")

        await asyncio.wait([Tasks().start(failing())])
        await asyncio.sleep(0)
        self.assertEqual(len(self.lines), 1)
        self.assertRegex(self.lines[0], "failing.*a wrong entry")

    async def test_a_finished_or_cancelled_task_logs_nothing(self) -> None:
        async def waiting() -> None:
            await asyncio.Event().wait()

        tasks = Tasks()
        task = tasks.start(waiting())
        await tasks.start(asyncio.sleep(0))
        tasks.cancel_all()
        await asyncio.wait([task])
        await asyncio.sleep(0)
        self.assertEqual(self.lines, [])
