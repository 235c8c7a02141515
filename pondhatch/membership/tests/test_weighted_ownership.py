"""Guards the shares that routers of different capacities own, and capacities in packets.

One hall has 2,100 engines, and its routers run on VMs from the smallest to the largest of a fleet.
"""

from __future__ import annotations

import math
import random
import unittest
from collections import Counter
from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from pondhatch.membership import (
    Address,
    Alive,
    Gossip,
    Member,
    MembershipLimits,
    MemberTable,
    Phase,
    Status,
    Versions,
    aggregation_order,
    capacity_of,
    live_by_hall,
    owner_of,
    short_id,
    watchers,
)
from pondhatch.membership._datagrams import datagram_to
from pondhatch.membership._records import Ack, Announcement, Fault, FullSyncPart, Ping, Rumor
from pondhatch.membership.tests.test_gossip import SimulatedNetwork

CAPACITIES = (0.5, 0.7, 1.0, 1.0, 1.3, 1.6, 1.9, 2.2)
ENGINES = tuple(f"engine-{index}" for index in range(2100))
ANY_ADDRESS = Address("127.0.0.1", 9)


def alive(at: int, capacity: float = 1.0, incarnation: int = 1) -> Alive:
    name, port = f"r{at}", 7000 + at
    record = Alive(short_id(name), incarnation, Phase.LIVE, name, "127.0.0.1", port, "h0")
    return replace(record, capacity=capacity)


class CapacityNetwork(SimulatedNetwork):
    """Routers of one hall with different capacities."""

    def new_core(self, at: int, incarnation: int) -> Gossip:
        own = alive(at, CAPACITIES[at], incarnation)
        rng = random.Random(self.rng.random())
        return Gossip(own, MembershipLimits(), rng, self.seeds)


class OlderAlive(msgspec.Struct, array_like=True, tag=1):
    """The record as a router of an older version decodes it."""

    router: int
    incarnation: int
    phase: int
    name: str
    host: str
    port: int
    hall: str
    sees_platform: bool = True


class OlderAnnouncement(msgspec.Struct, array_like=True, tag=13):
    sender: int
    versions: Versions
    rumors: tuple[OlderAlive, ...] = ()


def members_with(capacities: Iterable[float]) -> list[Member]:
    return [
        Member(f"r{index}", Address("127.0.0.1", 7000 + index), "h0", Phase.LIVE, capacity=capacity)
        for index, capacity in enumerate(capacities)
    ]


def owners(members: Iterable[Member], hall: str = "h0") -> dict[str, str | None]:
    live = live_by_hall(members)
    return {engine: owner_of(engine, hall, live) for engine in ENGINES}


class SharesTest(unittest.TestCase):
    def assert_in_proportion(
        self, owned: Iterable[str | None], capacity_by_router: dict[str, float]
    ) -> None:
        counts = Counter(owned)
        engines, total = counts.total(), sum(capacity_by_router.values())
        self.assertLessEqual(counts.keys(), capacity_by_router.keys())
        for router, capacity in capacity_by_router.items():
            share = capacity / total
            # Four standard deviations of one independent draw for each engine.
            deviation = 4 * math.sqrt(engines * share * (1 - share))
            self.assertAlmostEqual(counts[router], engines * share, delta=deviation)

    def test_when_the_largest_dies_its_engines_go_to_the_others_in_proportion(self) -> None:
        net = CapacityNetwork(len(CAPACITIES), halls=1)
        net.run(10)
        capacity_by_router = {f"r{index}": capacity for index, capacity in enumerate(CAPACITIES)}
        before = owners(net.cores[0].members(net.now))
        self.assert_in_proportion(before.values(), capacity_by_router)
        net.stopped.add(CAPACITIES.index(max(CAPACITIES)))
        del capacity_by_router["r7"]
        net.run(6)
        views = [owners(core.members(net.now)) for core in net.cores[:7]]
        self.assertEqual(views, views[:1] * 7)
        reassigned = {engine: after for engine, after in views[0].items() if before[engine] == "r7"}
        self.assert_in_proportion(reassigned.values(), capacity_by_router)
        moved = {engine for engine in ENGINES if before[engine] != views[0][engine]}
        self.assertEqual(moved, reassigned.keys())

    def test_only_engines_that_a_router_gains_or_loses_move(self) -> None:
        before = owners(members_with(CAPACITIES))
        for changed, capacities in (
            ("r8", (*CAPACITIES, 1.5)),
            ("r2", (0.5, 0.7, 2.0, *CAPACITIES[3:])),
            ("r6", (*CAPACITIES[:6], 0.4, 2.2)),
        ):
            after = owners(members_with(capacities))
            moved = [(before[each], after[each]) for each in ENGINES if before[each] != after[each]]
            self.assertTrue(moved)
            self.assertTrue(all(changed in pair for pair in moved))

    def test_a_hall_without_routers_is_shared_by_all_others_in_proportion(self) -> None:
        capacity_by_router = {f"r{index}": capacity for index, capacity in enumerate(CAPACITIES)}
        owned = owners(members_with(CAPACITIES), "elsewhere")
        self.assert_in_proportion(owned.values(), capacity_by_router)

    def test_equal_capacities_give_the_owners_of_fleets_without_capacities(self) -> None:
        for capacity in (1.0, 0.5):
            members = members_with([capacity] * 5)
            live = live_by_hall(members)
            owned = [owner_of(f"e{index}", "h0", live) for index in range(8)]
            self.assertEqual(owned, ["r1", "r3", "r2", "r4", "r4", "r2", "r3", "r2"])
            self.assertEqual(watchers("h0", members), ("r2",))
            order = [member.name for member in aggregation_order("h0", members)]
            self.assertEqual(order, ["r0", "r3", "r4", "r2", "r1"])

    def test_a_hall_is_watched_and_summed_up_by_a_small_router_less_often(self) -> None:
        members = members_with((0.1, 2.0, 2.0))
        chosen: Counter[str] = Counter()
        for index in range(400):
            hall = [replace(member, hall=f"h{index}") for member in members]
            chosen[watchers(f"h{index}", hall)[0]] += 1
            chosen[aggregation_order(f"h{index}", hall)[0].name] += 1
        self.assert_in_proportion(chosen.elements(), {"r0": 0.1, "r1": 2.0, "r2": 2.0})


