"""Guards the preference for engines with a connection: it must not move contexts or add load."""

from __future__ import annotations

import unittest
from typing import Any

from pondhatch.limits import RetryBudget
from pondhatch.placement import Granted, ranked
from pondhatch.platform.tests._wire import CONFIGURATION
from pondhatch.requests import Busy, Collaborators, ReplayableBody, RequestHead
from pondhatch.requests._dispatch import Dispatch
from pondhatch.router import PooledEngines
from pondhatch.transport.tests.test_routed_callers import state_of

ENGINES = ("i-0", "i-1")


class PooledEnginesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = state_of(CONFIGURATION)
        self.state.load_management = "on"
        self.preference = PooledEngines(self.state, lambda url: url == "http://10.0.0.1:80")

    def order(self, chat: int) -> tuple[str, ...]:
        nobody: Any = None
        head = RequestHead("r", "a", "lang", chat, "POST", "/", (), False, 5.0, 5)
        collaborators = Collaborators(nobody, nobody, preference=self.preference)
        budget = RetryBudget()
        return Dispatch(
            self.state, collaborators, budget, head, ReplayableBody(b""), lambda: 5.0
        ).plan.order

    def test_requests_with_a_context_keep_their_order(self) -> None:
        self.assertEqual(self.order(0), ("i-1", "i-0"))
        for chat in range(1, 9):
            self.assertEqual(self.order(chat), ranked(str(chat), ENGINES))

    def test_while_load_is_not_managed_no_engine_is_preferred(self) -> None:
        self.state.load_management = "off"
        self.assertEqual(self.preference.preferred("lang", ENGINES), ())

    def test_loads_are_counted_here_and_read_from_replies_of_other_owners(self) -> None:
        self.state.gate.adopt("i-1")
        self.state.gate.adopt("i-1")
        self.assertEqual(self.preference.preferred("lang", ENGINES), ())
        other: Any = "r1"
        self.state.owner_name = lambda engine: other  # type: ignore[method-assign]
        self.assertEqual(self.preference.preferred("lang", ENGINES), ("i-1",))
        self.preference.note_reply("i-1", Granted(2, 9))
        self.assertEqual(self.preference.preferred("lang", ENGINES), ("i-1",))
        self.preference.note_reply("i-1", Busy(2, 2))
        self.assertEqual(self.preference.preferred("lang", ENGINES), ())
