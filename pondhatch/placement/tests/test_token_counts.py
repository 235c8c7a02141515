"""Guards the count of engines' memory: a wrong one blocks an engine or exhausts its memory."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pondhatch.placement import Reservation, TokenCounts, TokenNeed
from pondhatch.placement._token_counts import (
    CACHED_SECONDS,
    LONG_PROMPT_TOKENS,
    PREFILL_TOKENS_PER_SECOND,
    UNSHARED_PART,
)

LIMIT = 100
#: A long prompt, and the memory of an engine with room for many of them.
LONG = TokenNeed(0, ((UNSHARED_PART, LONG_PROMPT_TOKENS + 1),))
LARGE_LIMIT = 100 * LONG_PROMPT_TOKENS
NEEDS = st.builds(
    TokenNeed,
    st.integers(0, 60),
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 60)), max_size=3).map(tuple),
)


class TokenCountsTest(unittest.TestCase):
    def test_a_request_fits_up_to_the_limit(self) -> None:
        shared = TokenNeed(10, ((7, 50),))
        rows: tuple[tuple[str, tuple[TokenNeed, ...], TokenNeed, bool], ...] = (
            ("up to the limit", (TokenNeed(60),), TokenNeed(40), True),
            ("not beyond it", (TokenNeed(60),), TokenNeed(41), False),
            ("a shared part counts once", (shared, shared), TokenNeed(30, ((7, 50),)), True),
            ("another part does not", (shared,), TokenNeed(0, ((8, 50),)), False),
            (
                "own parts are not shared",
                (TokenNeed(0, ((0, 60),)),),
                TokenNeed(0, ((0, 41),)),
                False,
            ),
            ("beside one that is too large", (TokenNeed(200),), TokenNeed(), False),
        )
        for name, running, need, expected in rows:
            with self.subTest(name):
                counts = TokenCounts()
                for number, each in enumerate(running):
                    counts.add("e", number, each, 0.0)
                self.assertEqual(counts.shortage("e", "new", need, LIMIT, 0.0) == 0, expected)

    def test_a_third_long_prompt_waits_until_one_is_prefilled(self) -> None:
        counts = TokenCounts()
        for number in range(2):
            counts.add("e", number, LONG, 0.0)
        self.assertEqual(counts.shortage("e", 2, LONG, LARGE_LIMIT, 0.0), 1)
        self.assertEqual(counts.shortage("e", 2, TokenNeed(10), LARGE_LIMIT, 0.0), 0)
        prefilled_at = (LONG_PROMPT_TOKENS + 1) / PREFILL_TOKENS_PER_SECOND
        self.assertEqual(counts.shortage("e", 2, LONG, LARGE_LIMIT, prefilled_at), 0)

    def test_a_cached_long_prompt_does_not_wait(self) -> None:
        counts = TokenCounts()
        cached = TokenNeed(0, ((7, LONG_PROMPT_TOKENS + 1),))
        counts.add("e", "before", cached, 0.0)
        counts.remove("e", "before")
        for number in range(2):
            counts.add("e", number, LONG, CACHED_SECONDS)
        self.assertEqual(counts.shortage("e", "again", cached, LARGE_LIMIT, CACHED_SECONDS), 0)
        expired_at = CACHED_SECONDS + 0.01
        self.assertEqual(counts.shortage("e", "again", cached, LARGE_LIMIT, expired_at), 1)

    def test_free_memory_that_is_reserved_is_not_granted_to_others(self) -> None:
        counts = TokenCounts()
        counts.add("e", "running", TokenNeed(30), 0.0)
        counts.reserve("e", Reservation("long", TokenNeed(40), 5))
        self.assertEqual(counts.shortage("e", "small", TokenNeed(30), LIMIT, 0.0, 5), 0)
        counts.add("e", "running", TokenNeed(50), 0.0)
        self.assertGreater(counts.shortage("e", "small", TokenNeed(11), LIMIT, 0.0, 5), 0)

    def test_a_reservation_limits_requests_that_are_no_more_urgent(self) -> None:
        counts = TokenCounts()
        counts.add("e", "running", TokenNeed(50), 0.0)
        counts.reserve("e", Reservation("large", TokenNeed(60), 5))
        counts.reserve("e", Reservation("later", TokenNeed(70), 5))
        # After the reservation others may use half of the rest of the memory: 20.
        for request, tokens, priority, expected in (
            ("small", 15, 5, True),
            ("medium", 25, 5, False),
            ("urgent", 25, 4, True),
        ):
            short = counts.shortage("e", request, TokenNeed(tokens), LIMIT, 0.0, priority)
            self.assertEqual(short == 0, expected, request)
        counts.add("e", "small", TokenNeed(15), 0.0)
        self.assertGreater(counts.shortage("e", "second", TokenNeed(15), LIMIT, 0.0, 5), 0)
        counts.remove("e", "small")
        counts.remove("e", "running")
        self.assertEqual(counts.shortage("e", "large", TokenNeed(60), LIMIT, 0.0, 5), 0)
        self.assertTrue(counts.remove("e", "large"))
        self.assertFalse(counts.by_engine)

    def test_an_adopted_request_counts_as_the_mean_of_the_known(self) -> None:
        counts = TokenCounts()
        counts.adopt("e", "first")
        self.assertEqual(counts.used("e"), 0)
        counts.add("other", 1, TokenNeed(20), 0.0)
        counts.add("other", 2, TokenNeed(40), 0.0)
        counts.adopt("e", "second")
        self.assertEqual(counts.used("e"), 30)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 8), st.booleans(), NEEDS), max_size=60))
    def test_the_limit_holds_and_all_tokens_are_released(
        self, steps: list[tuple[int, bool, TokenNeed]]
    ) -> None:
        counts, running = TokenCounts(), set[int]()
        for request, ends, need in steps:
            if ends or request in running:
                self.assertEqual(counts.remove("e", request), request in running)
                running.discard(request)
            elif not running or counts.shortage("e", request, need, LIMIT, 0.0) == 0:
                counts.add("e", request, need, 0.0)
                running.add(request)
            if len(running) > 1:
                self.assertLessEqual(counts.used("e"), LIMIT)
        for request in running:
            counts.remove("e", request)
        self.assertEqual((counts.used("e"), counts.by_engine), (0, {}))
