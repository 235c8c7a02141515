"""Guards against malformed engine entries, which any writer may have stored.

An entry with a missing or mistyped field, an unknown state, invalid UTF-8, a number of thousands of
digits or nesting thousands deep must neither count as a usable engine nor hide other entries. An
engine whose entry was valid and becomes malformed gets no new requests, while those that run there
continue.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from pondhatch.platform._engines import decode_engine
from pondhatch.platform._store import PlatformStore
from pondhatch.platform.tests._wire import ENGINE
from pondhatch.router import RouterState
from pondhatch.router.tests.test_sync import router
from pondhatch.store import (
    LEAVING,
    LIVE,
    Found,
    Listed,
    PlatformLost,
    StoredObject,
    Unavailable,
    WatchEvent,
)
from pondhatch.transport import StoreAnswer

#: Bytes in place of an entry; each hides all other entries if the answer is decoded as a whole.
GARBAGE: dict[str, bytes] = {
    "bytes that are no text": b'{"Metadata":{"Name":"i-2","Revision":5},"Spec":"\xff\xfe"}',
    "a name that is no text": b'{"Metadata":{"Name":7,"Revision":5},"Spec":{}}',
    "a lone surrogate": b'{"Metadata":{"Name":"i-2","Revision":5},"Spec":"\\ud800"}',
    "5000 digits": b'{"Metadata":{"Name":"i-2","Revision":5},"Spec":' + b"9" * 5000 + b"}",
    "NaN": b'{"Metadata":{"Name":"i-2","Revision":5},"Spec":NaN}',
    "nested 2000 deep": b'{"Metadata":{"Name":"i-2","Revision":5},"Spec":'
    + b"[" * 2000
    + b"]" * 2000
    + b"}",
    "nested 200,000 deep": b'{"Metadata":{"Name":"i-2","Revision":5},"Spec":'
    + b'{"a":' * 200_000
    + b"1"
    + b"}" * 200_000
    + b"}",
    "brackets in a text": b'{"Metadata":{"Name":"i-2","Revision":5},"Spec":"]}\\"[{\xff"}',
}


def stored(name: str, revision: int, **changes: Any) -> dict[str, Any]:
    """Return an engine's object as the store holds it."""
    metadata = {"Name": name, "Revision": revision, "Created": 1}
    return {"Metadata": metadata, "Spec": {**ENGINE, **changes}, "Status": None}


class CannedCalls:
    """A store that answers each call with bytes, in order."""

    calls_made = 0

    def __init__(self, *answers: bytes) -> None:
        self._answers = list(answers)

    async def call(
        self, method: str, path: str, body: bytes = b"", seconds: float = 2.0
    ) -> StoreAnswer:
        return StoreAnswer(200, self._answers.pop(0)) if self._answers else StoreAnswer(503, b"")


def store(*answers: bytes) -> PlatformStore:
    calls: Any = CannedCalls(*answers)
    return PlatformStore(calls, {"upstream": ("servers", decode_engine)})


def page(*entries: bytes) -> bytes:
    return b'{"Entries":[' + b",".join(entries) + b'],"HasMore":false,"Timestamp":9}'


async def watched_events(platform: PlatformStore) -> list[WatchEvent]:
    """Return the events of a watch until the store stops answering."""
    events: list[WatchEvent] = []
    try:
        async for event in platform.watch("upstream", 3):
            events.append(event)
    except PlatformLost:
        return events
    raise AssertionError("a watch does not end by itself")


