from __future__ import annotations

import random
import unittest
from typing import Any

from fakes._platform_in_memory import PlatformInMemory
from pondhatch.router import obtain_fleet_key
from pondhatch.router._fleet_key import KEY_KIND, KEY_NAME
from pondhatch.store import Accepted, Conflict, Found, Missing, OutcomeUnknown, Unavailable


class FlakyPlatform(PlatformInMemory):
    """A platform that is unavailable for some reads and loses the answers to some writes."""

    def __init__(self, outages: int = 0, lost_answers: int = 0) -> None:
        super().__init__()
        self.outages = outages
        self.lost_answers = lost_answers

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
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return OutcomeUnknown("lost")
        return written


class FleetKeyTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.pauses: list[float] = []

    async def sleep(self, seconds: float) -> None:
        self.pauses.append(seconds)

    async def obtain_key(self, platform: PlatformInMemory, key: str) -> bytes:
        agreed = await obtain_fleet_key(platform, key, random.Random(1), self.sleep)
        return agreed.key

    async def test_all_routers_get_the_first_ones_key(self) -> None:
        platform = PlatformInMemory()
        self.assertEqual(await self.obtain_key(platform, "first"), b"first")
        self.assertEqual(await self.obtain_key(platform, "second"), b"first")

    async def test_only_the_first_router_of_all_takes_itself_for_the_first(self) -> None:
        platform = PlatformInMemory()
        found = [
            await obtain_fleet_key(platform, key, random.Random(1), self.sleep)
            for key in ("first", "second")
        ]
        self.assertEqual([each.is_new for each in found], [True, False])

    # A router that began anew took nothing to have served before.
    async def test_a_key_that_the_platform_lost_was_not_the_first(self) -> None:
        platform = PlatformInMemory()
        platform.era = 1
        platform.save_copy()
        await self.obtain_key(platform, "first")
        platform.restore_copy()
        agreed = await obtain_fleet_key(platform, "second", random.Random(1), self.sleep)
        self.assertFalse(agreed.is_new)

    async def test_a_key_that_a_stale_answer_lacks_is_not_replaced(self) -> None:
        class Lagging(PlatformInMemory):
            async def get(
                self, kind: str, name: str, may_be_old: bool = False
            ) -> Found | Missing | Unavailable:
                return Missing() if may_be_old else await super().get(kind, name)

        platform = Lagging()
        self.assertEqual(await self.obtain_key(platform, "first"), b"first")
        self.assertEqual(await self.obtain_key(platform, "second"), b"first")

    async def test_an_existing_key_is_read_by_one_stale_tolerant_call(self) -> None:
        platform = PlatformInMemory()
        await self.obtain_key(platform, "first")
        before = platform.calls, platform.stale_tolerant_calls
        await self.obtain_key(platform, "second")
        self.assertEqual(
            (platform.calls, platform.stale_tolerant_calls), (before[0] + 1, before[1] + 1)
        )

    async def test_after_a_lost_answer_the_written_key_is_read_back(self) -> None:
        platform = FlakyPlatform(lost_answers=1)
        self.assertEqual(await self.obtain_key(platform, "first"), b"first")
        self.assertEqual(await self.obtain_key(platform, "second"), b"first")

    async def test_an_invalid_key_object_is_replaced_by_a_key_that_all_get(self) -> None:
        for value in (None, "text", {}, {"key": 7}, {"key": ""}):
            with self.subTest(value=value):
                platform = PlatformInMemory()
                await platform.create(KEY_KIND, KEY_NAME, value)
                self.assertEqual(await self.obtain_key(platform, "first"), b"first")
                self.assertEqual(await self.obtain_key(platform, "second"), b"first")

    async def test_during_an_outage_calls_are_retried_with_growing_backoff(self) -> None:
        platform = FlakyPlatform(outages=8)
        self.assertEqual(await self.obtain_key(platform, "first"), b"first")
        self.assertEqual(len(self.pauses), 8)
        self.assertLessEqual(max(self.pauses), 2.0)
        self.assertGreater(self.pauses[4], self.pauses[0])
