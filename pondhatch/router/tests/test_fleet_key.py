from __future__ import annotations

import random
import unittest
from typing import Any

from fakes._platform_in_memory import PlatformInMemory
from pondhatch.router import obtain_fleet_key
from pondhatch.router._fleet_key import KEY_KIND, KEY_NAME
from pondhatch.store import Accepted, Conflict, Found, Missing, OutcomeUnknown, Unavailable


class Flaky(PlatformInMemory):
    """Loses answers and is out for some calls."""

    def __init__(self, outages: int = 0, lost: int = 0) -> None:
        super().__init__()
        self.outages = outages
        self.lost = lost

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        if self.outages > 0:
            self.outages -= 1
            return Unavailable("out")
        return await super().get(kind, name)

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        written = await super().create(kind, name, value)
        if self.lost > 0:
            self.lost -= 1
            return OutcomeUnknown("lost")
        return written


class FleetKeyTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.pauses: list[float] = []

    async def sleep(self, seconds: float) -> None:
        self.pauses.append(seconds)

    async def agreed(self, platform: PlatformInMemory, key: str) -> bytes:
        return await obtain_fleet_key(platform, key, random.Random(1), self.sleep)

    async def test_all_get_the_first_ones_key(self) -> None:
        platform = PlatformInMemory()
        self.assertEqual(await self.agreed(platform, "first"), b"first")
        self.assertEqual(await self.agreed(platform, "second"), b"first")

    async def test_a_key_that_an_old_answer_lacks_is_not_replaced(self) -> None:
        class Lagging(PlatformInMemory):
            async def get(
                self, kind: str, name: str, may_be_old: bool = False
            ) -> Found | Missing | Unavailable:
                return Missing() if may_be_old else await super().get(kind, name)

        platform = Lagging()
        self.assertEqual(await self.agreed(platform, "first"), b"first")
        self.assertEqual(await self.agreed(platform, "second"), b"first")

    async def test_a_key_that_is_there_is_read_by_one_cheap_call(self) -> None:
        platform = PlatformInMemory()
        await self.agreed(platform, "first")
        before = platform.calls, platform.cheap_calls
        await self.agreed(platform, "second")
        self.assertEqual((platform.calls, platform.cheap_calls), (before[0] + 1, before[1] + 1))

    async def test_a_lost_answer_is_read_back(self) -> None:
        platform = Flaky(lost=1)
        self.assertEqual(await self.agreed(platform, "first"), b"first")
        self.assertEqual(await self.agreed(platform, "second"), b"first")

    async def test_what_is_no_key_is_replaced_once_for_all(self) -> None:
        for value in (None, "text", {}, {"key": 7}, {"key": ""}):
            with self.subTest(value=value):
                platform = PlatformInMemory()
                await platform.create(KEY_KIND, KEY_NAME, value)
                self.assertEqual(await self.agreed(platform, "first"), b"first")
                self.assertEqual(await self.agreed(platform, "second"), b"first")

    async def test_an_outage_is_waited_out_with_growing_pauses(self) -> None:
        platform = Flaky(outages=8)
        self.assertEqual(await self.agreed(platform, "first"), b"first")
        self.assertEqual(len(self.pauses), 8)
        self.assertLessEqual(max(self.pauses), 2.0)
        self.assertGreater(self.pauses[4], self.pauses[0])