class OneFieldTest(unittest.TestCase):
    MALFORMED: tuple[tuple[str, Any], ...] = (
        ("Service", None),
        ("Service", ""),
        ("Service", 7),
        ("Address", None),
        ("Address", ["10.0.0.9:8080"]),
        ("Zone", 1),
        ("Version", 1),
        ("Slots", None),
        ("Slots", "64"),
        ("Slots", 0),
        ("Slots", -1),
        ("Slots", 1.5),
        ("Slots", True),
        ("State", None),
        ("State", "paused"),
        ("State", ["ready"]),
        ("ColdRemainingMs", "0"),
        ("ColdRemainingMs", -1),
        ("Sequence", None),
        ("Sequence", 1.5),
        ("born", None),
        ("born", "1700000000000"),
        ("born", 1.5),
        ("born", True),
    )

    def test_an_entry_with_a_malformed_field_is_rejected(self) -> None:
        for field, value in self.MALFORMED:
            wrong = {**ENGINE, field: value}
            with (
                self.subTest(field=field, value=value),
                self.assertRaisesRegex(msgspec.ValidationError, field),
            ):
                decode_engine("i-1", wrong)

    def test_an_entry_that_lacks_a_field_is_rejected(self) -> None:
        for field in ENGINE:
            with self.subTest(field=field):
                rest = {name: value for name, value in ENGINE.items() if name != field}
                with self.assertRaisesRegex(msgspec.ValidationError, field):
                    decode_engine("i-1", rest)

    def test_whole_numbers_may_have_a_decimal_point(self) -> None:
        numbers = {"Slots": 64.0, "Sequence": 2.0, "ColdRemainingMs": 12.5, "born": 1.7e12}
        found = decode_engine("i-1", {**ENGINE, **numbers})
        self.assertEqual((found["slots"], found["start"]), (64, 1_700_000_000_000))

    def test_unknown_fields_are_ignored(self) -> None:
        found = decode_engine("i-1", {**ENGINE, "Phase": "combined", "Later": {"a": [1]}})
        self.assertEqual(found["state"], LIVE)

    def test_a_draining_engine_is_leaving_whatever_else_is_malformed(self) -> None:
        for field, value in self.MALFORMED:
            if field == "State":
                continue
            with self.subTest(field=field, value=value):
                wrong = {**ENGINE, "State": "draining", field: value}
                self.assertEqual(decode_engine("i-1", wrong)["state"], LEAVING)


class GarbageTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_listing_keeps_the_other_objects(self) -> None:
        first, third = (msgspec.json.encode(stored(name, 4)) for name in ("i-1", "i-3"))
        for label, garbage in GARBAGE.items():
            with self.subTest(label):
                listed = await store(page(first, garbage, third)).list("upstream")
                assert isinstance(listed, Listed), listed
                self.assertEqual([each.name for each in listed.objects], ["i-1", "i-3"])
                self.assertEqual(listed.version, 9)

    async def test_a_watch_yields_the_other_changes(self) -> None:
        for label, garbage in GARBAGE.items():
            with self.subTest(label):
                changes = [
                    b'{"Deleted":false,"Object":' + each + b"}"
                    for each in (garbage, msgspec.json.encode(stored("i-3", 6)))
                ]
                answer = b'{"events":[' + b",".join(changes) + b'],"Timestamp":6}'
                events = [
                    each for each in await watched_events(store(answer)) if each.type == "set"
                ]
                self.assertEqual([each.name for each in events], ["i-3"])

    async def test_a_garbled_object_read_by_name_is_found(self) -> None:
        for label, garbage in GARBAGE.items():
            if label == "a name that is no text":
                continue
            with self.subTest(label):
                found = await store(garbage).get("own", "i-2")
                assert isinstance(found, Found), found
                self.assertEqual((found.object.version, found.object.name), (5, "i-2"))
                if "text" not in label:
                    self.assertIsNone(found.object.value)

    async def test_an_undecodable_answer_counts_as_unavailable(self) -> None:
        whole = page(msgspec.json.encode(stored("i-1", 4)))
        for answer in (b"", b"[", whole[:-1], whole[:40], b"\xff", b'"' + whole, b"[" * 3000):
            with self.subTest(answer=answer[:40]):
                self.assertIsInstance(await store(answer).list("upstream"), Unavailable)
                self.assertEqual(
                    [each.type for each in await watched_events(store(answer))], ["bookmark"]
                )

    # Guards against what is no list, which was taken for an empty one: all that is known vanished.
    async def test_an_answer_without_a_list_counts_as_unavailable(self) -> None:
        for entries in (b"null", b"7", b"{}", b'"[]"', b"NaN", b"[1", b""):
            with self.subTest(entries):
                answer = b'{"Entries":%s,"HasMore":false,"Timestamp":9}' % entries
                self.assertIsInstance(await store(answer).list("upstream"), Unavailable)
                changes = b'{"events":%s,"Timestamp":9}' % entries
                self.assertEqual(
                    [each.type for each in await watched_events(store(changes))], ["bookmark"]
                )

    @given(st.binary(max_size=60), st.integers(0, 900), st.integers(0, 60))
    def test_no_bytes_raise_anything(self, noise: bytes, at: int, cut: int) -> None:
        whole = page(*(msgspec.json.encode(stored(f"i-{each}", 4)) for each in range(3)))
        answer = whole[:at] + noise + whole[at + cut :]

        async def main() -> None:
            listed = await store(answer).list("upstream")
            self.assertIsInstance(listed, Listed | Unavailable)
            await watched_events(store(answer))

        asyncio.run(main())


