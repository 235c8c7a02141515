"""Changes reach every router though those that read the platform for the others are struck at once.

Guards against routers that take the silence of others for proof that nothing has changed: with the
readers of all halls lost, they went on with what they held until membership found these dead.
"""

from __future__ import annotations

import signal
import time
import unittest
from collections.abc import Callable
from typing import ClassVar

from fakes._local_fleet import fetch
from fakes._machines_fleet import MachinesFleet, MachinesRouter, eventually, with_version
from fakes.tests.test_prepared_machines import Answer, MachinesCase
from pondhatch.platform.tests._wire import CONFIGURATION

#: Seconds from the platform's answer to a change until it has to be in force.
IN_FORCE_SECONDS = 2.0
#: Seconds for which callers go on asking then.
ASKED_SECONDS = 1.5
HALLS = ("hall-1", "hall-2", "hall-3", "hall-4")
ROUTERS_PER_HALL = 2
#: The key that is taken away; its account keeps another one.
DROPPED_KEY = "key-2"
SETTLED_SECONDS = 3.0


class FourHallsFleet(MachinesFleet):
    region_by_hall = dict.fromkeys(HALLS, "north")


class LostReadersCase(MachinesCase):
    """Eight routers in four halls, one of each reading the platform for its hall."""

    __test__ = False
    fleet: ClassVar[MachinesFleet]
    version = CONFIGURATION["Version"]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(FourHallsFleet(log_level="ERROR"))
        cls.fleet.put_object("config", "main", CONFIGURATION)
        for service in ("lang", "portal"):
            for hall in HALLS[:2]:
                cls.fleet.add_engine(f"i-{service}-{hall}", service, hall)
        for hall in HALLS * ROUTERS_PER_HALL:
            cls.fleet.add_router(hall)
        routers = cls.fleet.machine_routers
        eventually(lambda: all(router.is_ready() for router in routers))
        eventually(lambda: all(cls.is_served(router) for router in routers))
        eventually(lambda: len(cls.readers()) == len(HALLS))
        time.sleep(SETTLED_SECONDS)

    @classmethod
    def readers(cls) -> list[MachinesRouter]:
        return [
            router
            for router in cls.fleet.machine_routers
            if fetch(f"http://{router.admin_address}/state.json")["watches_platform"]
        ]

    def strike_readers(self) -> list[MachinesRouter]:
        """Have the readers of all halls stand still; return the other routers, undisturbed."""
        readers = self.readers()
        self.addCleanup(self.wake, readers)
        for reader in readers:
            reader.process.send_signal(signal.SIGSTOP)
        return [each for each in self.fleet.machine_routers if each not in readers]

    def after_a_change(
        self, change: Callable[[], None], ask: Callable[[MachinesRouter], Answer]
    ) -> list[tuple[str, Answer]]:
        """Return what the undisturbed routers answer from when a change has to be in force on.

        Callers are idle until then, as a router that calls a lost one notices that.
        """
        in_touch = self.strike_readers()
        time.sleep(0.1)
        changed_at = time.monotonic()
        change()
        time.sleep(changed_at + IN_FORCE_SECONDS - time.monotonic())
        answers = []
        while time.monotonic() < changed_at + IN_FORCE_SECONDS + ASKED_SECONDS:
            answers += [(router.name, ask(router)) for router in in_touch]
            time.sleep(0.05)
        return answers

    def wake(self, routers: list[MachinesRouter]) -> None:
        for router in routers:
            router.process.send_signal(signal.SIGCONT)


class DroppedKeyTest(LostReadersCase):
    __test__ = True

    def test_a_dropped_key_opens_no_router_two_seconds_later(self) -> None:
        def use_key(router: MachinesRouter) -> Answer:
            return self.send_request(
                router, "/proofs/a", b"x", Authorization=f"Bearer {DROPPED_KEY}"
            )

        routers = self.fleet.machine_routers
        self.assertEqual([use_key(each).status for each in routers], [200] * len(routers))
        answers = self.after_a_change(
            lambda: self.fleet.put_object("config", "main", without_key(self.version + 1)), use_key
        )
        self.assertEqual([name for name, answer in answers if answer.status != 401], [])


class ConfirmedAgeTest(LostReadersCase):
    __test__ = True

    def test_each_router_tells_how_old_its_knowledge_may_be(self) -> None:
        for router in self.fleet.machine_routers:
            lines = fetch(router.metrics_url).splitlines()
            (line,) = [
                each for each in lines if each.startswith("pondhatch_platform_confirmed_ms{")
            ]
            self.assertLess(float(line.split()[-1]), 1000 * IN_FORCE_SECONDS)
            state = fetch(f"http://{router.admin_address}/state.json")
            self.assertLess(state["confirmed_seconds_ago"], IN_FORCE_SECONDS)


class LeavingEngineTest(LostReadersCase):
    __test__ = True

    def test_an_engine_that_leaves_gets_nothing_two_seconds_later(self) -> None:
        leaving, staying = self.engines("portal")
        answers = self.after_a_change(
            lambda: self.fleet.put_engine(leaving, "draining"),
            lambda router: self.send_request(router, "/proofs/a", b"x"),
        )
        signatures = {answer.headers["Instance-Signature"] or "" for _, answer in answers}
        self.assertEqual({each.partition(".")[0] for each in signatures}, {staying.name})


def without_key(version: int) -> dict[str, object]:
    changed = with_version(CONFIGURATION, version)
    changed["Tenants"][0]["ApiKeys"] = ["key-1"]
    return changed


if __name__ == "__main__":
    unittest.main()
