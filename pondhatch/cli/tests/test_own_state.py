"""Guards that a router states a capacity only where it manages load from its start."""

from __future__ import annotations

import random
import unittest
from typing import Any

import msgspec

from pondhatch.cli._own_state import own_state
from pondhatch.cli._peer_connections import PeerConnections
from pondhatch.configuration import Settings
from pondhatch.platform import PreparedMachines


def published(**changes: object) -> float:
    endpoint = {"host": "127.0.0.1", "port": 8000}
    settings = {
        "name": "r1",
        "hall": "h1",
        "platform": "http://127.0.0.1:8003",
        **dict.fromkeys(("callers", "peers", "admin"), endpoint),
        "vm": {"cpu_quota": 0.5, "cores": 1.2, "link_mbps": 100},
        **changes,
    }
    read = msgspec.convert(settings, Settings)
    machines: Any = PreparedMachines({})
    state = own_state(read, random.Random(1), PeerConnections("", None), machines)
    state.refresh_members()
    return state.members()[0].capacity


class CapacityTest(unittest.TestCase):
    def test_it_is_stated_only_where_load_management_is_on_at_the_start(self) -> None:
        self.assertEqual(published(load_management="on"), 0.6)
        asked = {"load_management": "as-needed", "rules_in_force": ["pressure"]}
        self.assertEqual(published(**asked), 0.6)
        self.assertEqual(published(load_management="as-needed"), 1.0)
        self.assertEqual(published(), 1.0)

    def test_nothing_known_of_the_vm_is_the_usual_capacity(self) -> None:
        self.assertEqual(published(load_management="on", vm={}), 1.0)
