from __future__ import annotations

import random
import unittest
from dataclasses import replace
from typing import Any

from pondhatch.kernel import Tasks
from pondhatch.membership import (
    Address,
    Alive,
    Gossip,
    Member,
    MembershipLimits,
    Phase,
    short_id,
)
from pondhatch.router import Granting, RouterState
from pondhatch.router._granting import RESTART_STEP


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
