"""Guards against more refusals by a brittle engine than it states that it bears."""

from __future__ import annotations

import heapq
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondhatch.placement import BrittleAllowances, BrittleEngines
from pondhatch.placement._brittle import (
    CONFIRMED_SECONDS,
    NEW_OWNER_SECONDS,
    RAISE_SECONDS,
    REFUSAL_SECONDS,
    STATED_SECONDS,
)

#: Seconds in which an engine counts its refusals.
WINDOW = 1.0


class BrittleAllowancesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.allowances = BrittleAllowances()
        self.allowances.note_limit("e", 2, -NEW_OWNER_SECONDS)

    def grant(self, number: int, now: float, in_flight: int = 0) -> bool:
        self.allowances.note_limit("e", 2, now)
        may_grant = self.allowances.may_grant("e", in_flight, now)
        if may_grant:
            self.allowances.record_grant("e", number, now)
        return may_grant

    def test_no_more_requests_are_unconfirmed_than_may_be_refused(self) -> None:
        self.assertEqual([self.grant(each, 0.0) for each in range(4)], [True, True, False, False])
        self.allowances.record_end("e", 0)
        self.assertEqual([self.grant(each, 0.01) for each in (4, 5)], [True, False])
        self.assertTrue(self.grant(6, 0.011 + CONFIRMED_SECONDS))

    def test_refusals_count_for_a_second(self) -> None:
        self.assertTrue(self.grant(0, 0.0))
        self.allowances.record_refusal("e", 0, 5, 0.01)
        self.assertEqual([self.grant(each, 0.02) for each in (1, 2)], [True, False])
        self.assertEqual(self.allowances.seconds_to_next("e", 0.02), CONFIRMED_SECONDS)
        later = 0.02 + REFUSAL_SECONDS
        self.assertEqual([self.grant(each, later) for each in (3, 4, 5)], [True, True, False])

    def test_it_holds_no_more_than_it_had_room_for_until_that_is_tried_again(self) -> None:
        self.grant(0, 0.0, 3)
        self.allowances.record_refusal("e", 0, 3, 0.0)
        self.assertFalse(self.grant(1, REFUSAL_SECONDS, 3))
        self.assertTrue(self.grant(1, REFUSAL_SECONDS, 2))
        self.allowances.note_limit("e", 2, RAISE_SECONDS / 2)
        self.assertTrue(self.grant(2, RAISE_SECONDS, 3))
        self.assertFalse(self.grant(3, RAISE_SECONDS + 1, 4))

    def test_a_new_owner_grants_one_at_a_time_at_first(self) -> None:
        self.allowances.note_limit("f", 9, 0.0)
        self.assertTrue(self.allowances.may_grant("f", 0, 0.0))
        self.allowances.record_grant("f", 1, 0.0)
        self.assertFalse(self.allowances.may_grant("f", 1, 0.0))
        self.assertTrue(self.allowances.may_grant("f", 1, CONFIRMED_SECONDS))

    def test_an_engine_that_no_longer_states_a_limit_is_sound(self) -> None:
        self.assertTrue(self.allowances.is_brittle("e", 0.0))
        self.assertFalse(self.allowances.is_brittle("e", STATED_SECONDS))
        self.allowances.drop_sound(STATED_SECONDS)
        self.assertFalse(self.allowances.record_refusal("e", 0, 1, STATED_SECONDS))
        engines = BrittleEngines()
        engines.record_answer("e", 3)
        self.assertEqual(engines.limit("e"), 3)
        engines.record_answer("e", None)
        self.assertIsNone(engines.limit("e"))

    # Many senders compete for an engine that shrinks and grows without announcing it; refusals
    # reach the owner late, but before a grant counts as confirmed.
    @given(
        limit=st.integers(1, 6),
        rooms=st.lists(st.integers(0, 12), min_size=2, max_size=6),
        requests=st.integers(20, 400),
        seed=st.integers(0, 999),
    )
    def test_an_engine_never_refuses_more_than_it_bears(
        self, limit: int, rooms: list[int], requests: int, seed: int
    ) -> None:
        rng, allowances = random.Random(seed), BrittleAllowances()
        #: Events by time: arrivals at the owner, at the engine, ends, and refusals at the owner.
        events: list[tuple[float, int, str]] = [
            (rng.uniform(0.0, 6.0) // 0.1 * 0.1, number, "ask") for number in range(requests)
        ]
        heapq.heapify(events)
        in_flight = held = 0
        refused_at: list[float] = []
        while events:
            now, number, event = heapq.heappop(events)
            allowances.note_limit("e", limit, now)
            room = rooms[min(int(now), len(rooms) - 1)]
            if event == "ask" and allowances.may_grant("e", in_flight, now):
                allowances.record_grant("e", number, now)
                in_flight += 1
                heapq.heappush(events, (now + rng.uniform(0.0, 0.02), number, "arrive"))
            elif event == "arrive" and held < room:
                held += 1
                heapq.heappush(events, (now + rng.uniform(0.01, 0.3), number, "end"))
            elif event == "arrive":
                refused_at.append(now)
                heapq.heappush(events, (now + rng.uniform(0.0, 0.03), number, "refused"))
            elif event == "end":
                held -= 1
                in_flight -= 1
                allowances.record_end("e", number)
            elif event == "refused":
                allowances.record_refusal("e", number, in_flight - 1, now)
                in_flight -= 1
        for start in refused_at:
            self.assertLessEqual(sum(start <= at < start + WINDOW for at in refused_at), limit)
