"""Guards the views of the fleet, its loads and its owners against losses, partitions and restarts.

Gossip cores exchange packets in memory while a simulated clock is advanced.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from pondhatch.membership import (
    Address,
    Alive,
    Datagram,
    Gossip,
    MembershipLimits,
    Phase,
    Seal,
    ServiceLoad,
    Status,
    aggregation_order,
    live_by_hall,
    owner_of,
    short_id,
    watchers,
)
from pondhatch.membership._load_aggregation import report_interval
from pondhatch.membership._records import Fault
from pondhatch.router._sync import PEER_DISCOVERY_SECONDS

Edge = tuple[int, int]
TICK_SECONDS = 0.1


class SimulatedNetwork:
    """Several gossip cores, packets delivered in memory, and a clock advanced in steps."""

    def __init__(
        self,
        routers: int,
        halls: int = 2,
        seed: int = 1,
        seeds: tuple[Address, ...] = (Address("127.0.0.1", 7000),),
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.halls = halls
        self.seeds = seeds
        self.stopped: set[int] = set()
        self.is_delivered: Callable[[Edge], bool] = lambda edge: True
        self.largest_payload = 0
        self.cores = [self.new_core(index, 1) for index in range(routers)]

    def new_core(self, at: int, incarnation: int) -> Gossip:
        name = f"r{at}"
        hall = f"h{at % self.halls}"
        own = Alive(short_id(name), incarnation, Phase.LIVE, name, "127.0.0.1", 7000 + at, hall)
        rng = random.Random(self.rng.random())
        return Gossip(own, MembershipLimits(), rng, self.seeds)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for index, core in enumerate(self.cores):
                if index not in self.stopped:
                    self.deliver(index, core.tick(self.now))

    def deliver(self, sender: int, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            self.largest_payload = max(self.largest_payload, len(datagram.payload))
            to = datagram.to.port - 7000
            if to in self.stopped or not self.is_delivered((sender, to)) or to == sender:
                continue
            source = Address("127.0.0.1", 7000 + sender)
            self.deliver(to, self.cores[to].receive(datagram.payload, source, self.now))

    def members_seen_by(self, at: int) -> set[str]:
        return {member.name for member in self.cores[at].members(self.now)}


class StartingTogetherTest(unittest.TestCase):
    """Routers that start together; each reads from the platform those listed before it."""

    def test_they_know_each_other_before_any_of_them_watches_the_platform(self) -> None:
        for routers in (8, 62):
            with self.subTest(routers=routers):
                net = SimulatedNetwork(routers, seeds=())
                net.run(TICK_SECONDS)
                addresses = [Address("127.0.0.1", 7000 + index) for index in range(routers)]
                for index, core in enumerate(net.cores):
                    core.add_seeds(addresses[: index + 1])
                net.run(PEER_DISCOVERY_SECONDS - TICK_SECONDS)
                known = [len(net.members_seen_by(index)) for index in range(routers)]
                self.assertGreaterEqual(min(known), 0.8 * routers)


class GossipTest(unittest.TestCase):
    def test_all_find_each_other_through_one_seed(self) -> None:
        net = SimulatedNetwork(30)
        net.run(10)
        for index in range(30):
            self.assertEqual(len(net.members_seen_by(index)), 30)

    def test_a_frozen_router_is_removed_by_all_and_returns(self) -> None:
        net = SimulatedNetwork(8)
        net.run(10)
        net.stopped.add(3)
        net.run(6)
        for index in set(range(8)) - {3}:
            self.assertNotIn("r3", net.members_seen_by(index))
        net.stopped.clear()
        net.run(6)
        for index in range(8):
            self.assertEqual(len(net.members_seen_by(index)), 8)

    def test_nobody_is_suspected_in_a_quiet_fleet(self) -> None:
        net = SimulatedNetwork(40)
        net.run(10)
        for _ in range(40):
            net.run(1)
            statuses = {m.status for core in net.cores for m in core.members(net.now)}
            self.assertEqual(statuses, {Status.ALIVE})

    def test_a_partition_into_halves_heals(self) -> None:
        net = SimulatedNetwork(8)
        net.run(10)
        net.is_delivered = lambda edge: (edge[0] < 4) == (edge[1] < 4)
        net.run(12)
        self.assertEqual(net.members_seen_by(0), {"r0", "r1", "r2", "r3"})
        self.assertEqual(net.members_seen_by(7), {"r4", "r5", "r6", "r7"})
        net.is_delivered = lambda edge: True
        net.run(70)
        self.assertEqual(len(net.members_seen_by(0)), 8)
        self.assertEqual(len(net.members_seen_by(7)), 8)

    def test_a_one_way_cut_between_two_routers_makes_neither_suspect(self) -> None:
        net = SimulatedNetwork(6)
        net.run(10)
        net.is_delivered = lambda edge: edge != (2, 4)
        for _ in range(20):
            net.run(1)
            self.assertIn("r2", net.members_seen_by(4))
            self.assertIn("r4", net.members_seen_by(2))

    def test_a_restarted_router_rejoins_under_its_address(self) -> None:
        net = SimulatedNetwork(6)
        net.run(10)
        net.cores[5] = net.new_core(5, incarnation=2)
        net.cores[5].publish(Phase.LIVE, 7, 0, ())
        net.run(8)
        self.assertEqual(len(net.members_seen_by(5)), 6)
        self.assertEqual(net.cores[0].versions()["r5"].configuration, 7)

    def test_a_router_declared_dead_refutes_it(self) -> None:
        net = SimulatedNetwork(4)
        net.run(6)
        own = net.cores[2].membership.own_record
        fault = Fault(own.router, own.incarnation, Status.DEAD)
        net.cores[0].membership.table.apply_fault(fault, net.now)
        self.assertNotIn("r2", net.members_seen_by(0))
        net.run(6)
        self.assertIn("r2", net.members_seen_by(0))
        self.assertGreater(net.cores[2].membership.own_record.incarnation, own.incarnation)

    def test_an_older_record_never_replaces_a_newer_one(self) -> None:
        net = SimulatedNetwork(2)
        net.run(3)
        old = net.cores[1].membership.own_record
        net.cores[1].publish(Phase.DRAINING, 9, 9, ())
        net.run(3)
        self.assertFalse(net.cores[0].membership.table.apply_alive(old, net.now))
        member = next(m for m in net.cores[0].members(net.now) if m.name == "r1")
        self.assertEqual(member.phase, Phase.DRAINING)
        self.assertEqual(net.cores[0].versions()["r1"].configuration, 9)

    def test_a_router_that_left_or_failed_a_call_is_no_member(self) -> None:
        net = SimulatedNetwork(4)
        net.run(6)
        net.cores[0].mark_unreachable("r2", net.now)
        self.assertNotIn("r2", net.members_seen_by(0))
        net.run(6)
        self.assertIn("r2", net.members_seen_by(0))
        net.cores[3].publish(Phase.LEFT, 0, 0, ())
        net.deliver(3, net.cores[3].announcements())
        net.stopped.add(3)
        self.assertNotIn("r3", net.members_seen_by(0))

    def test_a_new_version_is_announced_at_once(self) -> None:
        net = SimulatedNetwork(5)
        net.run(6)
        net.cores[0].publish(Phase.LIVE, 3, 0, ())
        net.deliver(0, net.cores[0].announcements())
        self.assertEqual([core.routers_ahead() for core in net.cores[1:]], [("r0",)] * 4)

    def test_malformed_packets_are_dropped(self) -> None:
        core = SimulatedNetwork(1).cores[0]
        for payload in (b"", b"\xff" * 40, b"\x93\x01\x02", b"\x94\x0a\x90\x90\x91\xa1x"):
            self.assertEqual(core.receive(payload, Address("127.0.0.1", 1), 0.0), [])
        self.assertEqual(len(core.members(0.0)), 1)

    def test_a_packet_stays_under_one_datagram_whatever_the_fleet(self) -> None:
        net = SimulatedNetwork(150, halls=4)
        net.run(12)
        self.assertEqual(len(net.members_seen_by(3)), 150)
        self.assertLess(net.largest_payload, 1400)


class FleetLoadTest(unittest.TestCase):
    """The fleet's load as each owner knows it; router i has i requests in flight, 66 in all."""

    def setUp(self) -> None:
        self.net = SimulatedNetwork(12, halls=3)
        for index, core in enumerate(self.net.cores):
            core.publish(Phase.LIVE, 0, 0, (ServiceLoad(short_id("s"), 2, index),))
        self.net.run(12)

    def load_elsewhere(self, at: int) -> int:
        return self.net.cores[at].in_flight_elsewhere("s", self.net.now)

    def test_every_router_knows_the_load_of_all_others(self) -> None:
        for index in range(12):
            self.assertEqual(self.load_elsewhere(index), 66 - index)

    def test_a_lost_aggregator_is_replaced_and_its_load_leaves_the_sum(self) -> None:
        order = aggregation_order("h1", self.net.cores[1].members(self.net.now))
        aggregator = int(order[0].name[1:])
        self.net.stopped.add(aggregator)
        self.net.run(16)
        survivors = set(range(12)) - {aggregator}
        for index in survivors:
            self.assertEqual(self.load_elsewhere(index), 66 - index - aggregator)

    def test_a_hall_cut_off_keeps_its_own_sum(self) -> None:
        cut_off = {index for index in range(12) if index % 3 == 0}
        self.net.is_delivered = lambda edge: (edge[0] in cut_off) == (edge[1] in cut_off)
        self.net.run(20)
        self.assertEqual(self.load_elsewhere(3), sum(cut_off) - 3)
        self.assertEqual(self.load_elsewhere(1), 66 - sum(cut_off) - 1)

    def test_small_fleets_report_more_often_and_large_ones_no_less_than_each_second(self) -> None:
        rows = ((1, 0.2), (8, 0.25), (16, 0.5), (32, 1.0), (470, 1.0))
        for routers, seconds in rows:
            with self.subTest(routers=routers):
                self.assertAlmostEqual(report_interval(routers), seconds)

    def test_a_fall_of_the_load_is_known_within_a_second_in_a_small_fleet(self) -> None:
        self.net.cores[5].publish(Phase.LIVE, 0, 0, (ServiceLoad(short_id("s"), 2, 0),))
        self.net.run(1.3)
        for index in set(range(12)) - {5}:
            self.assertEqual(self.load_elsewhere(index), 66 - index - 5)

    def test_a_new_load_is_known_within_two_seconds(self) -> None:
        self.net.cores[5].publish(Phase.LIVE, 0, 0, (ServiceLoad(short_id("s"), 2, 500),))
        self.net.run(2.2)
        for index in set(range(12)) - {5}:
            self.assertEqual(self.load_elsewhere(index), 66 - index - 5 + 500)


