"""What engines say of themselves in their answers binds who hears it, over sockets.

The platform's list says "ready" all the while: it is behind, or cannot be written.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from fakes._machines_fleet import eventually
from fakes.tests import test_intake as intake

#: More answers than a test asks for.
ALWAYS = 100_000
#: Seconds for which an engine may still get what came before its word was known.
KNOWN_IN = 0.5
#: Seconds of rest that an engine asks for.
REST = 3.0
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
