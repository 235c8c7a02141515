"""What a change costs the fleet once the configuration is large.

What was seen: over 1,700 routes the operator changed one entry after the other, one in 1.2 s.
Two routers of 62 refused requests as a version says that was more than 3 s old.

How it came about: each hall's watcher read every entry of each version anew, 0.67 s of processor
time where one entry had changed, and fell behind by up to 1.8 s. The others were given each
version whole and held each of its entries against what they had; routers stood still meanwhile
and were taken for silent. Who then waited for two silent peers in a row was 4.9 s behind
(`SilentPeersTest` in test_pulls.py); that these two did is likely, and not shown.

Cause: what one change costs followed from the size of the configuration, not from that of the
change. Reading it was mended first (`ChangeStormTest`), passing it on and taking it are here.

Proof: reading took 667 ms on the version of the record and takes 7 ms now; passing on took 20 ms
of the giver, 34 ms of the taker and 43 KB, and the tests below failed. On a day like that one
routers were passed over as silent 469 times before the mend and 64 times with it.
"""

from __future__ import annotations

import copy
import unittest
from typing import Any
from unittest.mock import patch

from fakes._virtual_loop import run_virtually
from pondhatch.configuration import Fleet, ServiceDefaults, Update
from pondhatch.membership import Member
from pondhatch.platform._configuration import ConfigurationReader
from pondhatch.platform.tests._wire import CONFIGURATION
from pondhatch.router import RouterState
from pondhatch.router.tests.test_sync import meet, pulling, router
from pondhatch.store import UpstreamUpdate
from pondhatch.transport._wire import PACKED_FROM, MessagePackCodec, PullReply

#: As many as the operator's configuration had.
ROUTES = 1700


def large(version: int) -> dict[str, Any]:
    """Return a configuration of many routes."""
    document = copy.deepcopy(CONFIGURATION)
    document["Version"] = version
    route = document["Routes"][0]
    document["Routes"] += [
        {**route, "Name": f"r-{at}", "Host": f"desk{at}.example"} for at in range(ROUTES)
    ]
    return document


def changed(document: dict[str, Any], version: int) -> dict[str, Any]:
    """Return the configuration after a change of one route."""
    later = {**document, "Version": version, "Routes": list(document["Routes"])}
    later["Routes"][-1] = {**later["Routes"][-1], "TimeoutMs": 1000 + version}
    return later


def watching(state: RouterState, *documents: dict[str, Any]) -> None:
    """Let a router read versions of the document as the platform's watch brings them."""
    reader = ConfigurationReader(ServiceDefaults())
    for document in documents:
        state.apply_fleet(state.fleet.replaced_by(reader.decode(document)))


class OneAccountBesideManyRoutesTest(unittest.TestCase):
    def test_routes_are_left_alone(self) -> None:
        state = router("r0")
        document = large(3)
        watching(state, document)
        before = state.fleet.routes
        tenants = [*document["Tenants"], {"Name": "added", "ApiKeys": ["key-added"]}]
        usable_routes = "pondhatch.configuration._editing.usable_routes"
        with patch(usable_routes, side_effect=AssertionError("went through all routes")):
            watching(state, {**document, "Version": 6, "Tenants": tenants})
        self.assertIn("added", state.fleet.policy_by_account)
        self.assertIs(state.fleet.routes, before)


class OneChangeOfManyRoutesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.giver, self.taker = router("r0"), router("r1")
        self.first = large(3)
        watching(self.giver, self.first)
        self.taker.apply_update(self.giver.update_since(0))
        watching(self.giver, changed(self.first, 6))

    def given(self) -> Update:
        return self.giver.update_since(self.taker.fleet.version)

    def test_what_is_passed_on_is_as_large_as_the_change(self) -> None:
        reply = PullReply(self.given(), UpstreamUpdate(1, (), whole=False))
        encoded = MessagePackCodec().encode(reply, PullReply)
        self.assertLess(len(encoded), PACKED_FROM)

    def test_who_takes_it_compares_only_what_changed(self) -> None:
        given = self.given()
        with patch.object(Fleet, "replaced_by", side_effect=AssertionError("compared whole")):
            self.taker.apply_update(given)
        self.assertEqual(self.taker.fleet.version, 6)
        self.assertEqual(self.taker.fleet.raw_by_entry, self.giver.fleet.raw_by_entry)


class WhoCannotTakeItTest(unittest.TestCase):
    """A difference that does not fit, and a peer that knows none: both get the whole."""

    def setUp(self) -> None:
        self.giver, self.taker = router("r0"), router("r1")
        watching(self.giver, CONFIGURATION)
        self.taker.apply_update(self.giver.update_since(0))
        watching(self.giver, changed(CONFIGURATION, CONFIGURATION["Version"] + 2))

    def test_a_peer_of_an_earlier_version_of_the_program_gets_the_whole(self) -> None:
        given = self.giver.update_since(self.taker.fleet.version, takes_difference=False)
        self.assertIsNone(given.difference)
        assert given.snapshot is not None
        self.assertEqual(given.snapshot.version, self.giver.fleet.version)

    def test_what_does_not_fit_changes_nothing_and_the_whole_is_asked_at_once(self) -> None:
        other = copy.deepcopy(CONFIGURATION)
        other["Routes"][0]["Priority"] += 1
        taker = router("r1")
        watching(taker, other)
        before = taker.fleet
        peer = self.giver
        meet(taker, peer)
        asked: list[bool] = []

        async def pull(member: Member, configuration: int, upstreams: int) -> PullReply | None:
            asked.append(not taker.needs_snapshot)
            update = peer.update_since(configuration, takes_difference=asked[-1])
            if asked[-1]:
                self.assertIs(taker.fleet, before)
            return PullReply(update, UpstreamUpdate(1, (), whole=False))

        async def main() -> None:
            await pulling(taker, pull).on_peer_ahead()

        run_virtually(main())
        self.assertEqual(asked, [True, False])
        self.assertEqual(taker.fleet.raw_by_entry, peer.fleet.raw_by_entry)
        self.assertFalse(taker.needs_snapshot)
