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
from pondhatch.router import GRANT_MARK, Granting, RouterState
from pondhatch.router._granting import RESTART_STEP
from pondhatch.router.tests.test_sync import FIRST, meet, router
from pondhatch.store import Upstream


class RestartedRoutersTest(unittest.TestCase):
    def setUp(self) -> None:
        own = Alive(short_id("r0"), 1, Phase.LIVE, "r0", "127.0.0.1", 7000, "h1")
        gossip = Gossip(own, MembershipLimits(), random.Random(1))
        nobody: Any = None
        self.state = RouterState("r0", "h1", gossip, lambda: 0.0, lambda member: nobody)
        self.granting = Granting(self.state, lambda datagrams: None, Tasks(), 1)
        self.peer = Member("r1", Address("127.0.0.1", 7001), "h1", Phase.LIVE, incarnation=5_000)

    def restarted(self, *members: Member) -> list[str]:
        self.state._members = members
        return self.granting._restarted()

    def test_a_new_process_is_told_from_a_contradicted_suspicion(self) -> None:
        rows: tuple[tuple[int, list[str]], ...] = (
            (5_000, []),
            (5_001, []),
            (5_002, []),
            (5_002 + RESTART_STEP, ["r1"]),
        )
        self.restarted(self.peer)
        for incarnation, expected in rows:
            with self.subTest(incarnation=incarnation):
                found = self.restarted(replace(self.peer, incarnation=incarnation))
                self.assertEqual(found, expected)

    def test_one_that_was_missed_for_a_while_is_known_again_as_another_process(self) -> None:
        self.restarted(self.peer)
        self.assertEqual(self.restarted(), [])
        back = replace(self.peer, incarnation=5_000 + RESTART_STEP)
        self.assertEqual(self.restarted(back), ["r1"])

    def test_a_router_never_seen_before_did_not_restart(self) -> None:
        self.assertEqual(self.restarted(self.peer), [])


class FollowingOwnersTest(unittest.TestCase):
    """A router that drains gives its engines up; what runs there counts at the next owner."""

    def setUp(self) -> None:
        self.state, peer = router("r0"), router("r1")
        self.state.take_change(FIRST)
        meet(self.state, peer)
        self.peer = peer
        engines = (f"e{at}" for at in range(100))
        for at, name in enumerate(engines):
            self.state.upstreams.set(Upstream(name, "lang", "http://x", "h1"), at + 1)
        self.state.upstreams_changed()
        owned = (name for name in self.state.upstreams.entry_by_name)
        self.engine = next(name for name in owned if self.state.owner_name(name) == "r1")
        self.sent: list[Datagram] = []
        self.granting = Granting(self.state, self.sent.extend, Tasks(), 1)
        self.granting.follow_members()
        self.granting.entry.held_by_number[7] = HeldGrant(self.engine, "r1")

    def told(self) -> list[object]:
        packets = [each.payload[len(GRANT_MARK) :] for each in self.sent]
        self.sent.clear()
        return [decode_grant_packet(packet) for packet in packets]

    def test_the_next_owner_is_told_as_soon_as_the_word_of_it_comes(self) -> None:
        self.peer.gossip.membership.publish(Phase.DRAINING, 0, 0)
        self.state.gossip.membership.table.take_alive(self.peer.gossip.membership.own, 0.0)
        self.state.refresh()
        self.assertEqual(self.state.owner_name(self.engine), "r0")
        self.granting.follow_members()
        self.assertEqual(self.granting.entry.held_by_number[7], HeldGrant(self.engine, "r0"))
        self.assertEqual(self.state.gate.in_flight(self.engine, 0.0), 1)
        self.assertEqual([type(each) for each in self.told()], [Release])

    def test_nobody_is_told_while_nothing_changes(self) -> None:
        self.state.refresh()
        self.granting.follow_members()
        self.assertEqual(self.told(), [])
