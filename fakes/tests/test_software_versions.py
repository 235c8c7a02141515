"""Streams where engines of several software versions serve one service side by side."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import ClassVar

from fakes._local_fleet import Backend
from fakes._machines_fleet import HALLS, MachinesFleet, StreamShape, eventually
from fakes._resuming_caller import OK, ResumingCaller
from fakes.tests.test_prepared_machines import KEY, MachinesCase
from pondhatch.platform.tests._wire import CONFIGURATION

STREAM = StreamShape(events=12, event_interval=0.04)
#: Events that a caller reads before its connection ends.
READ_EVENTS = 3
#: Streams that are begun at once.
STREAMS = 12
#: Streams that earn a router the retries for its part of them.
EARNING_STREAMS = 40


class VersionsCase(MachinesCase):
    """Routers in two halls, two engines of each software version."""

    VERSIONS: ClassVar[tuple[str, ...]] = ("v1", "v2")
    ENGINES_PER_VERSION: ClassVar[int] = 2
    ROUTERS: ClassVar[int] = 3

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(MachinesFleet(log_level="ERROR"))
        cls.fleet.put_object("config", "main", CONFIGURATION)
        cls.fleet.add_engine("i-portal", "portal", HALLS[0])
        for version in cls.VERSIONS:
            for index in range(cls.ENGINES_PER_VERSION):
                cls.add_version(f"i-{version}-{index}", version, HALLS[index % 2])
        for index in range(cls.ROUTERS):
            cls.fleet.add_router(HALLS[index % 2])
        eventually(lambda: all(each.is_ready() for each in cls.fleet.machine_routers))
        eventually(lambda: all(cls.is_served(each) for each in cls.fleet.machine_routers))

    @classmethod
    def add_version(cls, name: str, version: str, hall: str, port: int = 0) -> Backend:
        return cls.fleet.add_versioned_engine(name, "lang", hall, version, STREAM, port)

    def read_streams(
        self, router: int, count: int = STREAMS, max_events: int | None = None
    ) -> list[ResumingCaller]:
        """Begin streams at a router, all at once, and read them up to some event."""
        callers = [self.new_caller() for _ in range(count)]
        self.read_all(callers, router, max_events)
        return callers

    def new_caller(self) -> ResumingCaller:
        """Return a caller whose stream belongs to no chat, so that it may begin at any engine."""
        return ResumingCaller("/notes/a", KEY)

    def read_all(
        self, callers: list[ResumingCaller], router: int, max_events: int | None = None
    ) -> None:
        url = self.fleet.machine_routers[router].caller_url
        with ThreadPoolExecutor(len(callers)) as pool:
            list(pool.map(lambda caller: caller.read(url, max_events), callers))

    def assert_of_one_version(self, callers: list[ResumingCaller]) -> None:
        """Assert that no stream holds events of two versions, and that none lacks an event."""
        mixed = [each.events for each in callers if len(each.software_versions) > 1]
        self.assertEqual(mixed, [], f"{len(mixed)} of {len(callers)} streams")
        for each in callers:
            numbers = [number for number, _ in each.events]
            self.assertEqual(numbers, list(range(1, len(numbers) + 1)))

    def assert_whole(self, callers: list[ResumingCaller], share: float) -> None:
        whole = [each for each in callers if len(each.events) == STREAM.events]
        self.assertGreaterEqual(len(whole), share * len(callers))


class ResumedAnswerTest(VersionsCase):
    # A router resumed streams that an engine had cut off at engines of another software version.
    def test_a_stream_resumed_within_one_answer_stays_at_its_software_version(self) -> None:
        for router in range(self.ROUTERS):
            self.read_streams(router, EARNING_STREAMS)
        for engine in self.engines("lang"):
            engine.arm("cut", STREAMS)
        callers = [
            caller
            for router in range(self.ROUTERS)
            for caller in self.read_streams(router, STREAMS // self.ROUTERS)
        ]
        for engine in self.engines("lang"):
            engine.arm("cut", 0)
        self.assert_of_one_version(callers)
        self.assert_whole(callers, 0.95)


class ResumedByCallerTest(VersionsCase):
    # Routers placed a stream that its caller resumed like a new one, at any software version.
    def test_a_stream_that_its_caller_resumes_elsewhere_stays_at_its_software_version(
        self,
    ) -> None:
        callers = self.read_streams(0, 2 * STREAMS, READ_EVENTS)
        first = self.fleet.machine_routers[0]
        first.process.kill()
        first.process.wait()
        self.read_all(callers[::2], 1)
        self.read_all(callers[1::2], 2)
        self.assertEqual({each.tries[-1].status for each in callers}, {OK})
        self.assert_of_one_version(callers)
        self.assert_whole(callers, 0.9)