class NoNewRequestsTest(unittest.TestCase):
    """A valid entry that another writer has replaced by a malformed one."""

    def setUp(self) -> None:
        self.lines: list[str] = []
        number = logger.add(self.lines.append, level="ERROR", format="{message}")
        self.addCleanup(logger.remove, number)
        self.state = router("r0")
        for name in ("i-1", "i-2"):
            good = decode_engine(name, {**ENGINE, "Address": f"10.0.0.{name[-1]}:80"})
            self.state.apply_upstream_event(WatchEvent("set", 4, name, good))

    def available(self, state: RouterState | None = None) -> list[str]:
        upstreams = (state or self.state).upstreams
        return [each.id for each in upstreams.of_service("lang")]

    def ways_to_learn(self) -> list[Callable[[], None]]:
        """Return the ways in which a router learns of the malformed entry, at version 6."""
        unreadable = WatchEvent("unreadable", 6, "i-1")
        incomplete = WatchEvent("set", 6, "i-1", {"name": "i-1"})
        return [
            lambda: self.assertTrue(self.state.apply_upstream_event(unreadable)),
            lambda: self.assertTrue(self.state.apply_upstream_event(incomplete)),
            lambda: self.apply_listing(),
        ]

    def apply_listing(self) -> None:
        other = {"name": "i-2", "service": "lang", "url": "http://10.0.0.2:80", "hall": "hall-1"}
        kept = StoredObject("upstream", "i-2", 4, other)
        self.state.apply_listed_upstreams(Listed(6, (kept,), frozenset({"i-1"})))

    def test_a_malformed_entry_gets_no_new_requests_and_stays_listed(self) -> None:
        for index in range(3):
            with self.subTest(way=index):
                self.setUp()
                self.ways_to_learn()[index]()
                self.assertEqual(self.available(), ["i-2"])
                self.assertIsNotNone(self.state.upstreams.upstream("i-1"))

    def test_peers_learn_of_the_malformed_entry_and_of_its_repair(self) -> None:
        peer = router("r1")
        peer.apply_upstreams(self.state.upstreams_since(0))
        self.ways_to_learn()[0]()
        peer.apply_upstreams(self.state.upstreams_since(peer.upstreams.version))
        self.assertEqual(self.available(peer), ["i-2"])
        self.state.apply_upstream_event(WatchEvent("set", 8, "i-1", decode_engine("i-1", ENGINE)))
        peer.apply_upstreams(self.state.upstreams_since(peer.upstreams.version))
        self.assertEqual(self.available(peer), ["i-1", "i-2"])

    def test_an_older_or_unknown_unreadable_event_changes_nothing(self) -> None:
        self.assertFalse(self.state.apply_upstream_event(WatchEvent("unreadable", 3, "i-1")))
        self.assertFalse(self.state.apply_upstream_event(WatchEvent("unreadable", 9, "i-9")))
        self.assertEqual(self.available(), ["i-1", "i-2"])
