"""How long owners are waited for, in the patterns in which they fall silent or slow.

Grounds of the figures: routers of one region are 1.4 ms apart, so that an owner's word
takes 3 to 6 ms; a plain call is to be answered in 100 ms and a stream's first event in 300
to 600 ms, of which a request may spend a fifth on waiting.
"""

from __future__ import annotations

import asyncio
import unittest

from fakes._virtual_loop import run_virtually
from pondhatch.placement import Granted, winner
from pondhatch.requests import EntryGrants, GrantRequest, NotRun
from pondhatch.requests._grant_packets import GrantedReply
from pondhatch.requests._owner_timeouts import (
    INITIAL_WAIT,
    MIN_WAIT,
    TIMED_OUT_SECONDS,
    TIMES_VALID_SECONDS,
    TOO_SLOW_SECONDS,
    WAIT_FRACTIONS,
    OwnerTimeouts,
    ReplyTimes,
    send_pauses,
)
from pondhatch.requests.tests._history import Fleet
from pondhatch.requests.tests.test_grants import question

#: Seconds that a word takes between halls of a region, and to a router five times slower
#: than it is loaded.
USUAL = 0.004
SLOW = 0.25
#: What a plain call can bear, and what a long stream can.
PLAIN = 0.02
STREAM = 0.12


def times_of(seconds: float, words: int = 20) -> OwnerTimeouts:
    """Return what is known after some words of an owner that each took as long."""
    waits = OwnerTimeouts()
    for _ in range(words):
        waits.note_reply("r1", seconds, 0.0)
    return waits


class WaitTest(unittest.TestCase):
    """The pattern: an owner falls silent (it is dead, frozen, cut off or starting)."""

    def test_an_owner_that_answers_fast_is_waited_for_a_tenth_as_long_as_an_unknown_one(
        self,
    ) -> None:
        known = sum(times_of(USUAL).send_pauses("r1", INITIAL_WAIT, 0.0))
        unknown = sum(OwnerTimeouts().send_pauses("r1", INITIAL_WAIT, 0.0))
        self.assertAlmostEqual(known, MIN_WAIT)
        self.assertAlmostEqual(unknown, INITIAL_WAIT)

    def test_no_request_waits_longer_than_it_can_bear_or_the_least_there_is(self) -> None:
        rows = [
            (seconds, bearable)
            for seconds in (0.001, 0.01, 0.03, 0.1)
            for bearable in (0, PLAIN, STREAM, 5)
        ]
        for seconds, bearable in rows:
            with self.subTest(seconds=seconds, bearable=bearable):
                most = max(MIN_WAIT, min(bearable, INITIAL_WAIT))
                waits = times_of(seconds, 2)
                self.assertLessEqual(sum(waits.send_pauses("r1", bearable, 0.0)), most + 1e-9)
                self.assertLessEqual(
                    sum(OwnerTimeouts().send_pauses("r1", bearable, 0.0)), most + 1e-9
                )

    def test_a_link_that_loses_one_packet_in_forty_makes_no_owner_silent(self) -> None:
        """A question and its word come through with 0.95; three sends fail once in 8,000."""
        self.assertEqual(len(times_of(USUAL).send_pauses("r1", PLAIN, 0.0)), len(WAIT_FRACTIONS))
        self.assertLess((1 - 0.975**2) ** len(WAIT_FRACTIONS), 1 / 8000)

    def test_an_owner_whose_answers_scatter_is_waited_for_longer(self) -> None:
        scattered = OwnerTimeouts()
        for at in range(20):
            scattered.note_reply("r1", 0.002 if at % 2 else 0.03, 0.0)
        wait = sum(scattered.send_pauses("r1", INITIAL_WAIT, 0.0))
        self.assertGreater(wait, 2 * MIN_WAIT)


