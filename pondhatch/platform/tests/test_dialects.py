from __future__ import annotations

import unittest
from typing import Any

import msgspec

from pondhatch.placement import NO_NOTICE, OPEN, Notice
from pondhatch.platform._callers import PlatformCallerDialect
from pondhatch.platform._engines import EngineDialect, decode_engine, decode_evacuation
from pondhatch.platform.tests._wire import ENGINE
from pondhatch.requests import (
    AwaitedRequest,
    EngineRefusal,
    Headers,
    NotRun,
    Refusal,
    RequestHead,
    Target,
    Unknown,
)

TARGET = Target("i-1", "http://10.0.0.9:8080", OPEN, 1.5, 3, 64)
HEADERS: Headers = (
    ("Host", "desk.example"),
    ("Attempt-Id", "9c41"),
    ("Authorization", "Bearer key-1"),
    ("Tenant", "forged"),
    ("Expect-Instance", "forged"),
    ("Deadline-Ms", "9000"),
    ("Connection", "keep-alive"),
    ("Transfer-Encoding", "chunked"),
    ("Prefix-Hash", "a:1,b:2"),
    ("X-Own", "kept"),
)


def ignore(kind: str) -> None:
    """Ignore a dropped header."""


def head(headers: Headers = HEADERS, **changes: Any) -> RequestHead:
    """Return a request's head as the router builds it from a caller's headers."""
    plain = RequestHead(
        request_id="own",
        account="pina",
        service="lang",
        chat=0,
        method="POST",
        path="/notes/1",
        headers=PlatformCallerDialect().forwarded_headers(headers, ignore),
        repeatable=False,
        deadline=2.5,
        priority=3,
        caller_id="9c41",
    )
    return msgspec.structs.replace(plain, **changes)


class EngineDialectTest(unittest.TestCase):
    dialect = EngineDialect()

    def test_headers_sent_to_an_engine(self) -> None:
        sent = self.dialect.request_headers(head(), TARGET)
        expected = {
            "Host": "desk.example",
            "Attempt-Id": "9c41",
            "Prefix-Hash": "a:1,b:2",
            "X-Own": "kept",
            "Deadline-Ms": "2500",
            "Expect-Instance": "i-1",
            "Request-Priority": "3",
            "Tenant": "pina",
        }
        self.assertEqual(dict(sent), expected)
        self.assertEqual(len(sent), len(expected))

    def test_reads_the_notice_from_an_answer(self) -> None:
        leaving = {"server-leaving": "1"}
        for status, headers, notice in (
            (200, {}, NO_NOTICE),
            (200, leaving, Notice(is_leaving=True)),
            (500, leaving, Notice(is_leaving=True)),
            (200, {"server-leaving": "0"}, NO_NOTICE),
            (503, {"retry-after": "2.5"}, Notice(rest=2.5)),
            (503, {"retry-after": "3", "not-executed": "1", **leaving}, Notice(True, 3.0)),
            (503, {"retry-after": "soon"}, NO_NOTICE),
            (200, {"retry-after": "3"}, NO_NOTICE),
            # Another engine may have answered at its address.
            (421, {"retry-after": "3", "not-executed": "1", **leaving}, NO_NOTICE),
        ):
            with self.subTest(status=status, headers=headers):
                self.assertEqual(self.dialect.notice(status, headers), notice)

    def test_without_an_account_no_account_is_named(self) -> None:
        sent = dict(self.dialect.request_headers(head(account=""), TARGET))
        self.assertNotIn("Tenant", sent)

    def test_a_resumed_stream_states_its_last_event(self) -> None:
        resumed = head(headers=(*HEADERS, ("Last-Event-Id", "2")), last_event_id="7")
        sent = self.dialect.request_headers(resumed, TARGET)
        self.assertEqual([value for name, value in sent if name == "Last-Event-Id"], ["7"])
        kept = self.dialect.request_headers(head(headers=(("Last-Event-Id", "2"),)), TARGET)
        self.assertIn(("Last-Event-Id", "2"), kept)

    def test_only_the_router_sets_the_context_source(self) -> None:
        forged = head(headers=(*HEADERS, ("Kv-Fetch", "10.9.9.9:1")))
        self.assertNotIn("Kv-Fetch", dict(self.dialect.request_headers(forged, TARGET)))
        moved = head(context_address="10.0.0.7:80")
        sent = dict(self.dialect.request_headers(moved, TARGET))
        self.assertEqual(sent["Kv-Fetch"], "10.0.0.7:80")

    def test_reads_why_an_answer_says_that_the_request_did_not_run(self) -> None:
        rows: tuple[tuple[int, dict[str, str], EngineRefusal | None], ...] = (
            (200, {"attempt-id": "9c41"}, None),
            (500, {"attempt-id": "9c41"}, None),
            (200, {}, None),
            (503, {"not-executed": "1"}, EngineRefusal.FULL),
            (503, {"not-executed": "1", "attempt-id": "9c41"}, EngineRefusal.FULL),
            (503, {"not-executed": "1", "connection": "close"}, EngineRefusal.LEAVING),
            (429, {"not-executed": "1"}, EngineRefusal.FULL),
            # The load that it states shows free slots, or none, or cannot be read.
            (503, {"not-executed": "1", "instance-load": "8,1,64"}, EngineRefusal.DECLINED),
            (429, {"not-executed": "1", "instance-load": "0,0,6"}, EngineRefusal.DECLINED),
            (503, {"not-executed": "1", "instance-load": "64,0,64"}, EngineRefusal.FULL),
            (503, {"not-executed": "1", "instance-load": "40,6,64"}, EngineRefusal.FULL),
            (503, {"not-executed": "1", "instance-load": "8,1"}, EngineRefusal.FULL),
            (503, {"not-executed": "1", "instance-load": "8,x,64"}, EngineRefusal.FULL),
            (503, {"not-executed": "1", "retry-after": "3"}, EngineRefusal.OVERLOADED),
            (503, {"not-executed": "1", "retry-after": "soon"}, EngineRefusal.FULL),
            (503, {"not-executed": "1", "server-leaving": "1"}, EngineRefusal.LEAVING),
            (400, {"not-executed": "1"}, EngineRefusal.BAD_REQUEST),
            (400, {"attempt-id": "9c41"}, None),
            (500, {"not-executed": "1"}, EngineRefusal.UNKNOWN),
            (503, {"attempt-id": "9c41"}, None),
            (421, {"instance-id": "i-2"}, EngineRefusal.WRONG_INSTANCE),
        )
        for status, headers, expected in rows:
            with self.subTest(status=status, headers=headers):
                self.assertIs(self.dialect.refusal(status, headers), expected)

    def test_an_answer_is_recognized_by_the_id_that_the_caller_gave(self) -> None:
        self.assertEqual(self.dialect.awaited(head()), AwaitedRequest("9c41", False, True))
        for headers, expected in (
            ({"attempt-id": "z"}, "z"),
            ({}, None),
            ({"attempt-id": ""}, None),
        ):
            self.assertEqual(self.dialect.answered_id(headers), expected)

    def test_answer_headers_reach_the_caller_except_those_of_the_connection(self) -> None:
        answered = (("Instance-Signature", "3e"), ("Keep-Alive", "timeout=4"), ("X-Own", "1"))
        passed_on = (("Instance-Signature", "3e"), ("X-Own", "1"))
        self.assertEqual(self.dialect.answer_headers(answered, ignore), passed_on)


