"""Guards against publishing a router's capacity unless load management is on at its start."""

from __future__ import annotations

import random
import unittest
from typing import Any

import msgspec

from pondhatch.cli._initial_state import initial_state
from pondhatch.cli._peer_connections import PeerConnections
from pondhatch.configuration import Settings
from pondhatch.platform import PreparedMachines


def published_capacity(**changes: object) -> float:
    endpoint = {"host": "127.0.0.1", "port": 8000}
    settings = {
        "name": "r1",
        "hall": "h1",
        "platform": "http://127.0.0.1:8003",
        **dict.fromkeys(("callers", "peers", "admin"), endpoint),
        "vm": {"cpu_quota": 0.5, "cores": 1.2, "link_mbps": 100},
        **changes,
    }
    parsed = msgspec.convert(settings, Settings)
    machines: Any = PreparedMachines({})
    state = initial_state(parsed, random.Random(1), PeerConnections("", None), machines)
    state.refresh_members()
    return state.members()[0].capacity


class CapacityTest(unittest.TestCase):
    def test_a_capacity_is_published_only_with_load_management_on_at_the_start(self) -> None:
        self.assertEqual(published_capacity(load_management="on"), 0.6)
        requested_by_rules = {"load_management": "as-needed", "rules_in_force": ["pressure"]}
        self.assertEqual(published_capacity(**requested_by_rules), 0.6)
        self.assertEqual(published_capacity(load_management="as-needed"), 1.0)
        self.assertEqual(published_capacity(), 1.0)

    def test_unknown_vm_settings_give_the_usual_capacity(self) -> None:
        self.assertEqual(published_capacity(load_management="on", vm={}), 1.0)
