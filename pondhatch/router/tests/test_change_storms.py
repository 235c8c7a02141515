"""Guards the cost of a change in a large configuration: it must not grow with the configuration.

With 1,700 routes and a change every 1.2 s, routers that handled each version as a whole were
blocked: a version took 667 ms of CPU time to read, 20 ms to send, 34 ms to apply, and 43 KB. Peers
treated these routers as silent, and some routers used a version more than 3 s old.
`ChangeStormTest` in the platform's test_configuration.py covers reading, `SilentPeersTest` in
test_pulls.py silent peers.
"""

from __future__ import annotations

import copy
import unittest
from typing import Any
from unittest.mock import patch

from fakes._virtual_loop import run_virtually
from pondhatch.configuration import FleetConfiguration, ServiceDefaults, Update
from pondhatch.membership import Member
from pondhatch.platform._configuration import ConfigurationReader
from pondhatch.platform.tests._wire import CONFIGURATION
from pondhatch.router import RouterState
from pondhatch.router.tests.test_sync import meet, new_peer_sync, router
from pondhatch.store import UpstreamUpdate
from pondhatch.transport._wire import MIN_COMPRESSED_BYTES, MessagePackCodec, PullReply

#: Routes of a large configuration.
ROUTES = 1700


def large_configuration(version: int) -> dict[str, Any]:
    """Return a configuration of many routes."""
    document = copy.deepcopy(CONFIGURATION)
    document["Version"] = version
    route = document["Routes"][0]
    document["Routes"] += [
        {**route, "Name": f"r-{index}", "Host": f"desk{index}.example"} for index in range(ROUTES)
    ]
    return document


def with_changed_route(document: dict[str, Any], version: int) -> dict[str, Any]:
    """Return the configuration after a change of one route."""
    later = {**document, "Version": version, "Routes": list(document["Routes"])}
    later["Routes"][-1] = {**later["Routes"][-1], "TimeoutMs": 1000 + version}
    return later


def apply_documents(state: RouterState, *documents: dict[str, Any]) -> None:
    """Apply versions of the document to a router as the platform's watch brings them."""
    reader = ConfigurationReader(ServiceDefaults())
    for document in documents:
        state.apply_configuration(state.configuration.with_snapshot(reader.decode(document)))


class OneAccountBesideManyRoutesTest(unittest.TestCase):
    def test_a_changed_account_leaves_routes_unprocessed(self) -> None:
        state = router("r0")
        document = large_configuration(3)
        apply_documents(state, document)
        before = state.configuration.routes
        tenants = [*document["Tenants"], {"Name": "added", "ApiKeys": ["key-added"]}]
        usable_routes = "pondhatch.configuration._editing.usable_routes"
        with patch(usable_routes, side_effect=AssertionError("went through all routes")):
            apply_documents(state, {**document, "Version": 6, "Tenants": tenants})
        self.assertIn("added", state.configuration.policy_by_account)
        self.assertIs(state.configuration.routes, before)


class OneChangeOfManyRoutesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sender, self.receiver = router("r0"), router("r1")
        self.first = large_configuration(3)
        apply_documents(self.sender, self.first)
        self.receiver.apply_update(self.sender.update_since(0))
        apply_documents(self.sender, with_changed_route(self.first, 6))

    def update(self) -> Update:
        return self.sender.update_since(self.receiver.configuration.version)

    def test_the_update_is_as_small_as_the_change(self) -> None:
        reply = PullReply(self.update(), UpstreamUpdate(1, (), whole=False))
        encoded = MessagePackCodec().encode(reply, PullReply)
        self.assertLess(len(encoded), MIN_COMPRESSED_BYTES)

    def test_the_receiver_compares_only_what_changed(self) -> None:
        update = self.update()
        with patch.object(
            FleetConfiguration, "with_snapshot", side_effect=AssertionError("compared whole")
        ):
            self.receiver.apply_update(update)
        self.assertEqual(self.receiver.configuration.version, 6)
        self.assertEqual(
            self.receiver.configuration.raw_by_entry, self.sender.configuration.raw_by_entry
        )


class DifferenceNotApplicableTest(unittest.TestCase):
    """Guards the fallback to a snapshot where a difference does not apply or is not understood."""

    def setUp(self) -> None:
        self.sender, self.receiver = router("r0"), router("r1")
        apply_documents(self.sender, CONFIGURATION)
        self.receiver.apply_update(self.sender.update_since(0))
        apply_documents(
            self.sender, with_changed_route(CONFIGURATION, CONFIGURATION["Version"] + 2)
        )

    def test_a_peer_that_takes_no_difference_gets_a_snapshot(self) -> None:
        update = self.sender.update_since(
            self.receiver.configuration.version, takes_difference=False
        )
        self.assertIsNone(update.difference)
        assert update.snapshot is not None
        self.assertEqual(update.snapshot.version, self.sender.configuration.version)

    def test_a_misfit_difference_changes_nothing_and_a_snapshot_is_pulled_at_once(self) -> None:
        other = copy.deepcopy(CONFIGURATION)
        other["Routes"][0]["Priority"] += 1
        receiver = router("r1")
        apply_documents(receiver, other)
        before = receiver.configuration
        peer = self.sender
        meet(receiver, peer)
        asked: list[bool] = []

        async def pull(member: Member, configuration: int, upstreams: int) -> PullReply | None:
            asked.append(not receiver.needs_snapshot)
            update = peer.update_since(configuration, takes_difference=asked[-1])
            if asked[-1]:
                self.assertIs(receiver.configuration, before)
            return PullReply(update, UpstreamUpdate(1, (), whole=False))

        async def main() -> None:
            await new_peer_sync(receiver, pull).on_peer_ahead()

        run_virtually(main())
        self.assertEqual(asked, [True, False])
        self.assertEqual(receiver.configuration.raw_by_entry, peer.configuration.raw_by_entry)
        self.assertFalse(receiver.needs_snapshot)