class EngineEntryTest(unittest.TestCase):
    def test_entries_become_upstreams(self) -> None:
        for state, expected in (("ready", "live"), ("draining", "leaving")):
            with self.subTest(state=state):
                found = decode_engine("i-1", {**ENGINE, "State": state})
                self.assertEqual(found["state"], expected)
                self.assertEqual((found["url"], found["hall"]), ("http://10.0.0.9:8080", "hall-1"))
                self.assertEqual((found["slots"], found["software_version"]), (64, "v1"))

    def test_the_remaining_cold_time_is_read_in_seconds(self) -> None:
        found = decode_engine("i-1", {**ENGINE, "ColdRemainingMs": 1871})
        self.assertEqual(found["cold_seconds"], 1.871)
        self.assertEqual(decode_engine("i-1", ENGINE)["cold_seconds"], 0.0)

    def test_an_evacuation_object_is_in_force_whatever_its_value(self) -> None:
        for value in ({}, None, {"in_force": False}, "x"):
            self.assertEqual(decode_evacuation("hall-1", value), {"in_force": True})

    def test_a_draining_engine_is_leaving_whatever_else_is_malformed(self) -> None:
        values: tuple[Any, ...] = (None, 64.0, "64", [], {})
        for field in ("Service", "Address", "Zone", "Slots", "Version", "Sequence"):
            for value in values:
                with self.subTest(field=field, value=value):
                    entry = {**ENGINE, "State": "draining", field: value}
                    self.assertEqual(decode_engine("i-1", entry)["state"], "leaving")

    def test_a_malformed_field_is_an_error(self) -> None:
        rows: tuple[tuple[str, Any], ...] = (
            ("Slots", None),
            ("Slots", "many"),
            ("Slots", -1),
            ("Slots", "64"),
            ("Zone", None),
            ("State", None),
        )
        for field, value in rows:
            wrong = {**ENGINE, field: value}
            with (
                self.subTest(field=field, value=value),
                self.assertRaisesRegex(msgspec.ValidationError, field),
            ):
                decode_engine("i-1", wrong)
        self.assertEqual(decode_engine("i-1", {**ENGINE, "Slots": 64.0})["slots"], 64)

    def test_a_value_that_is_no_engine_entry_is_an_error(self) -> None:
        wrong: tuple[Any, ...] = (None, "i-1", [], {**ENGINE, "Service": None})
        for entry in wrong:
            with self.subTest(entry=entry), self.assertRaises(msgspec.ValidationError):
                decode_engine("i-1", entry)


