"""Guards against requests that an upstream must not get, and a cold upstream that gets too many."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pondhatch.placement import (
    CLOSING,
    OPEN,
    ClosedReason,
    ColdAllowance,
    ColdPacer,
    Intake,
    Regions,
    common_regions,
)

NORTH = Intake(region="north")
EVACUATED = Intake(is_evacuated=True, region="north")


class IntakeTest(unittest.TestCase):
    def test_closed_reason(self) -> None:
        rows: tuple[tuple[Intake, Regions, bool, ClosedReason | None], ...] = (
            (OPEN, None, False, None),
            (OPEN, None, True, None),
            (CLOSING, None, False, ClosedReason.LEAVING),
            (CLOSING, None, True, None),
            (EVACUATED, None, False, ClosedReason.EVACUATED),
            (EVACUATED, None, True, ClosedReason.EVACUATED),
            (EVACUATED, ("south",), False, ClosedReason.EVACUATED),
            (NORTH, ("north",), False, None),
            (NORTH, ("south", "north"), True, None),
            (NORTH, ("south",), False, ClosedReason.OUTSIDE_REGIONS),
            (NORTH, ("south",), True, ClosedReason.OUTSIDE_REGIONS),
            (NORTH, (), False, ClosedReason.OUTSIDE_REGIONS),
            # Its region is unknown: only requests that may run in any region may run there.
            (OPEN, ("north",), False, ClosedReason.OUTSIDE_REGIONS),
        )
        for intake, regions, resuming, expected in rows:
            with self.subTest(intake=intake, regions=regions, resuming=resuming):
                self.assertEqual(intake.closed_reason(regions, resuming), expected)

    def test_two_region_restrictions_allow_the_regions_of_both(self) -> None:
        rows: tuple[tuple[Regions, Regions, Regions], ...] = (
            (None, None, None),
            (("a",), None, ("a",)),
            (None, ("a",), ("a",)),
            (("a", "b"), ("b", "c"), ("b",)),
            (("a",), ("b",), ()),
        )
        for first, second, expected in rows:
            with self.subTest(first=first, second=second):
                self.assertEqual(common_regions(first, second), expected)


def max_in_any_second(times: list[float]) -> int:
    """Return the largest number of times within any one second."""
    return max((sum(at <= each < at + 1.0 for each in times) for at in times), default=0)


#: Fleet shares of the routers that grant requests for one cold upstream at the same time: one
#: owner, the old and the new owner, or one on each side of a partition of twelve routers.
FLEET_SHARES = ((1.0,), (1.0, 1.0), (0.5, 0.25, 0.25), (0.5, 0.5, 0.5), (10 / 12, 1 / 12, 1 / 12))


class ColdPacerTest(unittest.TestCase):
    """Several routers believe that they own a cold upstream, and all are asked all the time."""

    @settings(max_examples=200, deadline=None)
    @given(
        st.floats(2.0, 60.0),
        st.floats(1.0, 2.0),
        st.floats(2.0, 8.0),
        st.sampled_from(FLEET_SHARES),
        st.floats(0.0, 2.0),
    )
    def test_no_second_has_more_grants_than_the_allowance(
        self,
        pace: float,
        overshoot: float,
        slack: float,
        fleet_shares: tuple[float, ...],
        after: float,
    ) -> None:
        allowance = ColdAllowance(overshoot, slack)
        routers = [ColdPacer(allowance, fleet_share) for fleet_share in fleet_shares]
        times: list[float] = []
        for step in range(400):
            now = step * 0.01
            # The first router is asked from the start, the others a while later.
            for router in routers[: 1 if now < after else None]:
                if router.is_due("e0", pace, now):
                    router.record_grant("e0", pace, now)
                    times.append(now)
        # Rates are fractions, so a request at each end of a second may exceed the sum by one.
        self.assertLessEqual(
            max_in_any_second(times), allowance.max_per_second(pace) + len(fleet_shares) - 1
        )

    def test_one_owner_uses_nearly_half_of_the_allowance(self) -> None:
        pacer = ColdPacer(ColdAllowance(1.5, 5.0), fleet_share=1.0)
        times = []
        for step in range(1000):
            if pacer.is_due("e0", 13.0, step * 0.01):
                pacer.record_grant("e0", 13.0, step * 0.01)
                times.append(step * 0.01)
        self.assertLessEqual(max_in_any_second(times), 12)
        self.assertGreaterEqual(len(times), 90)

    def test_a_router_that_knows_no_peers_grants_nothing(self) -> None:
        pacer = ColdPacer(ColdAllowance(1.5, 5.0))
        self.assertFalse(pacer.is_due("e0", 13.0, 0.0))

    def test_a_router_that_sees_a_part_of_the_fleet_waits_one_interval_first(self) -> None:
        pacer = ColdPacer(ColdAllowance(1.5, 5.0), fleet_share=1 / 65)
        self.assertFalse(pacer.is_due("e0", 13.0, 0.0))
        self.assertFalse(pacer.is_due("e0", 13.0, 5.0))
        self.assertTrue(pacer.is_due("e0", 13.0, 12.0))

    def test_a_warm_upstream_is_forgotten(self) -> None:
        pacer = ColdPacer(ColdAllowance(1.5, 5.0), fleet_share=1.0)
        while pacer.is_due("e0", 13.0, 0.0):
            pacer.record_grant("e0", 13.0, 0.0)
        pacer.forget("e0")
        self.assertTrue(pacer.is_due("e0", 13.0, 0.0))
