"""A platform that comes back from an older copy has lost what routers wrote there since."""

from __future__ import annotations

import random
import unittest

from fakes._platform_in_memory import PlatformInMemory
from fakes._virtual_loop import run_virtually
from pondhatch.router import Restoring, RouterState
from pondhatch.router._fleet_key import KEY_KIND, KEY_NAME
from pondhatch.router._introduction import VM_KIND
from pondhatch.router.tests.test_introduction import introduction
from pondhatch.router.tests.test_sync import router
from pondhatch.store import Found, Listed, Missing, position_of


def in_era(state: RouterState, era: int) -> None:
    state.upstreams.advance_to(position_of(era, 10))


class RestoringTest(unittest.TestCase):
    def restoring(self, platform: PlatformInMemory, state: RouterState) -> Restoring:
        state.refresh()
        return Restoring(
            state, platform, introduction(state, platform, 1), random.Random(1), b"the key"
        )

    def test_its_entry_and_the_fleets_key_are_written_again(self) -> None:
        async def main() -> None:
            platform, state = PlatformInMemory(), router("r0")
            restoring = self.restoring(platform, state)
            in_era(state, 1)
            await restoring.look()
            self.assertIsInstance(await platform.get(KEY_KIND, KEY_NAME), Missing)
            in_era(state, 2)
            await restoring.look()
            listed = await platform.list(VM_KIND)
            assert isinstance(listed, Listed)
            self.assertEqual([each.name for each in listed.objects], ["r0"])
            found = await platform.get(KEY_KIND, KEY_NAME)
            assert isinstance(found, Found)
            self.assertEqual(found.object.value, {"key": "the key"})

        run_virtually(main())

    def test_what_is_there_stays_as_it_is(self) -> None:
        async def main() -> None:
            platform, state = PlatformInMemory(), router("r0")
            restoring = self.restoring(platform, state)
            await platform.create(KEY_KIND, KEY_NAME, {"key": "another"})
            for era in (3, 4):
                in_era(state, era)
                await restoring.look()
            found = await platform.get(KEY_KIND, KEY_NAME)
            assert isinstance(found, Found)
            self.assertEqual(found.object.value, {"key": "another"})

        run_virtually(main())

    def test_a_platform_without_eras_is_asked_nothing(self) -> None:
        async def main() -> None:
            platform, state = PlatformInMemory(), router("r0")
            restoring = self.restoring(platform, state)
            for revision in (5, 900):
                state.upstreams.advance_to(revision)
                await restoring.look()
            listed = await platform.list(VM_KIND)
            assert isinstance(listed, Listed)
            self.assertEqual(listed.objects, ())

        run_virtually(main())
