"""A lease at a platform that comes back from an older copy."""

from __future__ import annotations

import unittest

from pondhatch.authority import LeaseKeeper
from pondhatch.authority._lease_record import LeaseRecord, Read, Terms, Write
from pondhatch.store import Accepted, Conflict, Found, Missing, StoredObject, position_of

TERMS = Terms()


def keeper(name: str = "r0") -> LeaseKeeper:
    nonces = iter(range(1000))
    return LeaseKeeper(name, TERMS, lambda: f"{name} {next(nonces)}")


def found(record: dict[str, object], era: int, revision: int) -> Found:
    return Found(StoredObject("pondhatch-lease", "s", position_of(era, revision), record))


def record(holder: str, fencing: int, released: bool = False) -> dict[str, object]:
    return {"holder": holder, "fencing": fencing, "nonce": "n", "released": released}


def holder(era: int = 1) -> tuple[LeaseKeeper, float]:
    """Return the holder of a lease that nobody held before, and when it became so."""
    held = keeper()
    held.told_era(0.0, era)
    at = TERMS.duration
    assert isinstance(held.due(at, True, False), Read)
    held.told_read(at, Missing(position_of(era, 5)))
    assert isinstance(held.due(at, True, False), Write)
    held.told_write(at, Accepted(position_of(era, 6)))
    return held, at


class HolderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keeper, self.at = holder()

    def test_it_orders_until_it_hears_of_the_new_era_from_whomever(self) -> None:
        self.assertIsNotNone(self.keeper.fencing(self.at + 1, True))
        self.keeper.told_era(self.at + 1, 2)
        self.assertFalse(self.keeper.is_holder())
        self.assertIsNone(self.keeper.fencing(self.at + 1, True))

    def test_its_own_record_in_the_copy_does_not_make_it_the_holder(self) -> None:
        written = self.keeper.record
        assert written is not None
        told = record(written.holder, written.fencing) | {"nonce": written.nonce}
        self.keeper.told_read(self.at + 1, found(told, 2, 6))
        self.assertFalse(self.keeper.is_holder())

    def test_a_write_that_crossed_the_return_does_not_either(self) -> None:
        due = self.keeper.due(self.at + TERMS.renew_every, True, False)
        self.assertIsInstance(due, Write)
        self.keeper.told_write(self.at + TERMS.renew_every, Accepted(position_of(2, 7)))
        self.assertFalse(self.keeper.is_holder())
        self.assertIsInstance(self.keeper.due(self.at + TERMS.renew_every, True, False), Read)

    def test_an_answer_of_an_era_that_is_over_says_nothing(self) -> None:
        self.keeper.told_era(self.at + 1, 2)
        self.keeper.told_read(self.at + 1, Missing(position_of(1, 9)))
        later = self.at + 1 + TERMS.duration
        self.assertIsInstance(self.keeper.due(later, True, False), Read)


class CandidateTest(unittest.TestCase):
    def claims_at(self, candidate: LeaseKeeper, told: Found | Missing, at: float) -> bool:
        candidate.told_read(at, told)
        return isinstance(candidate.due(at + TERMS.read_every, True, False), Write)

    def test_it_claims_nothing_for_a_leases_time_whatever_the_copy_shows(self) -> None:
        shown = (
            Missing(position_of(2, 5)),
            found(record("gone", 3, released=True), 2, 5),
            found(record("gone", 3), 2, 5),
        )
        for told in shown:
            for remembers in (False, True):
                with self.subTest(told=told, remembers=remembers):
                    candidate = keeper("r1")
                    if remembers:
                        candidate.told_era(0.0, 1)
                    candidate.due(50.0, True, False)
                    self.assertFalse(self.claims_at(candidate, told, 50.0))
                    self.assertTrue(self.claims_at(candidate, told, 50.0 + TERMS.duration))

    def test_its_number_is_above_all_that_were_used_though_it_remembers_none(self) -> None:
        former, at = holder()
        used = former.fencing(at, True)
        candidate = keeper("r1")
        candidate.told_era(at, 2)
        at += TERMS.duration
        candidate.due(at, True, False)
        candidate.told_read(at, Missing(position_of(2, 1)))
        claim = candidate.due(at + TERMS.read_every, True, False)
        assert isinstance(claim, Write) and used is not None
        self.assertGreater(claim.record.fencing, used)

    def test_it_leaves_engines_that_ignore_numbers_alone_as_after_an_emergency(self) -> None:
        candidate = keeper("r1")
        candidate.told_era(0.0, 2)
        at = TERMS.duration
        candidate.due(at, True, False)
        candidate.told_read(at, found(record("gone", 3), 2, 5))
        at += TERMS.duration
        candidate.due(at, True, False)
        candidate.told_write(at, Accepted(position_of(2, 6)))
        self.assertIsNone(candidate.fencing(at, checks_fencing=False))
        self.assertIsNotNone(candidate.fencing(at, checks_fencing=True))

    def test_nor_does_a_record_that_is_gone_or_given_up_show_that_it_was_planned(self) -> None:
        for told in (Missing(position_of(2, 5)), found(record("gone", 3, released=True), 2, 5)):
            with self.subTest(told=told):
                candidate = keeper("r1")
                candidate.told_era(0.0, 2)
                at = TERMS.duration
                candidate.due(at, True, False)
                candidate.told_read(at, told)
                self.assertIsInstance(candidate.due(at + TERMS.read_every, True, False), Write)
                at += TERMS.read_every
                candidate.told_write(at, Accepted(position_of(2, 6)))
                self.assertIsNone(candidate.fencing(at, checks_fencing=False))
                self.assertIsNotNone(candidate.fencing(at + TERMS.settle, checks_fencing=False))

    def test_a_platform_without_eras_is_as_it_was(self) -> None:
        candidate = keeper("r1")
        candidate.due(0.0, True, False)
        candidate.told_read(0.0, Missing())
        claim = candidate.due(0.0, True, False)
        assert isinstance(claim, Write)
        self.assertEqual(claim.record, LeaseRecord("r1", 1, claim.record.nonce))
        candidate.told_write(0.0, Conflict())
        self.assertIsInstance(candidate.due(0.0, True, False), Read)
