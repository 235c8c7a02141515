"""A request that crashes every engine that runs it may end at most three engines.

Guards against routers that forget, once they have answered the caller, which request an engine
was running when it ended, and that do not tell each other. The caller repeated the request under
new ids at other routers, and each attempt went to two engines. 21 engines ended, each within 0.04
to 0.12 s of starting the request and with up to twenty requests of other callers.
"""

from __future__ import annotations

import itertools
import time
from typing import Any

from fakes._local_fleet import Backend, fetch
from fakes._machines_engine import CRASH_AFTER_HEAD, CRASH_BEFORE_HEAD
from fakes._machines_fleet import HALLS, eventually
from fakes.tests.test_prepared_machines import WHOLE_STREAM, Answer, MachinesCase

#: Engines that one request may end before it is quarantined; the users' limit.
MAX_ENDED_ENGINES = 3
#: Attempts of the caller; each may be sent to two engines.
ATTEMPTS = 6
#: Seconds within which a quarantined request is refused.
REFUSAL_SECONDS = 0.5


class CrashingCase(MachinesCase):
    """Engines that ended are replaced under new ids, so that each attempt finds as many."""

    engine_numbers = itertools.count(2)

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        for _ in range(4):
            cls.add_engine()

    @classmethod
    def add_engine(cls) -> None:
        number = next(cls.engine_numbers)
        cls.fleet.add_engine(f"i-lang-{number}", "lang", HALLS[number % len(HALLS)])

    def replace_ended(self) -> int:
        """Start an engine for each that ended; return the number of ended engines."""
        ended = [each for each in self.engines("lang") if self.has_ended(each)]
        for engine in ended:
            self.fleet.backends.remove(engine)
            self.fleet.remove_object("servers", engine.name)
            self.add_engine()
        return len(ended)

    def has_ended(self, engine: Backend) -> bool:
        return engine.process.poll() is not None

    def recorded_requests(self, admin: str) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = fetch(f"http://{admin}/state.json")[
            "requests_that_end_engines"
        ]
        return found


class CrashingRequestTest(CrashingCase):
    def send_repeatedly(self, body: bytes) -> tuple[int, Answer, float]:
        """Send a request ATTEMPTS times, to each router in turn.

        Returns the number of engines that ended, the last answer and the seconds it took.
        """
        ended = 0
        for attempt in range(ATTEMPTS):
            router = self.fleet.machine_routers[attempt % len(self.fleet.machine_routers)]
            started = time.monotonic()
            answer = self.send_request(router, "/notes/a", body)
            seconds = time.monotonic() - started
            ended += self.replace_ended()
        return ended, answer, seconds

    def assert_ends_no_more_than_three(self, body: bytes) -> None:
        ended, answer, took = self.send_repeatedly(body)
        with self.subTest("engines that ended"):
            self.assertLessEqual(ended, MAX_ENDED_ENGINES)
        with self.subTest("last answer to its caller"):
            # The request did run, so the status must not imply that it did not, nor invite a retry.
            self.assertEqual(answer.status, 400)
            self.assertLess(took, REFUSAL_SECONDS)

    def assert_others_are_served(self) -> None:
        for router in self.fleet.machine_routers:
            answer = self.send_request(router, "/notes/a", b"another body")
            self.assertEqual((answer.status, answer.body), (200, WHOLE_STREAM))

    def test_a_request_that_crashes_engines_before_their_answer_ends_at_most_three(self) -> None:
        self.assert_ends_no_more_than_three(CRASH_BEFORE_HEAD)
        self.assert_others_are_served()

    def test_a_request_that_crashes_engines_during_their_answer_ends_at_most_three(self) -> None:
        self.assert_ends_no_more_than_three(CRASH_AFTER_HEAD)
        self.assert_others_are_served()

    def test_an_operator_sees_a_quarantine_and_lifts_it_at_every_router(self) -> None:
        body = CRASH_BEFORE_HEAD + b" until an operator says otherwise"
        self.send_repeatedly(body)
        first, other = (each.admin_address for each in self.fleet.machine_routers)
        record = min(self.recorded_requests(first), key=lambda each: each["last_end_seconds_ago"])
        self.assertTrue(record["quarantined"])
        self.assertEqual(len(record["ended"]), MAX_ENDED_ENGINES)
        self.assertEqual(self.fleet.run_cli("lift", "abc", "--admin", first).returncode, 1)
        lifted = self.fleet.run_cli("lift", record["digest"], "--admin", first)
        self.assertEqual(lifted.returncode, 0, lifted.stderr)
        eventually(lambda: record["digest"] not in self.quarantined_digests(other), 5)

    def quarantined_digests(self, admin: str) -> set[str]:
        return {each["digest"] for each in self.recorded_requests(admin) if each["quarantined"]}
