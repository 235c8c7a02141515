"""Guards against grants above an engine's ceiling and against miscounted requests in flight."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pondhatch.placement import Full, Gate, Granted, admission_ceiling
from pondhatch.placement._gate import FULL_LIFETIME


class CeilingTest(unittest.TestCase):
    def test_ceiling(self) -> None:
        cases = [
            # bound, total, engines, ceiling
            (1.25, 0, 10, 1),
            (1.25, 7, 10, 1),
            (1.25, 8, 10, 2),
            (1.25, 699, 10, 88),
            (1.5, 20, 10, 4),
            (1.25, 5, 0, 0),
        ]
        for bound, total, engines, ceiling in cases:
            with self.subTest(total=total, engines=engines):
                self.assertEqual(admission_ceiling(bound, total, engines), ceiling)

    @given(
        st.lists(st.integers(0, 50), min_size=1, max_size=20),
        st.floats(1.01, 3.0, allow_nan=False),
    )
    def test_the_least_loaded_engine_always_has_room(self, loads: list[int], bound: float) -> None:
        ceiling = admission_ceiling(bound, sum(loads), len(loads))
        self.assertLess(min(loads), ceiling)


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.gate = Gate()

    def try_grant(self, engine: str = "e", now: float = 0.0, elsewhere: int = 0) -> Granted | Full:
        return self.gate.try_grant(engine, now, 1.25, elsewhere, 4)

    def test_grants_up_to_the_ceiling_and_again_after_a_release(self) -> None:
        self.assertEqual(self.try_grant(elsewhere=6), Granted(1, 3))
        self.assertEqual(self.try_grant(elsewhere=6), Granted(2, 3))
        self.assertEqual(self.try_grant(elsewhere=6), Granted(3, 3))
        self.assertEqual(self.try_grant(elsewhere=6), Granted(4, 4))
        self.assertEqual(self.try_grant(elsewhere=6), Full(4, 4))
        self.gate.release("e")
        self.assertEqual(self.try_grant(elsewhere=6), Granted(4, 4))

    def test_the_slots_of_an_engine_bound_its_ceiling(self) -> None:
        for _ in range(2):
            self.assertIsInstance(self.gate.try_grant("e", 0.0, 1.25, 1000, 4, slots=2), Granted)
        self.assertEqual(self.gate.try_grant("e", 0.0, 1.25, 1000, 4, slots=2), Full(2, 2))

    def test_reported_work_of_another_owner_counts_until_the_report_expires(self) -> None:
        self.gate.record_report("e", 0.0, 3)
        self.assertEqual(self.gate.in_flight("e", 1.0), 3)
        self.assertIsInstance(self.try_grant(now=1.0), Full)
        self.assertEqual(self.gate.in_flight("e", 6.0), 0)

    def test_a_late_report_of_our_own_ended_work_is_not_counted_twice(self) -> None:
        for _ in range(3):
            self.try_grant(elsewhere=100)
        self.gate.record_report("e", 0.0, 0)
        for _ in range(3):
            self.gate.release("e")
        self.gate.record_report("e", 1.0, 3)
        self.assertEqual(self.gate.in_flight("e", 1.0), 0)

    def test_a_release_without_a_grant_is_an_error(self) -> None:
        self.try_grant()
        self.gate.release("e")
        with self.assertRaises(ValueError):
            self.gate.release("e")

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=80))
    def test_no_new_work_ever_goes_above_the_ceiling(self, steps: list[tuple[int, bool]]) -> None:
        gate = Gate()
        held = [0] * 5
        for at, ends in steps:
            if ends and held[at]:
                gate.release(str(at))
                held[at] -= 1
                continue
            total = sum(held)
            decision = gate.try_grant(str(at), 0.0, 1.25, total - held[at], 5)
            if isinstance(decision, Granted):
                held[at] += 1
                self.assertLessEqual(held[at], admission_ceiling(1.25, total, 5))
            self.assertEqual(gate.in_flight(str(at), 0.0), held[at])

    def test_an_engine_that_refused_as_full_gets_no_more_than_it_held_for_a_while(self) -> None:
        for _ in range(3):
            self.try_grant(elsewhere=20)
        self.gate.record_engine_full("e", 0.0)
        self.gate.release("e")
        self.assertEqual(self.try_grant(elsewhere=20), Full(2, 2))
        self.gate.release("e")
        self.assertEqual(self.try_grant(elsewhere=20), Granted(2, 2))
        self.assertIsInstance(self.try_grant(now=FULL_LIFETIME, elsewhere=20), Granted)

    def test_an_engine_that_refused_as_full_may_still_run_one_request(self) -> None:
        self.try_grant()
        self.gate.record_engine_full("e", 0.0)
        self.gate.release("e")
        self.assertEqual(self.try_grant(), Granted(1, 1))
