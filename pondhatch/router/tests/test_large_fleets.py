"""Guards the cost of one router's change at the others: it must not grow with the fleet.

When 195 routers restart in turn within half a minute, each sends three changes, so each router gets
about 600; at 4.3 ms of CPU time each they took 2.5 s. The tests count calls, not time.
"""

from __future__ import annotations

import unittest
from unittest import mock

from msgspec.structs import replace

from fakes._many_routers import ManyRouters, hall_of, listed_upstream
from pondhatch.membership import Phase, Versions, owner_of, short_id
from pondhatch.membership import _members as members_module
from pondhatch.membership._records import Announcement
from pondhatch.router import _owners as owners_module
from pondhatch.store import Listed

ROUTERS = 195
UPSTREAMS = 43


class LargeFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = ManyRouters(ROUTERS, UPSTREAMS)
        self.state = self.fleet.state
        self.owner_by_engine = self.owners()

    def owners(self) -> dict[str, str | None]:
        return {f"e{index}": self.state.owner_name(f"e{index}") for index in range(UPSTREAMS)}

    def test_a_change_of_one_router_rebuilds_one_member(self) -> None:
        with mock.patch.object(members_module, "_member", wraps=members_module._member) as made:
            self.fleet.receive_member(7, 2, Phase.DRAINING)
        # The changed router and this router itself.
        self.assertEqual(made.call_count, 2)
        phases = {member.name: member.phase for member in self.state.members()}
        self.assertEqual(len(phases), ROUTERS)
        self.assertEqual([name for name in phases if phases[name] != Phase.LIVE], ["r7"])

    def test_owners_are_recomputed_in_the_routers_hall_alone(self) -> None:
        with mock.patch.object(owners_module, "owner_of", wraps=owner_of) as asked:
            self.fleet.receive_member(7, 2, Phase.DRAINING)
            after = self.owners()
        self.assertEqual({call.args[1] for call in asked.call_args_list}, {hall_of(7)})
        self.assertNotIn("r7", after.values())
        changed = [name for name in after if after[name] != self.owner_by_engine[name]]
        self.assertEqual(
            changed, [name for name, owner in self.owner_by_engine.items() if owner == "r7"]
        )

    def test_a_changed_capacity_moves_engines_in_the_routers_hall_alone(self) -> None:
        table = self.state.gossip.membership.table
        alive = table.entry_by_id[short_id("r7")].alive
        large = replace(alive, incarnation=2, capacity=10.0)
        with mock.patch.object(owners_module, "owner_of", wraps=owner_of) as asked:
            self.fleet.receive(Announcement(short_id("r1"), Versions(), (large,)))
            after = self.owners()
        self.assertEqual({call.args[1] for call in asked.call_args_list}, {hall_of(7)})
        changed = {name: after[name] for name in after if after[name] != self.owner_by_engine[name]}
        self.assertEqual(set(changed.values()), {"r7"})

    def test_a_change_that_moves_no_engine_recomputes_no_owner(self) -> None:
        with mock.patch.object(owners_module, "owner_of", wraps=owner_of) as asked:
            self.fleet.receive_member(7, 2)
            self.assertEqual(self.owners(), self.owner_by_engine)
        self.assertEqual(asked.call_count, 0)

    def test_an_upstream_of_a_hall_without_routers_is_owned_by_any_router(self) -> None:
        self.state.apply_listed_upstreams(
            Listed(200, (listed_upstream(0, "h0"), listed_upstream(150, "elsewhere")))
        )
        owner = self.state.owner_name("e150")
        assert owner is not None
        self.fleet.receive_member(int(owner[1:]), 2, Phase.DRAINING)
        self.assertNotEqual(self.state.owner_name("e150"), owner)

    def test_a_router_that_left_is_no_member_until_it_is_back(self) -> None:
        self.fleet.receive_member(7, 2, Phase.LEFT)
        self.assertNotIn("r7", {member.name for member in self.state.members()})
        self.fleet.receive_member(7, 3)
        self.assertEqual(self.owners(), self.owner_by_engine)
