"""The platform's store comes back from a copy some seconds old.

What was written there since is gone, and revisions are given out again. A router that takes the
higher number for the newer word holds whatever it knew before the drill against all that is
written after it, until the numbers have caught up: an engine that comes then gets no work, and
one that leaves goes on getting it.
"""

from __future__ import annotations

import time

from fakes._machines_fleet import HALLS, MachinesRouter, changed, eventually
from fakes.tests.test_prepared_machines import MachinesCase
from pondhatch.platform.tests._wire import CONFIGURATION

#: Changes of an engine's entry between the copy and the return, so that numbers are far behind.
CHANGES = 40
#: Seconds for which the store is away.
AWAY = 0.5
#: Seconds after the store's return by when all is as it was: engines write themselves again
#: within two, and a change is to be in force in two more.
SETTLED = 4.0


class StoreDrillTest(MachinesCase):
    """Three routers: one of them watches for no hall, and hears of all from the others."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        router = cls.fleet.add_router(HALLS[0])
        eventually(router.is_ready)
        eventually(lambda: cls.served(router))

    def drill(self) -> None:
        """Have the store keep a copy, take more in, and come back from the copy."""
        self.fleet.objects.arm("copy", 1)
        self.fleet.put("servers", "touch", {})
        for at in range(CHANGES):
            self.fleet.say(self.engines("portal")[0], "ready", Slots=9 + at % 2)
        self.fleet.objects.arm("restore", 1, AWAY)
        eventually(self.is_back)

    def is_back(self) -> bool:
        try:
            self.fleet.put("servers", "touch", {"at": time.monotonic()})
        except OSError:
            return False
        return True

    def served_by(self, router: MachinesRouter) -> set[str]:
        answers = [self.ask(router, "/proofs/a", b"x") for _ in range(12)]
        self.assertEqual({answer.status for answer in answers}, {200})
        return {answer.body.decode().split()[-1] for answer in answers}

    def assert_served_by(self, expected: set[str], seconds: float = SETTLED) -> None:
        for router in self.fleet.machines:
            eventually(lambda at=router: self.served_by(at) == expected, seconds)  # type: ignore[misc]

    def test_what_is_written_after_each_of_two_drills_counts(self) -> None:
        for turn in range(2):
            self.drill()
            names = {each.name for each in self.engines("portal")}
            for router in self.fleet.machines:
                self.assertLessEqual(self.served_by(router), names)
            newcomer = self.fleet.add_engine(f"i-portal-{turn}-new", "portal", HALLS[0])
            self.assert_served_by({*names, newcomer.name})
            self.fleet.say(newcomer, "draining")
            self.assert_served_by(names)
            self.fleet.remove("servers", newcomer.name)
            self.fleet.backends.remove(newcomer)
            newcomer.process.kill()

    def test_an_engine_that_had_changed_since_the_copy_leaves_after_it(self) -> None:
        self.drill()
        changed_before, other = self.engines("portal")
        self.fleet.say(changed_before, "draining")
        self.assert_served_by({other.name})
        self.fleet.say(changed_before, "ready")
        self.assert_served_by({changed_before.name, other.name})

    def test_the_configuration_does_not_go_back_and_the_next_one_counts(self) -> None:
        self.fleet.objects.arm("copy", 1)
        self.fleet.put("servers", "touch", {})
        newer = changed(CONFIGURATION, 40)
        newer["Tenants"][0]["ApiKeys"] = ["key-40"]
        self.fleet.put("config", "main", newer)
        for router in self.fleet.machines:
            eventually(lambda at=router: self.ask(at, "/proofs/a", b"x").status == 401, 5)  # type: ignore[misc]
        self.fleet.objects.arm("restore", 1, AWAY)
        eventually(self.is_back)
        until = time.monotonic() + SETTLED
        while time.monotonic() < until:
            for router in self.fleet.machines:
                # The key was taken away, whatever the copy shows.
                self.assertEqual(self.ask(router, "/proofs/a", b"x").status, 401)
                told = self.ask(router, "/proofs/a", b"x", Authorization="Bearer key-40")
                self.assertEqual(told.status, 200)
            time.sleep(0.1)
        self.fleet.put("config", "main", changed(CONFIGURATION, 41))
        for router in self.fleet.machines:
            eventually(lambda at=router: self.ask(at, "/proofs/a", b"x").status == 200, 5)  # type: ignore[misc]
