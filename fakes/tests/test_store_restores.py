"""The platform's store is restored from a copy some seconds old.

Later writes are lost and their revisions are assigned again. Guards against a router that takes
the higher revision for the newer state: until revisions catch up, it would ignore what is written
after the restore, so that a new engine gets no work and a leaving one keeps getting it.
"""

from __future__ import annotations

import time

from fakes._machines_fleet import HALLS, MachinesRouter, eventually, with_version
from fakes.tests.test_prepared_machines import MachinesCase
from pondhatch.platform.tests._wire import CONFIGURATION

#: Changes of an engine's entry between copy and restore, so that revisions are far behind after.
CHANGES_AFTER_COPY = 40
#: Seconds for which the store is unavailable during a restore.
OUTAGE_SECONDS = 0.5
#: Seconds after the restore within which routers are up to date: engines write their entries
#: again within 2 s, and a change takes effect within 2 s more.
SETTLE_SECONDS = 4.0


class StoreRestoreTest(MachinesCase):
    """Three routers; one watches the store for no hall, and learns everything from its peers."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        router = cls.fleet.add_router(HALLS[0])
        eventually(router.is_ready)
        eventually(lambda: cls.is_served(router))

    def restore_older_copy(self) -> None:
        """Have the store save a copy, take more writes, and restore the copy."""
        self.fleet.object_store.arm("copy", 1)
        self.fleet.put_object("servers", "touch", {})
        for index in range(CHANGES_AFTER_COPY):
            self.fleet.put_engine(self.engines("portal")[0], "ready", Slots=9 + index % 2)
        self.fleet.object_store.arm("restore", 1, OUTAGE_SECONDS)
        eventually(self.is_store_back)

    def is_store_back(self) -> bool:
        try:
            self.fleet.put_object("servers", "touch", {"at": time.monotonic()})
        except OSError:
            return False
        return True

    def served_by(self, router: MachinesRouter) -> set[str]:
        answers = [self.send_request(router, "/proofs/a", b"x") for _ in range(12)]
        self.assertEqual({answer.status for answer in answers}, {200})
        return {answer.body.decode().split()[-1] for answer in answers}

    def assert_served_by(self, expected: set[str], seconds: float = SETTLE_SECONDS) -> None:
        for router in self.fleet.machine_routers:
            eventually(lambda router=router: self.served_by(router) == expected, seconds)  # type: ignore[misc]

    def test_writes_after_each_of_two_restores_take_effect(self) -> None:
        for turn in range(2):
            self.restore_older_copy()
            names = {each.name for each in self.engines("portal")}
            for router in self.fleet.machine_routers:
                self.assertLessEqual(self.served_by(router), names)
            newcomer = self.fleet.add_engine(f"i-portal-{turn}-new", "portal", HALLS[0])
            self.assert_served_by({*names, newcomer.name})
            self.fleet.put_engine(newcomer, "draining")
            self.assert_served_by(names)
            self.fleet.remove_object("servers", newcomer.name)
            self.fleet.backends.remove(newcomer)
            newcomer.process.kill()

    def test_an_engine_changed_since_the_copy_can_drain_after_the_restore(self) -> None:
        self.restore_older_copy()
        changed_before, other = self.engines("portal")
        self.fleet.put_engine(changed_before, "draining")
        self.assert_served_by({other.name})
        self.fleet.put_engine(changed_before, "ready")
        self.assert_served_by({changed_before.name, other.name})

    def test_the_configuration_is_not_rolled_back_and_the_next_one_applies(self) -> None:
        self.fleet.object_store.arm("copy", 1)
        self.fleet.put_object("servers", "touch", {})
        newer = with_version(CONFIGURATION, 40)
        newer["Tenants"][0]["ApiKeys"] = ["key-40"]
        self.fleet.put_object("config", "main", newer)
        for router in self.fleet.machine_routers:
            eventually(
                lambda router=router: self.send_request(router, "/proofs/a", b"x").status == 401,  # type: ignore[misc]
                5,
            )
        self.fleet.object_store.arm("restore", 1, OUTAGE_SECONDS)
        eventually(self.is_store_back)
        until = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < until:
            for router in self.fleet.machine_routers:
                # The key was revoked, although the restored copy still holds it.
                self.assertEqual(self.send_request(router, "/proofs/a", b"x").status, 401)
                answer = self.send_request(router, "/proofs/a", b"x", Authorization="Bearer key-40")
                self.assertEqual(answer.status, 200)
            time.sleep(0.1)
        self.fleet.put_object("config", "main", with_version(CONFIGURATION, 41))
        for router in self.fleet.machine_routers:
            eventually(
                lambda router=router: self.send_request(router, "/proofs/a", b"x").status == 200,  # type: ignore[misc]
                5,
            )
