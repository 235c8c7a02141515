"""Guards objects of routers that a platform loses when it is restored from an older copy."""

from __future__ import annotations

import random
import unittest

from fakes._platform_in_memory import PlatformInMemory
from fakes._virtual_loop import run_virtually
from pondhatch.router import PlatformRestorer, RouterState
from pondhatch.router._fleet_key import KEY_KIND, KEY_NAME
from pondhatch.router._peer_discovery import VM_KIND
from pondhatch.router.tests.test_peer_discovery import peer_discovery
from pondhatch.router.tests.test_sync import router
from pondhatch.store import Found, Listed, Missing, position_of


def enter_era(state: RouterState, era: int) -> None:
    state.upstreams.advance_to(position_of(era, 10))


class PlatformRestorerTest(unittest.TestCase):
    def new_restorer(self, platform: PlatformInMemory, state: RouterState) -> PlatformRestorer:
        state.refresh_members()
        return PlatformRestorer(
            state, platform, peer_discovery(state, platform, 1), random.Random(1), b"the key"
        )

    def test_a_lost_entry_and_fleet_key_are_written_again(self) -> None:
        async def main() -> None:
            platform, state = PlatformInMemory(), router("r0")
            restorer = self.new_restorer(platform, state)
            enter_era(state, 1)
            await restorer.check_era()
            self.assertIsInstance(await platform.get(KEY_KIND, KEY_NAME), Missing)
            enter_era(state, 2)
            await restorer.check_era()
            listed = await platform.list(VM_KIND)
            assert isinstance(listed, Listed)
            self.assertEqual([each.name for each in listed.objects], ["r0"])
            found = await platform.get(KEY_KIND, KEY_NAME)
            assert isinstance(found, Found)
            self.assertEqual(found.object.value, {"key": "the key"})

        run_virtually(main())

    def test_an_existing_key_is_not_overwritten(self) -> None:
        async def main() -> None:
            platform, state = PlatformInMemory(), router("r0")
            restorer = self.new_restorer(platform, state)
            await platform.create(KEY_KIND, KEY_NAME, {"key": "another"})
            for era in (3, 4):
                enter_era(state, era)
                await restorer.check_era()
            found = await platform.get(KEY_KIND, KEY_NAME)
            assert isinstance(found, Found)
            self.assertEqual(found.object.value, {"key": "another"})

        run_virtually(main())

    def test_nothing_is_written_to_a_platform_without_eras(self) -> None:
        async def main() -> None:
            platform, state = PlatformInMemory(), router("r0")
            restorer = self.new_restorer(platform, state)
            for revision in (5, 900):
                state.upstreams.advance_to(revision)
                await restorer.check_era()
            listed = await platform.list(VM_KIND)
            assert isinstance(listed, Listed)
            self.assertEqual(listed.objects, ())

        run_virtually(main())