class RecordTest(unittest.TestCase):
    def encoded(self, rumors: tuple[Rumor, ...]) -> list[str]:
        messages = (
            Announcement(1, Versions(2, 3), rumors),
            Ping(1, 9, Versions(), 7, (*rumors, Fault(2, 3, 1))),
            Ack(1, 9, Versions(), 7, rumors),
            FullSyncPart(1, True, rumors),
        )
        return [datagram_to(ANY_ADDRESS, message).payload.hex() for message in messages]

    def test_the_usual_capacity_is_not_encoded(self) -> None:
        record = "9901ce1a96bf470500a27230a831302e302e302e31cd1b58a26830c3"
        own_record = replace(alive(0), incarnation=5, host="10.0.0.1")
        expected = [
            "940d0193020300" + "91" + record,
            "960a01099300000007" + "92" + record + "9402020301",
            "960b01099300000007" + "91" + record,
            "940e01c3" + "91" + record,
        ]
        self.assertEqual(self.encoded((own_record,)), expected)

    def test_a_capacity_takes_nine_bytes_and_older_routers_read_the_record(self) -> None:
        usual, sized = self.encoded((alive(0),))[0], self.encoded((alive(0, 0.5),))[0]
        self.assertEqual(len(bytes.fromhex(sized)), len(bytes.fromhex(usual)) + 9)
        read = msgspec.msgpack.decode(bytes.fromhex(sized), type=OlderAnnouncement)
        self.assertEqual((read.rumors[0].name, read.rumors[0].sees_platform), ("r0", True))

    def test_a_capacity_that_an_older_router_left_out_is_learned_later(self) -> None:
        net = CapacityNetwork(3, halls=1)
        # Wait until no rumors about the three are sent, so that only a full sync has them.
        net.run(20)
        net.cores[0] = net.new_core(0, 1)
        without = Announcement(short_id("r9"), Versions(), (alive(1), alive(2)))
        net.cores[0].receive(datagram_to(ANY_ADDRESS, without).payload, ANY_ADDRESS, net.now)
        capacities = [member.capacity for member in net.cores[0].members(net.now)]
        self.assertEqual(capacities, [0.5, 1.0, 1.0])
        net.run(20)
        for core in net.cores:
            capacities = [member.capacity for member in core.members(net.now)]
            self.assertEqual(capacities, list(CAPACITIES[:3]))

    def test_a_capacity_learned_later_does_not_end_a_suspicion(self) -> None:
        table = MemberTable()
        table.apply_alive(alive(1), 0.0)
        table.apply_fault(Fault(short_id("r1"), 1, Status.SUSPECT), 1.0)
        self.assertTrue(table.apply_alive(alive(1, 2.0), 2.0))
        entry = table.entry_by_id[short_id("r1")]
        known = (entry.status, entry.status_since, entry.alive.capacity)
        self.assertEqual(known, (Status.SUSPECT, 1.0, 2.0))
        self.assertFalse(table.apply_alive(alive(1), 3.0))

    def test_a_stated_capacity_out_of_bounds_counts_as_the_nearest_within(self) -> None:
        for stated, expected in ((0.0, 0.1), (-3.0, 0.1), (1e9, 10.0), (math.nan, 0.1)):
            core = CapacityNetwork(1).cores[0]
            announcement = Announcement(1, Versions(), (alive(1, stated),))
            core.receive(datagram_to(ANY_ADDRESS, announcement).payload, ANY_ADDRESS, 0.0)
            self.assertEqual(core.members(0.0)[1].capacity, expected)


class CapacityTest(unittest.TestCase):
    def test_capacity_is_that_of_the_processor_reduced_by_a_narrow_link(self) -> None:
        for vm, expected in (
            ((None, None, None), 1.0),
            ((0.5, 2.0, 100.0), 1.0),
            ((1.0, 2.15, None), 2.1),
            ((0.5, None, None), 0.5),
            ((1.0, 2.0, 5.0), 1.0),
            ((None, None, 5.0), 0.5),
            ((0.01, 1.0, 100.0), 0.1),
            ((32.0, 2.0, 100.0), 10.0),
        ):
            with self.subTest(vm=vm):
                self.assertEqual(capacity_of(*vm), expected)
