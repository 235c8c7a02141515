"""A part of prompts that crashes every engine which begins an answer on it ends few engines.

Guards against evidence about whole requests alone: requests that share the part and nothing else
each crashed one or two engines, and none of them was ever seen often enough to be quarantined.
"""

from __future__ import annotations

import contextlib
import itertools
import threading
import time
import uuid
from collections.abc import Callable
from http.client import HTTPException

from fakes._local_fleet import fetch
from fakes._machines_engine import CRASH_PART
from fakes._machines_fleet import MachinesRouter, eventually
from fakes.tests.test_crashing_requests import CrashingCase
from fakes.tests.test_prepared_machines import WHOLE_STREAM, Answer

#: Engines that a part may end before it is quarantined, where its requests come one by one and
#: where six come at once.
MAX_ENDED_ENGINES, MAX_ENDED_BY_CLUMPS = 6, 8
#: Requests with the part.
BAD_REQUESTS = 12
CLUMP = 6
CLUMPS = 3
#: Engines that end for reasons of their own, each this many seconds after a clump is sent.
ENDS = 6
KILL_DELAY = 0.04
#: Seconds within which a request with a quarantined part is refused.
REFUSAL_SECONDS = 0.2
#: Part that all requests share, sound ones too.
TEMPLATE = "7e30"
NOT_WORTH_REPEATING = 400
OK = 200


class CrashingPartTest(CrashingCase):
    numbers = itertools.count(1)

    def setUp(self) -> None:
        #: A part of its own for each test: earlier ones are under quarantine.
        self.bad_part = f"{CRASH_PART}{next(self.numbers):04x}"

    def send_with(self, router: MachinesRouter, *parts: str) -> Answer:
        """Send a request that is like no other but for these parts of its prompt."""
        own = f"{next(self.numbers):x}"
        prefix = ",".join(f"{part}:100" for part in (*parts, f"a{own}"))
        body = b"request " + own.encode()
        return self.send_request(router, "/notes/a", body, Prefix_Hash=prefix)

    def send_bad(self, index: int) -> Answer:
        routers = self.fleet.machine_routers
        chat = f"c{next(self.numbers):x}"
        return self.send_with(routers[index % len(routers)], TEMPLATE, self.bad_part, chat)

    def send_sound(self, index: int) -> Answer:
        routers = self.fleet.machine_routers
        return self.send_with(routers[index % len(routers)], TEMPLATE, f"d{index % 3}")

    def send_at_once(self, send: Callable[[int], Answer]) -> list[Answer]:
        """Send a clump of requests; return the answers that came whole."""
        answers: list[Answer] = []

        def run(index: int) -> None:
            with contextlib.suppress(ConnectionError, HTTPException):
                answers.append(send(index))

        threads = [threading.Thread(target=run, args=(index,)) for index in range(CLUMP)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def assert_all_are_served(self, answers: list[Answer]) -> None:
        self.assertEqual([answer.status for answer in answers], [OK] * len(answers))
        self.assertEqual({answer.body for answer in answers}, {WHOLE_STREAM})

    def quarantined_digests(self) -> set[str]:
        """Return what any router holds quarantined, requests and parts of prompts."""
        dumps = [
            fetch(f"http://{router.admin_address}/state.json")
            for router in self.fleet.machine_routers
        ]
        return {
            each["digest"]
            for dump in dumps
            for key in ("requests_that_end_engines", "prompt_parts_that_end_engines")
            for each in dump.get(key, ())
            if each["quarantined"]
        }

    def test_requests_that_share_one_bad_part_end_few_engines(self) -> None:
        ended, sound = 0, []
        for index in range(BAD_REQUESTS):
            started = time.monotonic()
            answer = self.send_bad(index)
            seconds = time.monotonic() - started
            ended += self.replace_ended()
            sound.append(self.send_sound(index))
        with self.subTest("engines that ended"):
            self.assertLessEqual(ended, MAX_ENDED_ENGINES)
        with self.subTest("last answer to its caller"):
            self.assertEqual(answer.status, NOT_WORTH_REPEATING)
            self.assertLess(seconds, REFUSAL_SECONDS)
        with self.subTest("requests that share the other parts"):
            self.assert_all_are_served(sound[-CLUMP:])

    def test_clumps_of_requests_that_share_one_bad_part_end_few_engines(self) -> None:
        ended = 0
        for _ in range(CLUMPS):
            self.send_at_once(self.send_bad)
            ended += self.replace_ended()
        self.assertLessEqual(ended, MAX_ENDED_BY_CLUMPS)
        self.assert_all_are_served([self.send_sound(index) for index in range(CLUMP)])

    def test_engines_that_end_for_reasons_of_their_own_bring_no_part_under_quarantine(
        self,
    ) -> None:
        quarantined_before = self.quarantined_digests()
        for index in range(ENDS):
            killer = threading.Timer(KILL_DELAY, self.engines("lang")[index % 2].process.kill)
            killer.start()
            answers = self.send_at_once(self.send_sound)
            killer.join()
            self.replace_ended()
            self.assertNotIn(NOT_WORTH_REPEATING, [answer.status for answer in answers])
        self.assertEqual(self.quarantined_digests() - quarantined_before, set())

    def test_another_account_that_names_the_same_part_is_served(self) -> None:
        """Guards against one account bringing the part of another under quarantine."""
        for index in range(BAD_REQUESTS // 2):
            self.send_bad(index)
            self.replace_ended()
        router = self.fleet.machine_routers[0]
        # The stand-in crashes by the part's exact spelling, which here is another one.
        answer = self.send_request(
            router,
            "/notes/a",
            b"of another account",
            Authorization="Bearer key-3",
            Prefix_Hash=f"{TEMPLATE}:100,{self.bad_part.upper()}:100,{uuid.uuid4().hex[:8]}:10",
        )
        self.assertEqual((answer.status, answer.body), (OK, WHOLE_STREAM))
        eventually(lambda: self.send_sound(0).status == OK, 5)
