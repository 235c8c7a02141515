from __future__ import annotations

import unittest

from msgspec.structs import replace

from pondhatch.placement import NO_NOTICE, Notice
from pondhatch.requests import AwaitedRequest, EngineRefusal, RequestHead
from pondhatch.standard._upstreams import OpenAiUpstreams

HEAD = RequestHead("r.1", "a", "s", 7, "POST", "/", (), True, 10.0, 5)


class AnswerTest(unittest.TestCase):
    def test_reads_why_an_answer_says_that_the_request_did_not_run(self) -> None:
        rows: tuple[tuple[int, dict[str, str], EngineRefusal | None], ...] = (
            (200, {"x-request-id": "r.1"}, None),
            (503, {"x-request-id": "r.1"}, None),
            # By the stated reason, whatever the status.
            (503, {"x-not-run": "full"}, EngineRefusal.FULL),
            (503, {"x-not-run": "Leaving"}, EngineRefusal.LEAVING),
            (503, {"x-not-run": "not-the-one"}, EngineRefusal.WRONG_INSTANCE),
            (422, {"x-not-run": "bad-request"}, EngineRefusal.BAD_REQUEST),
            # By the status if no known reason is stated.
            (503, {"x-not-run": "1"}, EngineRefusal.FULL),
            (429, {"x-not-run": "1"}, EngineRefusal.FULL),
            (421, {"x-not-run": "1"}, EngineRefusal.WRONG_INSTANCE),
            (400, {"x-not-run": "1"}, EngineRefusal.BAD_REQUEST),
            (409, {"x-not-run": "1"}, EngineRefusal.UNKNOWN),
            (503, {"x-not-run": "1", "retry-after": "3"}, EngineRefusal.OVERLOADED),
            (503, {"x-not-run": "1", "x-leaving": "1"}, EngineRefusal.LEAVING),
        )
        for status, headers, expected in rows:
            with self.subTest(status=status, headers=headers):
                self.assertIs(OpenAiUpstreams().refusal(status, headers), expected)

    def test_an_answer_is_recognized_by_the_id_of_the_try(self) -> None:
        dialect = OpenAiUpstreams()
        self.assertEqual(dialect.awaited(HEAD), AwaitedRequest("r.1", True, True))
        plain = replace(HEAD, chat=0)
        self.assertEqual(dialect.awaited(plain), AwaitedRequest("r.1", True, False))
        self.assertEqual(dialect.answered_id({"x-request-id": "r.2"}), "r.2")
        self.assertIsNone(dialect.answered_id({}))


class NoticeTest(unittest.TestCase):
    def test_reads_the_notice_from_an_answer(self) -> None:
        rows: tuple[tuple[int, dict[str, str], Notice], ...] = (
            (200, {}, NO_NOTICE),
            (200, {"x-leaving": "1"}, Notice(is_leaving=True)),
            (503, {"x-not-run": "leaving"}, Notice(is_leaving=True)),
            (503, {"retry-after": "2"}, Notice(rest=2.0)),
            (429, {"retry-after": "2", "x-leaving": "1"}, Notice(True, 2.0)),
            (200, {"retry-after": "2"}, NO_NOTICE),
            # Another upstream may have answered at its address.
            (421, {"retry-after": "2", "x-leaving": "1"}, NO_NOTICE),
            (503, {"x-not-run": "not-the-one", "x-leaving": "1"}, NO_NOTICE),
        )
        for status, headers, notice in rows:
            with self.subTest(status=status, headers=headers):
                self.assertEqual(OpenAiUpstreams().notice(status, headers), notice)
