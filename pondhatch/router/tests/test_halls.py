"""Guards routing by evacuated halls, regions and cold upstreams, and the sync of evacuations."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from msgspec.structs import replace

from fakes._platform_in_memory import PlatformInMemory
from pondhatch.configuration import Change, Edit, publish
from pondhatch.placement import ClosedReason
from pondhatch.router import EVACUATION_KIND, Sync, not_ready_refusal
from pondhatch.router._hall_states import JUST_REOPENED_SECONDS
from pondhatch.router._state import NO_COLD_GRANTS_SECONDS
from pondhatch.router.tests.test_sync import FIRST, meet, new_sync, router
from pondhatch.store import Listed, StoredObject, WatchEvent
from pondhatch.store._evacuations import NO_EVACUATIONS

REGIONS = {"h1": "north", "h2": "south"}
HALLS = ("h1", "h1", "h2")


def with_cold_pace(pace: float) -> Change:
    """Return the first change with a pace for the service's cold upstreams."""
    edits = []
    for edit in FIRST.edits:
        is_service = edit.kind == "service"
        value = {**edit.value, "cold_pace": pace} if is_service and edit.value else edit.value
        edits.append(Edit(edit.kind, edit.name, value))
    return replace(FIRST, edits=tuple(edits))


class HallsCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.state = router("r0")
        self.state.clock = lambda: self.now
        self.state.halls.region_by_hall = REGIONS
        self.state.apply_change(with_cold_pace(13.0))
        for index, hall in enumerate(HALLS):
            self.set_upstream(index, index + 1, hall=hall)
        self.state.apply_listed_evacuations(Listed(10, ()))

    def set_upstream(self, at: int, version: int, **fields: Any) -> None:
        value = {"name": f"e{at}", "service": "lang", "url": f"http://10.0.0.{at + 1}:80", **fields}
        self.state.apply_upstream_event(WatchEvent("set", version, f"e{at}", value))

    def evacuate(self, hall: str, version: int) -> None:
        self.state.apply_evacuation_event(WatchEvent("set", version, hall, {}))

    def end_evacuation(self, hall: str, version: int) -> None:
        self.state.apply_evacuation_event(WatchEvent("removed", version, hall))

    def cold_pace(self, engine: str) -> float | None:
        target = self.state.target(engine)
        assert target is not None
        return target.intake.cold_pace


class EvacuatedHallsTest(HallsCase):
    def test_its_upstreams_get_no_requests_and_the_others_carry_the_load(self) -> None:
        self.assertEqual(self.state.live_upstreams("lang"), ("e0", "e1", "e2"))
        self.evacuate("h1", 11)
        self.assertEqual(self.state.live_upstreams("lang"), ("e2",))
        found = {name: self.state.target(name) for name in ("e0", "e2")}
        self.assertTrue(found["e0"] and found["e0"].intake.is_evacuated)
        self.assertTrue(found["e2"] and found["e2"].open_upstream_count == 1)

    def test_an_upstream_that_joins_there_later_gets_no_requests(self) -> None:
        self.evacuate("h2", 11)
        self.set_upstream(7, 12, hall="h2")
        self.assertEqual(self.state.live_upstreams("lang"), ("e0", "e1"))

    def test_closed_home_names_the_engine_and_why_it_is_closed(self) -> None:
        chats = [str(index) for index in range(30)]
        homes = {chat: self.state.closed_home("lang", chat, None) for chat in chats}
        self.assertEqual(set(homes.values()), {None})
        self.evacuate("h1", 11)
        found = [self.state.closed_home("lang", chat, None) for chat in chats]
        self.assertIn(("e0", ClosedReason.EVACUATED.value), found)
        self.assertIn(None, found)

    def test_a_router_that_knows_no_evacuations_yet_refuses(self) -> None:
        state = router("r1")
        state.apply_change(FIRST)
        refused = not_ready_refusal(state)
        self.assertTrue(refused and "evacuated" in refused.reason)
        state.apply_listed_evacuations(Listed(3, ()))
        self.assertIsNone(not_ready_refusal(state))


class RegionsTest(HallsCase):
    def test_upstreams_of_other_regions_are_left_out(self) -> None:
        rows = (
            (None, ("e0", "e1", "e2")),
            (("north",), ("e0", "e1")),
            (("south",), ("e2",)),
            (("east",), ()),
            ((), ()),
        )
        for regions, expected in rows:
            with self.subTest(regions=regions):
                self.assertEqual(self.state.live_upstreams("lang", regions), expected)

    def test_key_holders_are_routers_of_the_regions_alone(self) -> None:
        meet(self.state, router("r1", hall="h2"))
        self.assertEqual(set(self.state.key_holders("k")), {"r0", "r1"})
        self.assertEqual(self.state.key_holders("k", ("south",)), ("r1",))
        self.assertEqual(self.state.key_holders("k", ("east",)), ())


