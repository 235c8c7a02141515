"""A lease at a platform that is restored from an older copy, which begins a new era."""

from __future__ import annotations

import unittest

from pondhatch.authority import LeaseKeeper
from pondhatch.authority._lease_record import LeaseRecord, LeaseTimings, ReadLease, WriteLease
from pondhatch.store import Accepted, Conflict, Found, Missing, StoredObject, position_of

TIMINGS = LeaseTimings()


def keeper(name: str = "r0") -> LeaseKeeper:
    nonces = iter(range(1000))
    return LeaseKeeper(name, TIMINGS, lambda: f"{name} {next(nonces)}")


def found_record(record: dict[str, object], era: int, revision: int) -> Found:
    return Found(StoredObject("pondhatch-lease", "s", position_of(era, revision), record))


def record_value(holder: str, fencing: int, released: bool = False) -> dict[str, object]:
    return {"holder": holder, "fencing": fencing, "nonce": "n", "released": released}


def new_holder(era: int = 1) -> tuple[LeaseKeeper, float]:
    """Return the first holder of a lease, and the time at which it became the holder."""
    holder = keeper()
    holder.observe_era(0.0, era)
    at = TIMINGS.duration
    assert isinstance(holder.next_call(at, True, False), ReadLease)
    holder.handle_read(at, Missing(position_of(era, 5)))
    assert isinstance(holder.next_call(at, True, False), WriteLease)
    holder.handle_write(at, Accepted(position_of(era, 6)))
    return holder, at


class HolderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keeper, self.at = new_holder()

    def test_it_stops_giving_orders_once_it_learns_of_a_new_era(self) -> None:
        self.assertIsNotNone(self.keeper.order_fencing(self.at + 1, True))
        self.keeper.observe_era(self.at + 1, 2)
        self.assertFalse(self.keeper.is_holder())
        self.assertIsNone(self.keeper.order_fencing(self.at + 1, True))

    def test_its_own_record_in_the_restored_copy_does_not_make_it_the_holder(self) -> None:
        written = self.keeper.record
        assert written is not None
        value = record_value(written.holder, written.fencing) | {"nonce": written.nonce}
        self.keeper.handle_read(self.at + 1, found_record(value, 2, 6))
        self.assertFalse(self.keeper.is_holder())

    def test_a_write_accepted_in_a_new_era_does_not_make_it_the_holder(self) -> None:
        call = self.keeper.next_call(self.at + TIMINGS.renew_every, True, False)
        self.assertIsInstance(call, WriteLease)
        self.keeper.handle_write(self.at + TIMINGS.renew_every, Accepted(position_of(2, 7)))
        self.assertFalse(self.keeper.is_holder())
        self.assertIsInstance(
            self.keeper.next_call(self.at + TIMINGS.renew_every, True, False), ReadLease
        )

    def test_a_reply_from_an_earlier_era_is_ignored(self) -> None:
        self.keeper.observe_era(self.at + 1, 2)
        self.keeper.handle_read(self.at + 1, Missing(position_of(1, 9)))
        later = self.at + 1 + TIMINGS.duration
        self.assertIsInstance(self.keeper.next_call(later, True, False), ReadLease)


class CandidateTest(unittest.TestCase):
    def claims_at(self, candidate: LeaseKeeper, outcome: Found | Missing, at: float) -> bool:
        """Return whether a candidate that reads the lease at a time claims it at its next call."""
        candidate.handle_read(at, outcome)
        return isinstance(candidate.next_call(at + TIMINGS.read_every, True, False), WriteLease)

    def test_it_claims_nothing_for_one_lease_duration_after_a_restore(self) -> None:
        outcomes = (
            Missing(position_of(2, 5)),
            found_record(record_value("gone", 3, released=True), 2, 5),
            found_record(record_value("gone", 3), 2, 5),
        )
        for outcome in outcomes:
            for knows_earlier_era in (False, True):
                with self.subTest(outcome=outcome, knows_earlier_era=knows_earlier_era):
                    candidate = keeper("r1")
                    if knows_earlier_era:
                        candidate.observe_era(0.0, 1)
                    candidate.next_call(50.0, True, False)
                    self.assertFalse(self.claims_at(candidate, outcome, 50.0))
                    self.assertTrue(self.claims_at(candidate, outcome, 50.0 + TIMINGS.duration))

    def test_its_fencing_number_is_above_those_of_earlier_eras(self) -> None:
        former, at = new_holder()
        former_fencing = former.order_fencing(at, True)
        candidate = keeper("r1")
        candidate.observe_era(at, 2)
        at += TIMINGS.duration
        candidate.next_call(at, True, False)
        candidate.handle_read(at, Missing(position_of(2, 1)))
        claim = candidate.next_call(at + TIMINGS.read_every, True, False)
        assert isinstance(claim, WriteLease) and former_fencing is not None
        self.assertGreater(claim.record.fencing, former_fencing)

    def test_a_new_era_delays_orders_to_engines_that_ignore_fencing(self) -> None:
        candidate = keeper("r1")
        candidate.observe_era(0.0, 2)
        at = TIMINGS.duration
        candidate.next_call(at, True, False)
        candidate.handle_read(at, found_record(record_value("gone", 3), 2, 5))
        at += TIMINGS.duration
        candidate.next_call(at, True, False)
        candidate.handle_write(at, Accepted(position_of(2, 6)))
        self.assertIsNone(candidate.order_fencing(at, checks_fencing=False))
        self.assertIsNotNone(candidate.order_fencing(at, checks_fencing=True))

    def test_a_missing_or_released_record_in_a_new_era_delays_such_orders_too(self) -> None:
        for outcome in (
            Missing(position_of(2, 5)),
            found_record(record_value("gone", 3, released=True), 2, 5),
        ):
            with self.subTest(outcome=outcome):
                candidate = keeper("r1")
                candidate.observe_era(0.0, 2)
                at = TIMINGS.duration
                candidate.next_call(at, True, False)
                candidate.handle_read(at, outcome)
                self.assertIsInstance(
                    candidate.next_call(at + TIMINGS.read_every, True, False), WriteLease
                )
                at += TIMINGS.read_every
                candidate.handle_write(at, Accepted(position_of(2, 6)))
                self.assertIsNone(candidate.order_fencing(at, checks_fencing=False))
                self.assertIsNotNone(
                    candidate.order_fencing(at + TIMINGS.unfenced_delay, checks_fencing=False)
                )

    def test_a_platform_without_eras_can_be_claimed_at_once(self) -> None:
        candidate = keeper("r1")
        candidate.next_call(0.0, True, False)
        candidate.handle_read(0.0, Missing())
        claim = candidate.next_call(0.0, True, False)
        assert isinstance(claim, WriteLease)
        self.assertEqual(claim.record, LeaseRecord("r1", 1, claim.record.nonce))
        candidate.handle_write(0.0, Conflict())
        self.assertIsInstance(candidate.next_call(0.0, True, False), ReadLease)
