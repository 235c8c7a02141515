"""Streams that callers take up again after every router was killed at once."""

from __future__ import annotations

import time
from typing import ClassVar

from fakes._local_fleet import fetch
from fakes._machines_fleet import HALLS, MachinesFleet, MachinesRouter, eventually
from fakes._resuming_caller import OK, ResumingCaller
from fakes.tests.test_software_versions import (
    NO_ENGINE_SECONDS,
    NOT_RUN,
    READ_EVENTS,
    STREAM,
    STREAMS,
    VersionsCase,
)

#: Seconds between the last stream's begin and the kill: what a router knows of a stream that began
#: right before it is killed may be lost with it.
WRITE_SECONDS = 0.5
#: Least share of the streams of a version that still serves that go on.
GOING_ON_SHARE = 0.9


class AllRoutersKilledCase(VersionsCase):
    """Kills every router at once while callers have read a part of their streams."""

    fleet: ClassVar[MachinesFleet]

    @property
    def routers(self) -> list[MachinesRouter]:
        return self.fleet.machine_routers

    def begin_streams(self) -> list[ResumingCaller]:
        """Begin streams at each router, and return once the routers had time to write them down."""
        callers = [
            caller
            for router in range(self.ROUTERS)
            for caller in self.read_streams(router, STREAMS, READ_EVENTS)
        ]
        self.assertTrue(all(each.events for each in callers))
        time.sleep(WRITE_SECONDS)
        return callers

    def kill_all_routers(self) -> None:
        for router in self.routers:
            router.process.kill()
        for router in self.routers:
            router.process.wait()

    def restart_all_routers(self) -> None:
        for router in self.routers:
            self.fleet.restart(router)
        eventually(lambda: all(each.is_ready() for each in self.routers))
        eventually(lambda: all(self.is_served(each) for each in self.routers))

    def take_up(self, callers: list[ResumingCaller]) -> None:
        """Take each stream up at another router than the one where it began."""
        for router in range(self.ROUTERS):
            begun_there = callers[router * STREAMS : (router + 1) * STREAMS]
            self.read_all(begun_there, (router + 1) % self.ROUTERS)

    def remove_version(self, version: str) -> None:
        for engine in [each for each in self.engines("lang") if each.software_version == version]:
            self.fleet.kill_engine(engine)

    def of_version(self, callers: list[ResumingCaller], version: str) -> list[ResumingCaller]:
        """Return the callers whose streams began at a version, of which there are some."""
        found = [each for each in callers if each.events[0][1] == version]
        self.assertGreater(len(found), 0)
        return found

    def assert_refused_at_once(self, callers: list[ResumingCaller]) -> None:
        for each in callers:
            self.assertEqual(each.tries[-1].status, NOT_RUN)
            self.assertLess(each.tries[-1].seconds, NO_ENGINE_SECONDS)

    def assert_going_on(self, callers: list[ResumingCaller]) -> None:
        whole = [each for each in callers if len(each.events) == STREAM.events]
        self.assertGreaterEqual(len(whole), GOING_ON_SHARE * len(callers))


class VersionLeftMeanwhileTest(AllRoutersKilledCase):
    # Routers that all began anew took the one version that was still listed for the one that had
    # begun every stream, and joined what two versions wrote.
    def test_a_stream_of_a_version_that_left_goes_on_nowhere_and_the_others_do(self) -> None:
        callers = self.begin_streams()
        self.kill_all_routers()
        self.remove_version("v1")
        self.restart_all_routers()
        self.take_up(callers)
        self.assert_of_one_version(callers)
        self.assert_refused_at_once(self.of_version(callers, "v1"))
        self.assert_going_on(self.of_version(callers, "v2"))


class TwoVersionsServeTest(AllRoutersKilledCase):
    # Routers that all began anew beside two versions refused every stream as of unknown origin.
    def test_every_stream_goes_on_at_the_version_that_began_it(self) -> None:
        callers = self.begin_streams()
        for _ in range(2):
            self.kill_all_routers()
            self.restart_all_routers()
        self.take_up(callers)
        self.assert_of_one_version(callers)
        for version in self.VERSIONS:
            self.assert_going_on(self.of_version(callers, version))


class VersionReplacedMeanwhileTest(AllRoutersKilledCase):
    VERSIONS = ("v1",)

    # A version that replaced the only one while no router ran was taken for the one that had begun
    # every stream.
    def test_no_stream_goes_on_at_a_version_that_came_later(self) -> None:
        callers = self.begin_streams()
        self.kill_all_routers()
        self.remove_version("v1")
        for index in range(self.ENGINES_PER_VERSION):
            self.add_version(f"i-v2-{index}", "v2", HALLS[index % 2])
        self.restart_all_routers()
        self.take_up(callers)
        self.assert_of_one_version(callers)
        self.assert_refused_at_once(callers)


class OneVersionServesTest(AllRoutersKilledCase):
    VERSIONS = ("v1",)

    def test_every_stream_goes_on(self) -> None:
        callers = self.begin_streams()
        self.kill_all_routers()
        self.restart_all_routers()
        self.take_up(callers)
        self.assertEqual({each.tries[-1].status for each in callers}, {OK})
        self.assert_going_on(callers)


class StoreAwayTest(AllRoutersKilledCase):
    # What the store could not be asked was taken for what there had not been.
    def test_no_stream_goes_on_at_another_version_while_the_store_is_away(self) -> None:
        callers = self.begin_streams()
        self.kill_all_routers()
        self.remove_version("v1")
        self.restart_all_routers()
        outage = {"name": "outage", "count": 1, "seconds": 5}
        fetch(f"{self.fleet.object_store.url}/faults", outage)
        self.take_up(callers)
        self.assert_of_one_version(callers)
