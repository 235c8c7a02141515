"""Publishing with racing operators, lost replies, and outages at any step."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes._entries import SERVICE, TEMPLATE
from fakes._platform_in_memory import PlatformInMemory
from pondhatch.configuration import (
    CHANGE_KIND,
    Change,
    Edit,
    FleetConfiguration,
    LostRace,
    NotWritten,
    Published,
    Snapshot,
    Unresolved,
    change_object_name,
    publish,
    read_configuration,
    write_snapshot,
)
from pondhatch.configuration.tests.test_fleet import account
from pondhatch.store import Unavailable


async def no_pause(seconds: float) -> None:
    await asyncio.sleep(0)


def change(version: int, author: str) -> Change:
    return Change(version, f"{author}-{version}", author, 0.0, "", (account(author),))


FIRST = Change(1, "first", "root", 0.0, "", (SERVICE, TEMPLATE))


class PublishingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = PlatformInMemory()
        await publish(self.platform, FIRST, no_pause)

    async def configuration(self) -> FleetConfiguration:
        found = await read_configuration(self.platform, FleetConfiguration())
        assert isinstance(found, FleetConfiguration), found
        return found

    async def test_of_two_racing_changes_one_is_published(self) -> None:
        outcomes = await asyncio.gather(
            publish(self.platform, change(2, "ana"), no_pause),
            publish(self.platform, change(2, "bento"), no_pause),
        )
        self.assertEqual(outcomes, [Published(2), LostRace(change(2, "ana"))])
        self.assertEqual(set((await self.configuration()).policy_by_account), {"ana"})

    async def test_an_unreadable_change_does_not_block_later_ones(self) -> None:
        rows: tuple[Any, ...] = ({"version": "two"}, None, msgspec.to_builtins(change(7, "x")))
        for index, value in enumerate(rows):
            version = 2 + 2 * index
            await self.platform.create(CHANGE_KIND, change_object_name(version), value)
            later = change(version + 1, f"ana{index}")
            self.assertEqual(await publish(self.platform, later, no_pause), Published(version + 1))
        configuration = await self.configuration()
        self.assertEqual(configuration.version, 7)
        self.assertEqual(set(configuration.policy_by_account), {"ana0", "ana1", "ana2"})

    async def test_a_snapshot_with_an_invalid_entry_is_read(self) -> None:
        wrong = Edit("account", "x", {"template": "none", "key_hashes": ["0" * 64]})
        edits = (SERVICE, TEMPLATE, account("a"), wrong)
        self.assertTrue(await write_snapshot(self.platform, Snapshot(1, edits)))
        configuration = await self.configuration()
        self.assertEqual(set(configuration.policy_by_account), {"a"})
        self.assertEqual(set(configuration.misfits_by_entry), {("account", "x")})

    async def test_a_lost_reply_is_resolved_by_recognising_the_own_change(self) -> None:
        self.platform.faults.arm("lost-answer")
        self.assertEqual(await publish(self.platform, change(2, "ana"), no_pause), Published(2))
        self.assertEqual((await self.configuration()).version, 2)

    async def test_a_lost_write_is_retried(self) -> None:
        self.platform.faults.arm("lost-write")
        self.assertEqual(await publish(self.platform, change(2, "ana"), no_pause), Published(2))

    async def test_a_lost_reply_after_which_another_change_holds_the_version(self) -> None:
        await publish(self.platform, change(2, "bento"), no_pause)
        self.platform.faults.arm("lost-answer")
        outcome = await publish(self.platform, change(2, "ana"), no_pause)
        self.assertEqual(outcome, LostRace(change(2, "bento")))

    async def test_an_outage_before_the_write_is_reported_as_not_written(self) -> None:
        self.platform.faults.arm("outage")
        outcome = await publish(self.platform, change(2, "ana"), no_pause)
        self.assertIsInstance(outcome, NotWritten)
        self.assertEqual((await self.configuration()).version, 1)

    async def test_an_outage_after_a_lost_reply_is_reported_as_unresolved(self) -> None:
        platform = self.platform
        platform.faults.arm("lost-answer")

        class OutagePlatform(PlatformInMemory):
            def _is_call_refused(self) -> bool:
                return platform.faults.consume("outage") is not None

        outage_platform = OutagePlatform()
        outage_platform.store, outage_platform.faults = platform.store, platform.faults
        task = asyncio.ensure_future(publish(outage_platform, change(2, "ana"), no_pause))
        platform.faults.arm("outage", count=0)
        real_get = outage_platform.get

        async def get_during_outage(kind: str, name: str) -> object:
            platform.faults.arm("outage")
            return await real_get(kind, name)

        outage_platform.get = get_during_outage  # type: ignore[method-assign, assignment]
        outcome = await task
        self.assertIsInstance(outcome, Unresolved)
        self.assertEqual((await self.configuration()).version, 2)

    async def test_readers_start_from_the_snapshot(self) -> None:
        for version in range(2, 12):
            await publish(self.platform, change(version, f"op-{version}"), no_pause)
        latest = await self.configuration()
        self.assertTrue(await write_snapshot(self.platform, latest.snapshot()))
        before = self.platform.calls
        restored = await self.configuration()
        self.assertLess(self.platform.calls - before, 5)
        self.assertEqual(restored.policy_by_account, latest.policy_by_account)
        self.assertEqual(restored.version, latest.version)

    async def test_an_older_snapshot_never_replaces_a_newer_one(self) -> None:
        old = (await self.configuration()).snapshot()
        await publish(self.platform, change(2, "ana"), no_pause)
        new = (await self.configuration()).snapshot()
        self.assertTrue(await write_snapshot(self.platform, new))
        self.assertTrue(await write_snapshot(self.platform, old))
        self.assertEqual((await self.configuration()).version, 2)

    async def test_an_outage_while_reading_is_returned(self) -> None:
        self.platform.faults.arm("outage")
        self.assertIsInstance(
            await read_configuration(self.platform, FleetConfiguration()), Unavailable
        )


class RacingOperatorsTest(unittest.TestCase):
    """In random histories no accepted change is lost and no refused change is applied."""

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.lists(st.sampled_from(["ana", "bento", "clara"]), min_size=1, max_size=8),
        st.lists(st.sampled_from(["none", "lost-answer", "lost-write", "outage"]), max_size=8),
    )
    def test_history(self, authors: list[str], faults: list[str]) -> None:
        asyncio.run(self.history(authors, faults))

    async def history(self, authors: list[str], faults: list[str]) -> None:
        platform = PlatformInMemory()
        await publish(platform, FIRST, no_pause)
        accepted: list[tuple[str, int]] = []
        refused: list[str] = []

        async def operate(at: int, author: str) -> None:
            known = await read_configuration(platform, FleetConfiguration())
            if not isinstance(known, FleetConfiguration):
                return
            own = Change(known.version + 1, f"{author}-{at}", author, 0.0, "", (account(author),))
            if at < len(faults) and faults[at] != "none":
                platform.faults.arm(faults[at])
            outcome = await publish(platform, own, no_pause)
            if isinstance(outcome, Published):
                accepted.append((own.change_id, outcome.version))
            elif isinstance(outcome, LostRace | NotWritten):
                refused.append(own.change_id)

        await asyncio.gather(*(operate(index, author) for index, author in enumerate(authors)))
        platform.faults.by_name.clear()
        final = await read_configuration(platform, FleetConfiguration())
        assert isinstance(final, FleetConfiguration)
        in_force = {each.change_id: each.version for each in final.recent_changes}
        for change_id, version in accepted:
            self.assertEqual(in_force.get(change_id), version)
        self.assertFalse(set(refused) & set(in_force))
        self.assertEqual(sorted(in_force.values()), list(range(1, final.version + 1)))