class SealTest(unittest.TestCase):
    def test_only_packets_signed_with_the_fleet_key_verify(self) -> None:
        seal = Seal(b"fleet key of the fleet")
        signed = seal.sign(b"payload")
        self.assertEqual(seal.verify(signed), b"payload")
        for forged in (b"", signed[:-1], b"12345678payload", Seal(b"another").sign(b"payload")):
            self.assertIsNone(seal.verify(forged))


class OwnershipTest(unittest.TestCase):
    def setUp(self) -> None:
        net = SimulatedNetwork(6)
        net.run(10)
        self.members = net.cores[0].members(net.now)

    def test_an_engine_is_owned_in_its_hall(self) -> None:
        hall_by_name = {member.name: member.hall for member in self.members}
        for index in range(20):
            owner = owner_of(f"engine-{index}", "h1", live_by_hall(self.members))
            self.assertEqual(hall_by_name[owner] if owner else None, "h1")

    def test_a_hall_without_routers_is_served_by_the_others(self) -> None:
        self.assertIsNotNone(owner_of("engine", "h9", live_by_hall(self.members)))
        self.assertIsNone(owner_of("engine", "h1", {}))

    def test_a_draining_router_owns_nothing(self) -> None:
        net = SimulatedNetwork(4)
        net.cores[1].publish(Phase.DRAINING, 0, 0, ())
        net.run(8)
        members = net.cores[0].members(net.now)
        owners = {owner_of(f"e{index}", "h1", live_by_hall(members)) for index in range(20)}
        self.assertEqual(owners, {"r3"})

    def test_each_hall_has_one_watcher_on_which_all_agree(self) -> None:
        self.assertEqual(len(watchers("h0", self.members)), 1)
        self.assertEqual(watchers("h0", self.members), watchers("h0", self.members[::-1]))
