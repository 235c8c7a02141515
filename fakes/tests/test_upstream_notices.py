"""What engines say of themselves in their answers binds who hears it, over sockets.

The platform's list says "ready" all the while: it is behind, or cannot be written.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from fakes._machines_fleet import eventually
from fakes.tests import _fleet_case as chats
from fakes.tests import test_intake as intake

#: More answers than a test asks for.
UNLIMITED = 100_000
#: Seconds for which an engine may still get what came before its word was known.
PROPAGATION_SECONDS = 0.5
#: Seconds of rest that an engine asks for.
REST_SECONDS = 3.0
#: Seconds of a rest that outlasts a test.
LONG_REST_SECONDS = 60.0
#: Seconds within which an engine's report that it stays is believed and known to its owner.
REPORT_SECONDS = 20.0
#: Seconds within which the end of a rest is told exactly enough to come back by.
RETRY_AFTER_TOLERANCE = 0.3


class NoticeCase(intake.IntakeCase):
    def tearDown(self) -> None:
        for engine in self.fleet.backends:
            engine.arm("leaving", 0)
            engine.arm("shed", 0)

    def send_until_received(self, engine: str) -> None:
        """Ask every router until an engine got something."""
        before = self.received_count(engine)
        eventually(
            lambda: bool(self.send_to_all("/notes/a", 2)) and self.received_count(engine) > before
        )


class LeavingTest(NoticeCase):
    # Requests reached an engine for seconds after its answers had said that it leaves.
    def test_an_engine_that_announces_leaving_gets_no_more_from_any_router(self) -> None:
        self.engine("i-lang-0").arm("leaving", UNLIMITED)
        self.send_until_received("i-lang-0")
        time.sleep(PROPAGATION_SECONDS)
        before = self.received_count("i-lang-0")
        statuses = {answer.status for answer in self.send_to_all("/notes/a")}
        self.assertEqual((self.received_count("i-lang-0"), statuses), (before, {200}))


class RestingTest(NoticeCase):
    # Requests reached an engine within the rest that it had asked for, the same one twice at once.
    def test_an_engine_that_asks_for_rest_gets_no_requests_until_it_is_over(self) -> None:
        self.engine("i-lang-0").arm("shed", UNLIMITED, REST_SECONDS)
        self.send_until_received("i-lang-0")
        started = time.monotonic()
        time.sleep(PROPAGATION_SECONDS)
        before = self.received_count("i-lang-0")
        while time.monotonic() < started + REST_SECONDS - 2 * PROPAGATION_SECONDS:
            self.assertEqual({answer.status for answer in self.send_to_all("/notes/a", 2)}, {200})
        self.assertEqual(self.received_count("i-lang-0"), before)
        self.engine("i-lang-0").arm("shed", 0)
        self.send_until_received("i-lang-0")

    def test_with_all_engines_resting_callers_get_retry_after_at_once(self) -> None:
        for name in ("i-lang-0", "i-lang-1"):
            self.engine(name).arm("shed", UNLIMITED, REST_SECONDS)
        with ThreadPoolExecutor(8) as pool:
            list(
                pool.map(
                    lambda at: self.send_request(at, "/notes/a", b"x"),
                    self.fleet.machine_routers * 8,
                )
            )
        started = time.monotonic()
        time.sleep(PROPAGATION_SECONDS)
        before = self.received_count("i-lang-0"), self.received_count("i-lang-1")
        for router in self.fleet.machine_routers:
            sent_at = time.monotonic()
            answer = self.send_request(router, "/notes/a", b"x")
            self.assertLess(time.monotonic() - sent_at, intake.REFUSAL_SECONDS)
            self.assertEqual(answer.status, 503)
            retry_at = sent_at + float(answer.headers["Retry-After"])
            self.assertAlmostEqual(retry_at, started + REST_SECONDS, delta=RETRY_AFTER_TOLERANCE)
        self.assertEqual((self.received_count("i-lang-0"), self.received_count("i-lang-1")), before)


class ChatTest(chats.FleetCase):
    """The same in the product's own words, at engines that serve the OpenAI API."""

    def tearDown(self) -> None:
        self.disarm()

    def run_count(self, engine: int) -> int:
        return len(self.runs(self.engines[engine]))

    def is_used(self, engine: int) -> bool:
        """Return whether one of some chats runs at an engine."""
        before = self.run_count(engine)
        for at in range(8):
            self.stream(f"chat {at} of {before}", router=at % 2)
        return self.run_count(engine) > before

    def test_an_engine_that_announces_leaving_or_rest_gets_no_chat(self) -> None:
        for fault, seconds in (("says-leaving", 0.0), ("shed", LONG_REST_SECONDS)):
            with self.subTest(fault):
                # Once it reports again that it stays, it is used again.
                self.eventually(lambda: self.is_used(0), REPORT_SECONDS)
                self.engines[0].arm(fault, UNLIMITED, seconds)
                for at in range(8):
                    self.stream(f"{fault} {at}", router=at % 2)
                # From here on it would serve what came.
                self.engines[0].arm(fault, 0)
                time.sleep(PROPAGATION_SECONDS)
                before = self.run_count(0)
                texts = [self.stream(f"after {fault} {at}", router=at % 2) for at in range(8)]
                self.assertTrue(all(self.is_whole_answer(text) for text in texts), texts)
                self.assertEqual(self.run_count(0), before)
