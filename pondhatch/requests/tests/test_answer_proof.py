"""Guards what an answer proves about the request that is awaited on its connection."""

from __future__ import annotations

import unittest

from pondhatch.requests import (
    AnswerClaim,
    AnswerKind,
    AwaitedRequest,
    ConnectionUse,
    EngineRefusal,
    judge,
)
from pondhatch.requests._answer_proof import MAX_REMEMBERED_IDS, REMEMBERED_REQUESTS

FULL = EngineRefusal.FULL
ANSWERED, EARLIER, UNPROVEN = AnswerKind.ANSWERED, AnswerKind.EARLIER, AnswerKind.UNPROVEN


def named(name: str, repeatable: bool = False) -> AwaitedRequest:
    """Return a request whose upstream names it in its answers."""
    return AwaitedRequest(name, repeatable, must_be_named=True)


def unnamed(name: str, repeatable: bool = False) -> AwaitedRequest:
    """Return a request to an upstream that need not name it."""
    return AwaitedRequest(name, repeatable, must_be_named=False)


def use_of(*requests: AwaitedRequest, seconds: float = 5.0) -> ConnectionUse:
    """Return the use of a connection that carried requests, one a second."""
    use = ConnectionUse()
    for at, each in enumerate(requests):
        use.note_request(each, at, seconds)
    return use


class JudgeTest(unittest.TestCase):
    # Guards against a refusal, or an answer, that is believed of a request that it does not name.
    def test_an_answer_proves_something_only_of_the_request_that_it_names(self) -> None:
        a, b = named("a"), named("b")
        for use, answered_id, refusal, expected in (
            (use_of(a), "a", None, ANSWERED),
            (use_of(a), "a", FULL, FULL),
            (use_of(a, b), "b", None, ANSWERED),
            (use_of(a, b), "b", FULL, FULL),
            (use_of(a, b), "a", None, EARLIER),
            (use_of(a, b), "a", FULL, EARLIER),
            # Of requests that the connection never carried nothing is known to follow.
            (use_of(b), "a", FULL, UNPROVEN),
            (use_of(a, b), "z", None, UNPROVEN),
            (use_of(a, b), "z", FULL, UNPROVEN),
        ):
            with self.subTest(use=use.request_count, answered_id=answered_id, refusal=refusal):
                awaited = a if use.request_count == 1 and use.has_carried("a") else b
                found = judge(AnswerClaim(answered_id, refusal), awaited, use)
                self.assertIs(found, expected)

    # Guards against a refusal that broke off, and whose head the request's own answer completed.
    def test_a_head_that_may_be_made_of_two_proves_nothing_on_a_used_connection(self) -> None:
        a, b = named("a"), named("b")
        claim = AnswerClaim("b", FULL, may_be_mixed=True)
        self.assertIs(judge(claim, b, use_of(a, b)), UNPROVEN)
        self.assertIs(judge(claim, b, use_of(b)), FULL)

    # Guards against a refusal without an id that is believed although it may be another's.
    def test_an_answer_that_names_no_request_proves_little(self) -> None:
        for awaited, requests, refusal, expected in (
            (named("a"), 1, FULL, FULL),
            (named("a"), 2, FULL, UNPROVEN),
            (named("a", repeatable=True), 2, FULL, UNPROVEN),
            (named("a"), 1, None, UNPROVEN),
            (named(""), 1, EngineRefusal.BAD_REQUEST, EngineRefusal.BAD_REQUEST),
            (named(""), 1, None, ANSWERED),
            (unnamed("a"), 1, FULL, FULL),
            (unnamed("a"), 1, None, ANSWERED),
            (unnamed("a"), 2, FULL, UNPROVEN),
            (unnamed("a"), 2, None, UNPROVEN),
            (unnamed("a", repeatable=True), 2, FULL, FULL),
            (unnamed("a", repeatable=True), 2, None, ANSWERED),
        ):
            with self.subTest(awaited=awaited, requests=requests, refusal=refusal):
                before = [named(f"before {number}") for number in range(1, requests)]
                use = use_of(*before, awaited)
                self.assertIs(judge(AnswerClaim(None, refusal), awaited, use), expected)


class MayCarryTest(unittest.TestCase):
    def test_any_request_may_be_a_connections_first(self) -> None:
        for each in (named("a"), named(""), unnamed("a"), unnamed("")):
            self.assertTrue(ConnectionUse().may_carry(each))

    # Guards against an attempt that meets the second copy of the answer to its earlier try.
    def test_no_request_is_carried_twice(self) -> None:
        use = use_of(named("a"))
        self.assertFalse(use.may_carry(named("a", repeatable=True)))
        self.assertTrue(use.may_carry(named("b")))

    def test_what_answers_without_a_name_cannot_be_told_apart(self) -> None:
        use = use_of(named("a"))
        self.assertFalse(use.may_carry(named("", repeatable=True)))
        use.note_unnamed_answer(unnamed("a"))
        self.assertFalse(use.may_carry(named("b", repeatable=True)))
        self.assertFalse(use.may_carry(unnamed("b")))
        self.assertTrue(use.may_carry(unnamed("b", repeatable=True)))


class MemoryTest(unittest.TestCase):
    def test_an_id_is_remembered_while_its_request_may_be_sent_again(self) -> None:
        requests = [named(str(number)) for number in range(3 * REMEMBERED_REQUESTS)]
        use = use_of(*requests, seconds=len(requests) + 1.0)
        self.assertTrue(all(use.has_carried(each.id) for each in requests))

    def test_the_latest_ids_are_remembered_in_any_case(self) -> None:
        requests = [named(str(number)) for number in range(3 * REMEMBERED_REQUESTS)]
        use = use_of(*requests, seconds=0.0)
        found = [use.has_carried(each.id) for each in requests]
        self.assertEqual(sum(found), REMEMBERED_REQUESTS)
        self.assertTrue(all(found[-REMEMBERED_REQUESTS:]))

    # Guards against memory that grows with the traffic of one connection.
    def test_a_connection_with_too_many_ids_carries_no_further_request(self) -> None:
        requests = [named(str(number)) for number in range(MAX_REMEMBERED_IDS)]
        use = use_of(*requests, seconds=10.0 * MAX_REMEMBERED_IDS)
        self.assertFalse(use.may_carry(named("b")))
        self.assertTrue(use.is_spent())