class ColdUpstreamsTest(HallsCase):
    def test_an_upstream_is_cold_for_the_seconds_it_reported(self) -> None:
        self.assertIsNone(self.cold_pace("e0"))
        self.set_upstream(0, 11, hall="h1", cold_seconds=3.0)
        self.assertEqual((self.cold_pace("e0"), self.cold_pace("e1")), (13.0, None))
        self.now = 2.9
        self.assertEqual(self.cold_pace("e0"), 13.0)
        self.now = 3.0
        self.assertIsNone(self.cold_pace("e0"))

    def test_an_upstream_may_turn_cold_again_and_warm_early(self) -> None:
        self.set_upstream(0, 11, hall="h1", cold_seconds=3.0)
        self.now = 60.0
        self.set_upstream(0, 12, hall="h1", cold_seconds=5.0)
        self.assertEqual(self.cold_pace("e0"), 13.0)
        self.set_upstream(0, 13, hall="h1")
        self.assertIsNone(self.cold_pace("e0"))

    def test_a_peer_gets_the_seconds_that_are_left(self) -> None:
        self.set_upstream(0, 11, hall="h1", cold_seconds=3.0)
        self.now = 2.0
        peer = router("r1")
        peer.apply_upstreams(self.state.upstreams_since(0))
        self.assertAlmostEqual(peer.cold_seconds("e0"), 1.0)

    def test_a_reopened_hall_counts_as_cold_for_a_moment(self) -> None:
        self.evacuate("h1", 11)
        self.end_evacuation("h1", 12)
        self.assertEqual((self.cold_pace("e0"), self.cold_pace("e2")), (13.0, None))
        self.now = JUST_REOPENED_SECONDS
        self.assertIsNone(self.cold_pace("e0"))

    def test_nothing_is_granted_there_before_peers_are_discovered(self) -> None:
        self.state.tick()
        self.assertEqual(self.state.cold_pacer.fleet_share, 0.0)
        self.now = NO_COLD_GRANTS_SECONDS
        self.state.tick()
        self.assertEqual(self.state.cold_pacer.fleet_share, 1.0)

    def test_the_share_of_cold_grants_stays_when_peers_become_unreachable(self) -> None:
        self.now = NO_COLD_GRANTS_SECONDS
        for index in range(1, 4):
            meet(self.state, router(f"r{index}"))
        self.state.tick()
        for index in range(1, 4):
            self.state.note_unreachable(f"r{index}")
        self.state.tick()
        self.assertEqual(self.state.cold_pacer.fleet_share, 0.25)


class EvacuationSyncTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = PlatformInMemory()
        await publish(self.platform, FIRST)

    async def run_for(self, sync: Sync, seconds: float = 0.05) -> None:
        task = asyncio.ensure_future(sync.run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.wait([task])

    async def test_evacuations_are_read_from_the_platform(self) -> None:
        await self.platform.create(EVACUATION_KIND, "h1", {})
        state = router("r0")
        state.refresh_members()
        await self.run_for(new_sync(state, self.platform, None))
        self.assertEqual(state.halls.evacuations.halls, {"h1"})

    async def test_evacuations_are_pulled_from_a_peer_during_an_outage(self) -> None:
        peer = router("r1")
        peer.apply_change(FIRST)
        peer.apply_listed_evacuations(Listed(9, (StoredObject(EVACUATION_KIND, "h2", 9, {}),)))
        self.platform.faults.arm("outage", 1000)
        state = router("r0")
        meet(state, peer)
        await self.run_for(new_sync(state, self.platform, peer))
        self.assertEqual(state.halls.evacuations.halls, {"h2"})

    async def test_a_router_that_lacks_only_evacuations_pulls_them(self) -> None:
        peer, state = router("r1"), router("r0")
        for each in (peer, state):
            each.apply_change(FIRST)
        peer.apply_listed_evacuations(Listed(9, ()))
        self.platform.faults.arm("outage", 1000)
        meet(state, peer)
        await self.run_for(new_sync(state, self.platform, peer))
        self.assertTrue(state.halls.evacuations.is_known)
        self.assertEqual(state.halls.evacuations.version, NO_EVACUATIONS)
