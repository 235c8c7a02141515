"""Routers obey the notices that engines send in their answers, over sockets.

The platform lists the engines as ready throughout: its list is behind, or cannot be written.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from fakes._machines_fleet import eventually
from fakes.tests import _fleet_case as chats
from fakes.tests import test_intake as intake

#: Occurrences of a fault: more than a test has requests.
UNLIMITED = 100_000
#: Seconds for which an engine may still get requests until routers know its notice.
PROPAGATION_SECONDS = 0.5
#: Seconds of rest that an engine asks for.
REST_SECONDS = 3.0
#: Seconds of a rest that lasts longer than the test.
LONG_REST_SECONDS = 60.0
#: Seconds within which an engine's owner knows and accepts its report that it stays.
REPORT_SECONDS = 20.0
#: Seconds by which Retry-After may miss the end of a rest.
RETRY_AFTER_TOLERANCE = 0.3


class NoticeCase(intake.IntakeCase):
    def tearDown(self) -> None:
        for engine in self.fleet.backends:
            engine.arm("leaving", 0)
            engine.arm("shed", 0)

    def send_until_received(self, engine: str) -> None:
        """Send requests to every router until an engine has received one."""
        before = self.received_count(engine)
        eventually(
            lambda: bool(self.send_to_all("/notes/a", 2)) and self.received_count(engine) > before
        )


class LeavingTest(NoticeCase):
    # Guards against requests that reach an engine for seconds after it announced leaving.
    def test_an_engine_that_announces_leaving_gets_no_more_from_any_router(self) -> None:
        self.engine("i-lang-0").arm("leaving", UNLIMITED)
        self.send_until_received("i-lang-0")
        time.sleep(PROPAGATION_SECONDS)
        before = self.received_count("i-lang-0")
        statuses = {answer.status for answer in self.send_to_all("/notes/a")}
        self.assertEqual((self.received_count("i-lang-0"), statuses), (before, {200}))


class RestingTest(NoticeCase):
    # Guards against requests that reach an engine during the rest that it asked for; the same
    # request even came twice at the same time.
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
                    lambda router: self.send_request(router, "/notes/a", b"x"),
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
    """The same with the project's own headers, at engines that serve the OpenAI API."""

    def tearDown(self) -> None:
        self.disarm()

    def run_count(self, engine: int) -> int:
        return len(self.runs(self.engines[engine]))

    def is_used(self, engine: int) -> bool:
        """Return whether an engine runs one of eight chats."""
        before = self.run_count(engine)
        for index in range(8):
            self.stream(f"chat {index} of {before}", router=index % 2)
        return self.run_count(engine) > before

    def test_an_engine_that_announces_leaving_or_rest_gets_no_chat(self) -> None:
        for fault, seconds in (("says-leaving", 0.0), ("shed", LONG_REST_SECONDS)):
            with self.subTest(fault):
                # It is used again once it reports that it stays.
                self.eventually(lambda: self.is_used(0), REPORT_SECONDS)
                self.engines[0].arm(fault, UNLIMITED, seconds)
                for index in range(8):
                    self.stream(f"{fault} {index}", router=index % 2)
                # From now on the engine itself would accept requests.
                self.engines[0].arm(fault, 0)
                time.sleep(PROPAGATION_SECONDS)
                before = self.run_count(0)
                texts = [
                    self.stream(f"after {fault} {index}", router=index % 2) for index in range(8)
                ]
                self.assertTrue(all(self.is_whole_answer(text) for text in texts), texts)
                self.assertEqual(self.run_count(0), before)
