"""Guards the switch of load management: it must be inactive when off, and active when needed."""

from __future__ import annotations

import random
import unittest

from pondhatch.membership import Address, Alive, Gossip, Member, MembershipLimits, Phase
from pondhatch.platform import PreparedMachines
from pondhatch.requests import KeyHolder
from pondhatch.router import RouterState
from pondhatch.router._state import PACE_TIMEOUT_SECONDS


def _connect(member: Member) -> KeyHolder:
    raise AssertionError(f"no router is called in this test, but {member} was")


def _state(switch: str) -> RouterState:
    own = Alive(1, 1, Phase.LIVE, "r1", "127.0.0.1", 7001, "hall")
    gossip = Gossip(own, MembershipLimits(), random.Random(1), [Address("127.0.0.1", 7002)])
    state = RouterState("r1", "hall", gossip, lambda: 100.0, _connect)
    state.load_management = switch  # type: ignore[assignment]
    return state


class LoadManagementSwitchTest(unittest.TestCase):
    def test_it_is_off_unless_the_settings_say_so(self) -> None:
        state = _state("off")
        state.pace_read_at = 100.0
        self.assertFalse(state.is_load_managed())
        self.assertTrue(_state("on").is_load_managed())

    def test_as_needed_it_is_on_while_engines_report_a_pace(self) -> None:
        state = _state("as-needed")
        self.assertFalse(state.is_load_managed())
        state.pace_read_at = 100.0
        self.assertTrue(state.is_load_managed())
        state.pace_read_at = 100.0 - PACE_TIMEOUT_SECONDS
        self.assertFalse(state.is_load_managed())

    def test_prepared_machines_ask_for_it_where_callers_compete(self) -> None:
        machines = PreparedMachines({})
        self.assertTrue(machines.asks_for_load_management(("base", "pressure")))
        self.assertFalse(machines.asks_for_load_management(("base", "places")))
