"""Guards against an expired pace, or one faster than usual, that changes an engine's ceiling."""

from __future__ import annotations

import unittest

from pondhatch.placement import USUAL_PACE, EnginePaces, Full, Gate
from pondhatch.placement._engine_paces import PACE_LIFETIME


class EnginePacesTest(unittest.TestCase):
    def test_the_last_pace_is_used_until_it_expires(self) -> None:
        paces = EnginePaces()
        paces.record("e0", 400, 0.0)
        paces.record("e0", 250, 1.0)
        paces.record("e1", 80, 1.0)
        self.assertEqual([paces.pace(each, 1.5) for each in ("e0", "e1", "e2")], [250, 80, 100])
        self.assertEqual(paces.count_slow(1.5), 1)
        self.assertEqual(paces.pace("e0", 1.0 + PACE_LIFETIME), USUAL_PACE)
        paces.drop_expired(1.0 + PACE_LIFETIME)
        self.assertEqual(paces, EnginePaces())


class SlowCeilingTest(unittest.TestCase):
    def test_a_slow_engine_gets_a_lower_ceiling_of_at_least_one(self) -> None:
        for pace, ceiling in ((100, 20), (40, 20), (101, 19), (250, 8), (10_000, 1)):
            with self.subTest(pace=pace):
                gate = Gate()
                while not isinstance(
                    decision := gate.try_grant("e", 0.0, 1.7, 0, 1, 20, 30, pace), Full
                ):
                    pass
                self.assertEqual(decision, Full(ceiling, ceiling))
