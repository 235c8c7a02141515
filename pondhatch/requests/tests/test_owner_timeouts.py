"""Guards against waiting too long for owners that are silent or slow.

The figures: routers of one region are 1.4 ms apart, so an owner's reply takes 3 to 6 ms. A plain
call is to be answered in 100 ms and a stream's first event in 300 to 600 ms, of which a request
may spend a fifth on waiting.
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
from pondhatch.requests.tests.test_grants import grant_request

#: Seconds until a reply between halls of a region, and until that of a router that runs five
#: times slower than its load requires.
USUAL_SECONDS = 0.004
SLOW_SECONDS = 0.25
#: Seconds that a plain call and a long stream may wait for an owner.
PLAIN_MAX_WAIT = 0.02
STREAM_MAX_WAIT = 0.12


def timeouts_after(seconds: float, replies: int = 20) -> OwnerTimeouts:
    """Return the timeouts after some replies of an owner that took ``seconds`` each."""
    timeouts = OwnerTimeouts()
    for _ in range(replies):
        timeouts.note_reply("r1", seconds, 0.0)
    return timeouts


class SilentOwnerTest(unittest.TestCase):
    """An owner is silent: it is dead, frozen, partitioned or starting."""

    def test_a_fast_owner_gets_the_shortest_wait_and_an_unknown_one_the_first_wait(
        self,
    ) -> None:
        known = sum(timeouts_after(USUAL_SECONDS).send_pauses("r1", INITIAL_WAIT, 0.0))
        unknown = sum(OwnerTimeouts().send_pauses("r1", INITIAL_WAIT, 0.0))
        self.assertAlmostEqual(known, MIN_WAIT)
        self.assertAlmostEqual(unknown, INITIAL_WAIT)

    def test_no_request_waits_beyond_its_bound_or_the_shortest_wait(self) -> None:
        rows = [
            (seconds, max_wait)
            for seconds in (0.001, 0.01, 0.03, 0.1)
            for max_wait in (0, PLAIN_MAX_WAIT, STREAM_MAX_WAIT, 5)
        ]
        for seconds, max_wait in rows:
            with self.subTest(seconds=seconds, max_wait=max_wait):
                most = max(MIN_WAIT, min(max_wait, INITIAL_WAIT))
                timeouts = timeouts_after(seconds, 2)
                self.assertLessEqual(sum(timeouts.send_pauses("r1", max_wait, 0.0)), most + 1e-9)
                self.assertLessEqual(
                    sum(OwnerTimeouts().send_pauses("r1", max_wait, 0.0)), most + 1e-9
                )

    def test_a_link_that_loses_one_packet_in_forty_does_not_silence_an_owner(self) -> None:
        """A request and its reply both arrive with probability 0.95; three fail once in 8,000."""
        self.assertEqual(
            len(timeouts_after(USUAL_SECONDS).send_pauses("r1", PLAIN_MAX_WAIT, 0.0)),
            len(WAIT_FRACTIONS),
        )
        self.assertLess((1 - 0.975**2) ** len(WAIT_FRACTIONS), 1 / 8000)

    def test_an_owner_with_varying_reply_times_gets_a_longer_wait(self) -> None:
        scattered = OwnerTimeouts()
        for index in range(20):
            scattered.note_reply("r1", 0.002 if index % 2 else 0.03, 0.0)
        wait = sum(scattered.send_pauses("r1", INITIAL_WAIT, 0.0))
        self.assertGreater(wait, 2 * MIN_WAIT)


class SlowOwnerTest(unittest.TestCase):
    """An owner runs five times slower and replies after entry routers have given up."""

    def record_late_reply(self, timeouts: OwnerTimeouts, at: float) -> None:
        timeouts.note_timeout(1, "r1", at)
        timeouts.note_late_reply(1, at + SLOW_SECONDS)

    def test_after_a_few_late_replies_nobody_waits_for_the_owner(self) -> None:
        timeouts = timeouts_after(USUAL_SECONDS)
        requests = 0
        while timeouts.send_pauses("r1", PLAIN_MAX_WAIT, 0.0) and requests < 100:
            self.record_late_reply(timeouts, 0.0)
            requests += 1
        self.assertLessEqual(requests, 2)
        for _ in range(4):
            self.record_late_reply(timeouts, 0.0)
        self.assertTrue(timeouts.is_too_slow("r1", SLOW_SECONDS))

    def test_reply_times_expire_so_that_a_slow_owner_is_tried_again(self) -> None:
        timeouts = timeouts_after(SLOW_SECONDS)
        self.assertEqual(timeouts.send_pauses("r1", PLAIN_MAX_WAIT, 0.0), ())
        self.assertTrue(timeouts.send_pauses("r1", PLAIN_MAX_WAIT, TIMES_VALID_SECONDS + 0.1))

    def test_a_fast_owner_is_asked_again_after_one_late_reply(self) -> None:
        """A pause of 60 ms, as for a configuration change, does not make an owner slow."""
        timeouts = timeouts_after(USUAL_SECONDS)
        timeouts.note_timeout(1, "r1", 0.0)
        self.assertEqual(timeouts.note_late_reply(1, 0.06), "r1")
        self.assertFalse(timeouts.is_too_slow("r1", 0.06))
        self.assertTrue(timeouts.send_pauses("r1", PLAIN_MAX_WAIT, 0.06))

    def test_unexpected_and_very_late_replies_are_ignored(self) -> None:
        timeouts = OwnerTimeouts()
        timeouts.note_timeout(1, "r1", 0.0)
        timeouts.drop_expired(TIMED_OUT_SECONDS + 0.1)
        self.assertIsNone(timeouts.note_late_reply(1, TIMED_OUT_SECONDS + 0.2))
        self.assertIsNone(timeouts.note_late_reply(2, 0.0))

    def test_an_owner_is_too_slow_above_a_mean_of_the_first_pause(self) -> None:
        self.assertTrue(send_pauses(ReplyTimes(TOO_SLOW_SECONDS, 0.0, 0.0), INITIAL_WAIT))
        self.assertEqual(send_pauses(ReplyTimes(INITIAL_WAIT + 0.01, 0.0, 0.0), INITIAL_WAIT), ())


class InsteadOfOwnerTest(unittest.TestCase):
    """An owner is silent for one entry router, while others still take it to be the owner."""

    def setUp(self) -> None:
        self.owner = winner("e0", ("r0", "r1", "r2")) or ""
        self.entry, self.other = (name for name in ("r0", "r1", "r2") if name != self.owner)

    def request(self, fleet: Fleet, instead: bool) -> GrantRequest:
        return grant_request(fleet, self.entry, instead_of_owner=instead)

    def test_the_next_router_counts_for_all_while_the_owner_is_silent(self) -> None:
        async def main() -> tuple[object, int, int]:
            fleet = Fleet([], [], False)
            entry = fleet.routers[self.entry].entry
            reply = await entry.ask(self.other, self.request(fleet, True), INITIAL_WAIT)
            count = fleet.routers[self.other].gate.by_engine["e0"].granted
            second = await entry.ask(self.other, self.request(fleet, True), INITIAL_WAIT)
            return reply, count, 0 if isinstance(second, Granted) else 1

        reply, counted, refused = run_virtually(main())
        self.assertIsInstance(reply, Granted)
        self.assertEqual((counted, refused), (1, 1))

    def test_a_late_grant_of_the_silent_owner_is_given_back(self) -> None:
        async def main() -> list[object]:
            fleet = Fleet([], [], False)
            entry: EntryGrants = fleet.routers[self.entry].entry
            fleet.network.silent.add(self.owner)
            request = self.request(fleet, True)
            reply = await entry.ask(self.owner, request, PLAIN_MAX_WAIT)
            self.assertIsInstance(reply, NotRun)
            fleet.network.silent.clear()
            reply = await entry.ask(self.other, request, INITIAL_WAIT)
            self.assertIsInstance(reply, Granted)
            returned: list[object] = []
            entry.receive(GrantedReply(request.number, 1, 1), returned.append)
            await asyncio.sleep(0)
            return returned

        self.assertEqual([type(each).__name__ for each in run_virtually(main())], ["Release"])

    def test_a_late_reply_makes_the_owner_usable_at_once(self) -> None:
        async def main() -> list[str]:
            fleet = Fleet([], [], False)
            replied: list[str] = []
            entry = fleet.routers[self.entry].entry
            entry.on_late_reply = replied.append
            fleet.network.silent.add(self.owner)
            request = self.request(fleet, False)
            await entry.ask(self.owner, request, PLAIN_MAX_WAIT)
            entry.receive(GrantedReply(request.number, 1, 1), lambda _: None)
            return replied

        self.assertEqual(run_virtually(main()), [self.owner])
