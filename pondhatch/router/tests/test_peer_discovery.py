"""Guards discovery of peers where the platform refuses writes, lags or lists unusable entries."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import Any

from loguru import logger

from fakes._platform_in_memory import PlatformInMemory
from fakes._virtual_loop import run_virtually
from pondhatch.configuration import publish
from pondhatch.router import PeerDiscovery, RouterState
from pondhatch.router._peer_discovery import VM_KIND
from pondhatch.router.tests.test_sync import FIRST, new_sync, router
from pondhatch.store import Accepted, Conflict, Listed, OutcomeUnknown, Unavailable


class ReadOnlyPlatform(PlatformInMemory):
    """A platform that serves reads and refuses writes while ``refuses_writes`` is set."""

    refuses_writes = True

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        if self.refuses_writes:
            return Unavailable("busy")
        return await super().create(kind, name, value)


def peer_discovery(state: RouterState, platform: PlatformInMemory, port: int) -> PeerDiscovery:
    address = f"127.0.0.1:{port}"
    return PeerDiscovery(state.name, state.gossip, platform, random.Random(port), address)


def seeds(state: RouterState) -> set[int]:
    return {address.port for address in state.gossip.membership._seeds}


class PeerDiscoveryTest(unittest.TestCase):
    def test_the_configuration_is_read_though_the_platform_refuses_writes(self) -> None:
        async def main() -> int:
            platform = ReadOnlyPlatform()
            platform.refuses_writes = False
            await publish(platform, FIRST)
            platform.refuses_writes = True
            state = router("r0")
            state.refresh_members()
            task = asyncio.ensure_future(new_sync(state, platform, None, "127.0.0.1:1").run())
            await asyncio.sleep(1.0)
            task.cancel()
            return state.configuration.version

        self.assertEqual(run_virtually(main()), 1)

    def test_a_router_is_listed_once_the_platform_accepts_writes_again(self) -> None:
        async def main() -> bool:
            platform = ReadOnlyPlatform()
            task = asyncio.ensure_future(peer_discovery(router("r0"), platform, 1).run())
            await asyncio.sleep(5.0)
            self.assertNotIn((VM_KIND, "r0"), platform.store.object_by_key)
            platform.refuses_writes = False
            await asyncio.wait_for(task, 5.0)
            return (VM_KIND, "r0") in platform.store.object_by_key

        self.assertTrue(run_virtually(main()))

    def test_of_two_routers_that_start_together_one_finds_the_other(self) -> None:
        async def main() -> tuple[set[int], set[int]]:
            platform = PlatformInMemory()
            first, second = router("r0"), router("r1")
            await asyncio.gather(
                peer_discovery(first, platform, 1).run(), peer_discovery(second, platform, 2).run()
            )
            return seeds(first), seeds(second)

        first, second = run_virtually(main())
        self.assertTrue(2 in first or 1 in second)

    def test_entries_without_a_usable_address_hide_no_other_and_are_logged_once(self) -> None:
        wrong: tuple[Any, ...] = (
            "10.0.0.3:7000",
            None,
            {"address": None},
            {"address": "there.example:7000"},
            {"address": "[::1]:7000"},
            {"address": "10.0.0.3:99999"},
            {"address": "10.0.0.3:\u00b2"},
            {"address": "10.0.0.3"},
        )

        async def main(entry: Any) -> set[int]:
            platform = PlatformInMemory()
            await platform.create(VM_KIND, "wrong", entry)
            await platform.create(VM_KIND, "good", {"address": "127.0.0.1:5"})
            state = router("r0")
            own = peer_discovery(state, platform, 1)
            for _ in range(3):
                await own._find_peers()
            return seeds(state)

        for entry in wrong:
            lines: list[str] = []
            handler_id = logger.add(lines.append, level="ERROR", format="{message}")
            with self.subTest(entry=entry):
                self.assertEqual(run_virtually(main(entry)), {5})
                self.assertEqual(len(lines), 1, lines)
                self.assertIn("wrong", lines[0])
            logger.remove(handler_id)

    def test_a_router_that_moved_replaces_its_address(self) -> None:
        async def main() -> Any:
            platform = PlatformInMemory()
            await peer_discovery(router("r0"), platform, 1).run()
            await peer_discovery(router("r0"), platform, 2).run()
            return platform.store.object_by_key[(VM_KIND, "r0")].value["address"]

        self.assertEqual(run_virtually(main()), "127.0.0.1:2")

    def calls_of_a_start(self, platform: PlatformInMemory, port: int) -> tuple[int, int]:
        """Start a router; return the number of its calls, and how many of them allow stale data."""
        before, stale_tolerant_before = platform.calls, platform.stale_tolerant_calls
        run_virtually(peer_discovery(router("r0"), platform, port).run())
        return platform.calls - before, platform.stale_tolerant_calls - stale_tolerant_before

    def test_a_start_after_the_first_makes_one_stale_tolerant_call(self) -> None:
        platform = PlatformInMemory()
        self.assertEqual(self.calls_of_a_start(platform, 1), (3, 1))
        self.assertEqual(self.calls_of_a_start(platform, 1), (1, 1))
        # At another address, creating the entry fails and it is then updated.
        self.assertEqual(self.calls_of_a_start(platform, 2), (4, 1))

    def test_a_stale_list_hides_no_later_change(self) -> None:
        class Lagging(PlatformInMemory):
            async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
                if may_be_old:
                    return Listed(0, ())
                return await super().list(kind)

        async def main() -> tuple[Any, set[int]]:
            platform = Lagging()
            await peer_discovery(router("r1"), platform, 2).run()
            state = router("r0")
            await peer_discovery(state, platform, 1).run()
            return platform.store.object_by_key[(VM_KIND, "r0")].value["address"], seeds(state)

        address, found = run_virtually(main())
        self.assertEqual(address, "127.0.0.1:1")
        self.assertIn(2, found)

    def test_an_own_entry_that_no_list_shows_is_overwritten(self) -> None:
        class Hidden(PlatformInMemory):
            async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
                listed = await super().list(kind, may_be_old)
                assert isinstance(listed, Listed)
                return Listed(listed.version, (), frozenset(("r0",)))

        async def main() -> Any:
            platform = Hidden()
            await platform.create(VM_KIND, "r0", "no entry")
            await asyncio.wait_for(peer_discovery(router("r0"), platform, 1).run(), 5.0)
            return platform.store.object_by_key[(VM_KIND, "r0")].value["address"]

        self.assertEqual(run_virtually(main()), "127.0.0.1:1")