class PlatformCallerDialectTest(unittest.TestCase):
    dialect = PlatformCallerDialect()

    def test_reads_the_facts_of_a_request(self) -> None:
        facts = self.dialect.read(HEADERS)
        self.assertEqual((facts.caller_id, facts.api_key, facts.max_wait), ("9c41", "key-1", 9.0))

    def test_a_deadline_that_is_no_number_is_none(self) -> None:
        for value in ("", "soon", "-1", "\u00b2", "1.5"):
            with self.subTest(value=value):
                self.assertIsNone(self.dialect.read((("Deadline-Ms", value),)).max_wait)

    def test_reads_the_token_counts_of_a_request(self) -> None:
        parts = "1a:500,ff:200,3c:100"
        shared = ((0x1A, 500), (0xFF, 200))
        rows = (
            ("1200,400", "", parts, (1200, 400, shared)),
            ("1200,400", "250", "3c:100", (1200, 250, ())),
            # No more than the stated maximum, and never negative.
            ("1200,400", "900", "", (1200, 400, ())),
            ("1200,400", "-9", "", (1200, 400, ())),
            ("", "250", parts, (800, 250, shared)),
            ("many,400", "", parts, (800, 400, shared)),
            ("1200,1e3", "", "1a:5_0,x:3,ff:200,3c:1", (1200, 0, ((0xFF, 200),))),
            ("-1,-1", "\u00b2", "1a:-5,3c", (0, 0, ())),
            ("9" * 5000, "9" * 5000, "1a:" + "9" * 5000, (0, 0, ())),
        )
        for usage, hint, prompt_parts, expected in rows:
            headers = (("Token-Usage", usage), ("Length-Hint", hint), ("Prefix-Hash", prompt_parts))
            with self.subTest(headers=headers):
                facts = self.dialect.read(headers)
                found = (facts.prompt_tokens, facts.answer_tokens, facts.prompt_parts)
                self.assertEqual(found, expected)

    def test_reads_the_bearer_key_in_any_case_of_the_scheme(self) -> None:
        rows: tuple[tuple[Headers, str | None], ...] = (
            ((("authorization", "bearer k"),), "k"),
            ((("Authorization", "Basic k"),), None),
            ((), None),
        )
        for headers, key in rows:
            with self.subTest(headers=headers):
                self.assertEqual(self.dialect.read(headers).api_key, key)

    def test_the_context_is_the_last_shared_part(self) -> None:
        def context(parts: str) -> int:
            return self.dialect.read((("Prefix-Hash", parts),)).context_key

        self.assertEqual(context("a:1,b:2,c:3"), context("x:9,b:2,d:4"))
        self.assertNotEqual(context("a:1,b:2,c:3"), context("a:1,e:2,c:3"))
        self.assertNotEqual(context("a:1"), 0)
        self.assertEqual(context(""), 0)

    def test_paths_that_an_engine_could_take_for_a_router_call(self) -> None:
        router_calls = (
            "/report",
            "/kv-events?since=1",
            "/kv-move",
            "//hold-take/",
            "/kv-pin/5c1e",
            "/hold-drop/h1?x=1",
            "/%6bv-list",
            "/notes/../kv-handle/h1",
        )
        for path in router_calls:
            with self.subTest(path=path):
                self.assertTrue(self.dialect.is_router_only_call(path, "/"))
        for path in ("/", "/x", "/report/2f", "/kv-pin", "/notes/report", "/a?b=/report", "/a%2e"):
            with self.subTest(path=path):
                self.assertFalse(self.dialect.is_router_only_call(path, "/"))

    def test_an_operator_may_route_a_router_call(self) -> None:
        self.assertFalse(self.dialect.is_router_only_call("/kv-pin/5c1e", "/kv-pin/"))
        self.assertTrue(self.dialect.is_router_only_call("/notes/../kv-move", "/notes/"))

    def test_retry_after_is_sent_with_retryable_refusals_only(self) -> None:
        rows: tuple[tuple[Refusal, Headers], ...] = (
            (NotRun("engines-full", "", 0.25), (("Retry-After", "0.250"),)),
            (NotRun("rate-limited", "", 1.0, 429), (("Retry-After", "1.000"),)),
            (NotRun("no-route", "", 0.0, 404), ()),
            (Unknown("upstream-lost", ""), ()),
        )
        for refusal, headers in rows:
            with self.subTest(refusal=refusal):
                self.assertEqual(self.dialect.refusal_headers(refusal), headers)
