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
ALWAYS = 100_000
#: Seconds for which an engine may still get what came before its word was known.
KNOWN_IN = 0.5
#: Seconds of rest that an engine asks for.
REST = 3.0
#: Seconds of a rest that outlasts a test.
LONG_REST = 60.0
#: Seconds within which an engine's report that it stays is believed and known to its owner.
REPORTED_IN = 20.0
#: Seconds within which the end of a rest is told exactly enough to come back by.
CLOSE = 0.3


class NoticeCase(intake.IntakeCase):
    def tearDown(self) -> None:
        for engine in self.fleet.backends:
            engine.arm("leaving", 0)
            engine.arm("shed", 0)

    def ask_until_asked(self, engine: str) -> None:
        """Ask every router until an engine got something."""
        before = self.asked(engine)
        eventually(lambda: bool(self.ask_all("/notes/a", 2)) and self.asked(engine) > before)


class LeavingTest(NoticeCase):
    # Requests reached an engine for seconds after its answers had said that it leaves.
    def test_an_engine_that_says_that_it_leaves_gets_nothing_more_from_any_router(self) -> None:
        self.engine("i-lang-0").arm("leaving", ALWAYS)
        self.ask_until_asked("i-lang-0")
        time.sleep(KNOWN_IN)
        before = self.asked("i-lang-0")
        statuses = {answer.status for answer in self.ask_all("/notes/a")}
        self.assertEqual((self.asked("i-lang-0"), statuses), (before, {200}))


class RestingTest(NoticeCase):
    # Requests reached an engine within the rest that it had asked for, the same one twice at once.
    def test_an_engine_that_asks_for_rest_gets_none_until_it_is_over(self) -> None:
        self.engine("i-lang-0").arm("shed", ALWAYS, REST)
        self.ask_until_asked("i-lang-0")
        began = time.monotonic()
        time.sleep(KNOWN_IN)
        before = self.asked("i-lang-0")
        while time.monotonic() < began + REST - 2 * KNOWN_IN:
            self.assertEqual({answer.status for answer in self.ask_all("/notes/a", 2)}, {200})
        self.assertEqual(self.asked("i-lang-0"), before)
        self.engine("i-lang-0").arm("shed", 0)
        self.ask_until_asked("i-lang-0")

    def test_where_all_rest_callers_are_told_at_once_when_to_come_back(self) -> None:
        for name in ("i-lang-0", "i-lang-1"):
            self.engine(name).arm("shed", ALWAYS, REST)
        with ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda at: self.ask(at, "/notes/a", b"x"), self.fleet.machines * 8))
        began = time.monotonic()
        time.sleep(KNOWN_IN)
        before = self.asked("i-lang-0"), self.asked("i-lang-1")
        for router in self.fleet.machines:
            asked_at = time.monotonic()
            answer = self.ask(router, "/notes/a", b"x")
            self.assertLess(time.monotonic() - asked_at, intake.AT_ONCE)
            self.assertEqual(answer.status, 503)
            told = asked_at + float(answer.headers["Retry-After"])
            self.assertAlmostEqual(told, began + REST, delta=CLOSE)
        self.assertEqual((self.asked("i-lang-0"), self.asked("i-lang-1")), before)


class ChatTest(chats.FleetCase):
    """The same in the product's own words, at engines that serve the OpenAI API."""

    def tearDown(self) -> None:
        self.disarm()

    def ran(self, engine: int) -> int:
        return len(self.runs(self.engines[engine]))

    def is_used(self, engine: int) -> bool:
        """Return whether one of some chats runs at an engine."""
        before = self.ran(engine)
        for at in range(8):
            self.stream(f"chat {at} of {before}", router=at % 2)
        return self.ran(engine) > before

    def test_an_engine_that_says_that_it_leaves_or_wants_a_rest_gets_no_chat(self) -> None:
        for fault, seconds in (("says-leaving", 0.0), ("shed", LONG_REST)):
            with self.subTest(fault):
                # Once it reports again that it stays, it is used again.
                self.eventually(lambda: self.is_used(0), REPORTED_IN)
                self.engines[0].arm(fault, ALWAYS, seconds)
                for at in range(8):
                    self.stream(f"{fault} {at}", router=at % 2)
                # From here on it would serve what came.
                self.engines[0].arm(fault, 0)
                time.sleep(KNOWN_IN)
                before = self.ran(0)
                texts = [self.stream(f"after {fault} {at}", router=at % 2) for at in range(8)]
                self.assertTrue(all(self.whole(text) for text in texts), texts)
                self.assertEqual(self.ran(0), before)