class SlowOwnerTest(unittest.TestCase):
    """The pattern: an owner runs five times slower, and answers after its askers gave up."""

    def asked_in_vain(self, waits: OwnerTimeouts, at: float) -> None:
        waits.note_timeout(1, "r1", at)
        waits.note_late_reply(1, at + SLOW)

    def test_after_some_late_words_nobody_waits_for_it(self) -> None:
        waits = times_of(USUAL)
        asked = 0
        while waits.send_pauses("r1", PLAIN, 0.0) and asked < 100:
            self.asked_in_vain(waits, 0.0)
            asked += 1
        self.assertLessEqual(asked, 2)
        for _ in range(4):
            self.asked_in_vain(waits, 0.0)
        self.assertTrue(waits.is_too_slow("r1", SLOW))

    def test_what_was_known_of_it_is_forgotten_so_that_it_is_tried_again(self) -> None:
        waits = times_of(SLOW)
        self.assertEqual(waits.send_pauses("r1", PLAIN, 0.0), ())
        self.assertTrue(waits.send_pauses("r1", PLAIN, TIMES_VALID_SECONDS + 0.1))

    def test_one_late_word_of_a_fast_owner_has_it_asked_again(self) -> None:
        """A pause of 60 ms, such as a change of the configuration, is no slowness."""
        waits = times_of(USUAL)
        waits.note_timeout(1, "r1", 0.0)
        self.assertEqual(waits.note_late_reply(1, 0.06), "r1")
        self.assertFalse(waits.is_too_slow("r1", 0.06))
        self.assertTrue(waits.send_pauses("r1", PLAIN, 0.06))

    def test_a_word_that_nobody_waited_for_or_that_comes_much_later_tells_nothing(self) -> None:
        waits = OwnerTimeouts()
        waits.note_timeout(1, "r1", 0.0)
        waits.drop_expired(TIMED_OUT_SECONDS + 0.1)
        self.assertIsNone(waits.note_late_reply(1, TIMED_OUT_SECONDS + 0.2))
        self.assertIsNone(waits.note_late_reply(2, 0.0))

    def test_too_slow_is_a_mean_above_the_first_pause_for_an_unknown_owner(self) -> None:
        self.assertTrue(send_pauses(ReplyTimes(TOO_SLOW_SECONDS, 0.0, 0.0), INITIAL_WAIT))
        self.assertEqual(send_pauses(ReplyTimes(INITIAL_WAIT + 0.01, 0.0, 0.0), INITIAL_WAIT), ())


class InsteadOfOwnerTest(unittest.TestCase):
    """The pattern: an owner is silent for one entry router, and others still believe in it."""

    def setUp(self) -> None:
        self.owner = winner("e0", ("r0", "r1", "r2")) or ""
        self.entry, self.other = (name for name in ("r0", "r1", "r2") if name != self.owner)

    def asked(self, fleet: Fleet, instead: bool) -> GrantRequest:
        return question(fleet, self.entry, instead_of_owner=instead)

    def test_the_next_router_counts_for_all_while_the_owner_gives_no_word(self) -> None:
        async def main() -> tuple[object, int, int]:
            fleet = Fleet([], [], False)
            entry = fleet.routers[self.entry].entry
            reply = await entry.ask(self.other, self.asked(fleet, True), INITIAL_WAIT)
            count = fleet.routers[self.other].gate.by_engine["e0"].granted
            second = await entry.ask(self.other, self.asked(fleet, True), INITIAL_WAIT)
            return reply, count, 0 if isinstance(second, Granted) else 1

        reply, counted, refused = run_virtually(main())
        self.assertIsInstance(reply, Granted)
        self.assertEqual((counted, refused), (1, 1))

    def test_a_grant_of_the_silent_owner_that_comes_after_another_s_is_given_back(self) -> None:
        async def main() -> list[object]:
            fleet = Fleet([], [], False)
            entry: EntryGrants = fleet.routers[self.entry].entry
            fleet.network.silent.add(self.owner)
            asked = self.asked(fleet, True)
            reply = await entry.ask(self.owner, asked, PLAIN)
            self.assertIsInstance(reply, NotRun)
            fleet.network.silent.clear()
            reply = await entry.ask(self.other, asked, INITIAL_WAIT)
            self.assertIsInstance(reply, Granted)
            back: list[object] = []
            entry.receive(GrantedReply(asked.number, 1, 1), back.append)
            await asyncio.sleep(0)
            return back

        self.assertEqual([type(each).__name__ for each in run_virtually(main())], ["Release"])

    def test_an_owner_that_is_heard_late_is_used_again_at_once(self) -> None:
        async def main() -> list[str]:
            fleet = Fleet([], [], False)
            heard: list[str] = []
            entry = fleet.routers[self.entry].entry
            entry.on_late_reply = heard.append
            fleet.network.silent.add(self.owner)
            asked = self.asked(fleet, False)
            await entry.ask(self.owner, asked, PLAIN)
            entry.receive(GrantedReply(asked.number, 1, 1), lambda _: None)
            return heard

        self.assertEqual(run_virtually(main()), [self.owner])
