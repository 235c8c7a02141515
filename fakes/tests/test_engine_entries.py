"""Engines that restart under the same id, and engine entries that another writer made invalid."""

from __future__ import annotations

import uuid
from typing import Any

from fakes._local_fleet import Backend, fetch
from fakes._machines_fleet import HALLS, eventually
from fakes.tests.test_prepared_machines import MachinesCase

#: Requests sent to each router to find the engines that serve.
REQUESTS_PER_ROUTER = 12


class EntriesCase(MachinesCase):
    def setUp(self) -> None:
        for engine in self.engines("portal"):
            self.fleet.put_engine(engine, "ready")
        eventually(lambda: self.serving_engines() == {"i-portal-0", "i-portal-1"})

    def serving_engines(self) -> set[str]:
        """Return the engines that answer requests at all routers; every request must succeed."""
        answers = [
            self.send_request(router, f"/proofs/{uuid.uuid4().hex}", b"x")
            for router in self.fleet.machine_routers
            for _ in range(REQUESTS_PER_ROUTER)
        ]
        self.assertEqual({each.status for each in answers}, {200})
        return {each.body.decode().rsplit(" ", 1)[-1] for each in answers}

    def engine(self) -> Backend:
        return self.engines("portal")[0]


class RestartTest(EntriesCase):
    def test_each_restart_is_addressed_by_the_engine_id_and_serves(self) -> None:
        engine = self.engine()
        for born in (1_000, 3_000, 2_000):
            self.fleet.put_engine(engine, "ready", born=born)
            eventually(lambda: self.serving_engines() == {"i-portal-0", "i-portal-1"})
        expected = {
            value
            for pairs in fetch(f"{engine.url}/asked")
            for name, value in pairs
            if name == "expect-instance"
        }
        self.assertEqual(expected, {engine.name})


class InvalidEntryTest(EntriesCase):
    def test_an_engine_with_an_invalid_entry_gets_no_work_until_it_is_valid_again(self) -> None:
        engine = self.engine()
        invalid_changes: tuple[dict[str, Any], ...] = (
            {"State": "paused"},
            {"Slots": "8"},
            {"Zone": None},
            {"born": 1.5},
        )
        for changes in invalid_changes:
            with self.subTest(changes=changes):
                self.fleet.put_engine(engine, "ready", **changes)
                eventually(lambda: self.serving_engines() == {"i-portal-1"})
                self.fleet.put_engine(engine, "ready")
                eventually(lambda: self.serving_engines() == {"i-portal-0", "i-portal-1"})


class UnknownEntryTest(EntriesCase):
    def test_invalid_entries_of_unknown_engines_change_nothing(self) -> None:
        for index, spec in enumerate(("no table", None, [1, 2], {"Service": "portal"}, 7)):
            self.fleet.put_object("servers", f"i-nobody-{index}", spec)
        self.fleet.add_engine("i-portal-2", "portal", HALLS[0])
        eventually(lambda: self.serving_engines() == {"i-portal-0", "i-portal-1", "i-portal-2"})


class OddAddressTest(EntriesCase):
    """Entries of engines at addresses that nobody can connect to, of the service in use."""

    ADDRESSES = (
        *("127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:" + "9" * 20),
        *(f"{'a' * 64}:80", f"{'a' * 64}.example:80", "a..b:80", ".:80", "a b:80", "a\x00b:80"),
        *("caf\u00e9:80", "[:80", ":80", "127.0.0.1", "x" * 300 + ":80"),
    )

    # Guards against a name that is looked up for each request: the resolver raised an error that
    # nobody awaited, and the request waited for the whole time that a connection may take.
    def test_engines_at_odd_addresses_get_no_requests(self) -> None:
        names = [f"i-odd-{index}" for index in range(len(self.ADDRESSES))]
        for name, address in zip(names, self.ADDRESSES, strict=True):
            self.addCleanup(self.fleet.remove_object, "servers", name)
            self.fleet.put_object("servers", name, {**self.entry(), "Address": address})
        self.fleet.add_engine("i-portal-late", "portal", HALLS[0])
        expected = {"i-portal-0", "i-portal-1", "i-portal-late"}
        eventually(lambda: self.serving_engines() == expected)
        for router in self.fleet.machine_routers:
            state = fetch(f"http://{router.admin_address}/state.json")
            in_use = {each["name"] for each in state["upstreams"] if each["state"] == "live"}
            self.assertFalse(in_use & set(names))

    def entry(self) -> dict[str, Any]:
        """Return the entry of an engine as the store holds it."""
        url = f"{self.fleet.object_store.url}/objects/servers/{self.engine().name}"
        found: dict[str, Any] = fetch(url)["Spec"]
        return found
