from __future__ import annotations

import random
import unittest
from typing import Any

from msgspec.structs import replace

from pondhatch.kernel import Tasks
from pondhatch.membership import (
    Address,
    Alive,
    Datagram,
    Gossip,
    Member,
    MembershipLimits,
    Phase,
    short_id,
)
from pondhatch.requests import Release, decode_grant_packet
from pondhatch.requests._entry_grants import HeldGrant
from pondhatch.router import GRANT_PACKET_PREFIX, GrantExchange, RouterState
from pondhatch.router._grant_exchange import RESTART_INCARNATION_STEP
from pondhatch.router.tests.test_sync import FIRST, meet, router
from pondhatch.store import Upstream


class RestartedRoutersTest(unittest.TestCase):
    def setUp(self) -> None:
        own = Alive(short_id("r0"), 1, Phase.LIVE, "r0", "127.0.0.1", 7000, "h1")
        gossip = Gossip(own, MembershipLimits(), random.Random(1))
        nobody: Any = None
        self.state = RouterState("r0", "h1", gossip, lambda: 0.0, lambda member: nobody)
        self.exchange = GrantExchange(self.state, lambda datagrams: None, Tasks(), 1)
        self.peer = Member("r1", Address("127.0.0.1", 7001), "h1", Phase.LIVE, incarnation=5_000)

    def restarted(self, *members: Member) -> list[str]:
        self.state._members = members
        return self.exchange._restarted_routers()

    def test_a_new_process_differs_from_a_refuted_suspicion(self) -> None:
        rows: tuple[tuple[int, list[str]], ...] = (
            (5_000, []),
            (5_001, []),
            (5_002, []),
            (5_002 + RESTART_INCARNATION_STEP, ["r1"]),
        )
        self.restarted(self.peer)
        for incarnation, expected in rows:
            with self.subTest(incarnation=incarnation):
                found = self.restarted(replace(self.peer, incarnation=incarnation))
                self.assertEqual(found, expected)

    def test_a_restart_is_seen_though_the_router_was_missing_between(self) -> None:
        self.restarted(self.peer)
        self.assertEqual(self.restarted(), [])
        back = replace(self.peer, incarnation=5_000 + RESTART_INCARNATION_STEP)
        self.assertEqual(self.restarted(back), ["r1"])

    def test_a_router_never_seen_before_did_not_restart(self) -> None:
        self.assertEqual(self.restarted(self.peer), [])


class FollowingOwnersTest(unittest.TestCase):
    """Guards the load count at a new owner: requests that the engine runs already must count.

    Otherwise, once an owner drains, the next one treats its engines as idle and grants up to their
    ceiling on top of the running requests.
    """

    def setUp(self) -> None:
        self.state, peer = router("r0"), router("r1")
        self.state.apply_change(FIRST)
        meet(self.state, peer)
        self.peer = peer
        engines = (f"e{index}" for index in range(100))
        for index, name in enumerate(engines):
            self.state.upstreams.set(Upstream(name, "lang", "http://x", "h1"), index + 1)
        self.state.invalidate_upstream_caches()
        names = (name for name in self.state.upstreams.entry_by_name)
        self.engine = next(name for name in names if self.state.owner_name(name) == "r1")
        self.sent: list[Datagram] = []
        self.exchange = GrantExchange(self.state, self.sent.extend, Tasks(), 1)
        self.exchange.follow_members()
        self.exchange.entry.held_by_number[7] = HeldGrant(self.engine, "r1")

    def sent_packets(self) -> list[object]:
        packets = [each.payload[len(GRANT_PACKET_PREFIX) :] for each in self.sent]
        self.sent.clear()
        return [decode_grant_packet(packet) for packet in packets]

    def test_running_requests_are_held_at_the_next_owner_at_once(self) -> None:
        self.peer.gossip.membership.publish(Phase.DRAINING, 0, 0)
        self.state.gossip.membership.table.apply_alive(self.peer.gossip.membership.own_record, 0.0)
        self.state.refresh_members()
        self.assertEqual(self.state.owner_name(self.engine), "r0")
        self.exchange.follow_members()
        self.assertEqual(self.exchange.entry.held_by_number[7], HeldGrant(self.engine, "r0"))
        self.assertEqual(self.state.gate.in_flight(self.engine, 0.0), 1)
        self.assertEqual([type(each) for each in self.sent_packets()], [Release])

    def test_nothing_is_sent_while_owners_stay_the_same(self) -> None:
        self.state.refresh_members()
        self.exchange.follow_members()
        self.assertEqual(self.sent_packets(), [])
