"""A request under which every engine ends that begins to run it, sent again and again.

What was seen: engines ended one after the other, each as it began to run the same request, and
with each of them up to twenty requests of others. 21 ended where three should have been enough
to know better. How it came about: the caller repeats its request, each time under an id of its
own and at whichever router its new connection reaches; each attempt may go to two engines.
The cause: nothing outlived an attempt. A router forgot under which request an engine had ended
as soon as it had told the caller, and no other router ever heard of it. What proved it: in the
record each attempt ended the two engines it was sent to, 0.04 to 0.12 s after they had begun to
run it, at router after router; here the same happens with nothing else going on.
"""

from __future__ import annotations

import itertools
import time
from typing import Any

from fakes._local_fleet import Backend, fetch
from fakes._machines_engine import CRASH_AFTER_HEAD, CRASH_BEFORE_HEAD
from fakes._machines_fleet import HALLS, eventually
from fakes.tests.test_prepared_machines import WHOLE_STREAM, Answer, MachinesCase

#: Engines that one request may end before it is held back, the users' aim.
MAX_ENDED_ENGINES = 3
#: Attempts of its caller; each may be sent to two engines.
ATTEMPTS = 6
#: Seconds within which its caller hears that there will be no more tries.
REFUSAL_SECONDS = 0.5


class CrashingRequestTest(MachinesCase):
    """As many engines at each attempt: those that ended are back under new ids."""

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
        """Start an engine for each that ended; return how many did."""
        ended = [each for each in self.engines("lang") if self.has_ended(each)]
        for engine in ended:
            self.fleet.backends.remove(engine)
            self.fleet.remove_object("servers", engine.name)
            self.add_engine()
        return len(ended)

    def has_ended(self, engine: Backend) -> bool:
        return engine.process.poll() is not None

    def send_repeatedly(self, body: bytes) -> tuple[int, Answer, float]:
        """Send a request again and again, to each router in turn.

        Returns how many engines ended, the last answer and the seconds until it.
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
        with self.subTest("what its caller hears at last"):
            # That it ran is true, so no status that promises the contrary; and no other try.
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

    def recorded_requests(self, admin: str) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = fetch(f"http://{admin}/state.json")[
            "requests_that_end_engines"
        ]
        return found
