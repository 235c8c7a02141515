from __future__ import annotations

import unittest
from collections.abc import Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from loguru import logger

from pondhatch.platform._store import PlatformStore
from pondhatch.store import (
    Accepted,
    Changes,
    Conflict,
    Found,
    Listed,
    Missing,
    OutcomeUnknown,
    PlatformLost,
    TooOld,
    Unavailable,
    WatchEvent,
)
from pondhatch.transport import CallFailed, StoreAnswer

#: Status, content and, if the store states it, its era.
Answer = tuple[int, Any] | tuple[int, Any, int] | CallFailed
SILENCE = CallFailed("silence", sent=True)


class CannedCalls:
    """Returns the given answers in order, and records the requests."""

    calls_made = 0

    def __init__(self, answers: Sequence[Answer]) -> None:
        self._answers = list(answers)
        self.requests: list[tuple[str, str, Any]] = []

    async def call(
        self, method: str, path: str, body: bytes = b"", seconds: float = 2.0
    ) -> StoreAnswer:
        self.requests.append((method, path, msgspec.json.decode(body) if body else None))
        answer = self._answers.pop(0)
        if isinstance(answer, CallFailed):
            raise answer
        status, content, *era = answer
        headers = {"store-era": str(era[0])} if era else {}
        return StoreAnswer(status, msgspec.json.encode(content), headers)


def entry(name: str, revision: int, spec: Any = None, status: Any = None) -> dict[str, Any]:
    metadata = {"Name": name, "Revision": revision, "Created": 1, "Finalizers": []}
    return {"Metadata": metadata, "Spec": spec, "Status": status}


def page(*entries: Any, at: int, more: bool = False) -> dict[str, Any]:
    return {"Entries": list(entries), "HasMore": more, "Timestamp": at}


def double(name: str, value: Any) -> Any:
    if not isinstance(value, int):
        raise msgspec.ValidationError("expected a number")
    return {"name": name, "twice": value * 2}


def store(*answers: Answer) -> tuple[PlatformStore, CannedCalls]:
    calls: Any = CannedCalls(answers)
    return PlatformStore(calls, {"upstream": ("servers", double)}), calls


class ChangesTest(unittest.IsolatedAsyncioTestCase):
    """Reads of what has changed since a position, without waiting."""

    def changed(self, *entries: Any, at: int) -> dict[str, Any]:
        return {"events": [{"Object": each, "Deleted": False} for each in entries], "Timestamp": at}

    async def test_changes_come_with_the_position_up_to_which_they_are_all(self) -> None:
        platform, calls = store((200, self.changed(entry("a", 7, 21), at=9)))
        read = await platform.changes("upstream", 5)
        assert isinstance(read, Changes)
        self.assertEqual(read.version, 9)
        self.assertEqual([(each.name, each.version) for each in read.events], [("a", 7)])
        self.assertEqual(calls.requests[0][1], "/objects/servers?Watch=5&WaitMs=1")

    async def test_no_change_is_none_whatever_else_moved_the_position(self) -> None:
        read = await store((200, self.changed(at=9)))[0].changes("upstream", 5)
        self.assertEqual(read, Changes(9, ()))

    async def test_all_objects_are_read_where_the_changes_are_not_kept(self) -> None:
        listing = (200, page(entry("a", 7, 21), at=9))
        for since, answers in ((5, ((410, None), listing)), (0, (listing,))):
            with self.subTest(since=since):
                read = await store(*answers)[0].changes("upstream", since)
                assert isinstance(read, Listed)
                self.assertEqual([each.name for each in read.objects], ["a"])

    async def test_a_store_that_does_not_answer_tells_nothing(self) -> None:
        for answer in ((503, None), (429, None), (200, {"events": None}), SILENCE):
            with self.subTest(answer=answer):
                read = await store(answer)[0].changes("upstream", 5)
                self.assertIsInstance(read, Unavailable)


class ReadingTest(unittest.IsolatedAsyncioTestCase):
    async def test_reading_one_object(self) -> None:
        rows: tuple[tuple[Answer, type], ...] = (
            ((200, entry("a", 4, 21)), Found),
            ((404, None), Missing),
            ((503, None), Unavailable),
            ((429, None), Unavailable),
            (SILENCE, Unavailable),
        )
        for answer, kind in rows:
            with self.subTest(answer=answer):
                found = await store(answer)[0].get("upstream", "a")
                self.assertIsInstance(found, kind)
                if isinstance(found, Found):
                    self.assertEqual(found.object.value, {"name": "a", "twice": 42})

    async def test_a_listing_is_read_page_by_page(self) -> None:
        first = page(entry("a", 1, 1), entry("b", 2, 2), at=5, more=True)
        platform, calls = store((200, first), (200, page(entry("c", 3, 3), at=6)))
        listed = await platform.list("upstream")
        assert isinstance(listed, Listed)
        self.assertEqual([each.name for each in listed.objects], ["a", "b", "c"])
        self.assertEqual([path for _, path, _ in calls.requests][1], "/objects/servers?SinceRev=b")
        # A watch from there reports a change to "a" that happens while "c" is read.
        self.assertEqual(listed.version, 5)

    async def test_stale_reads_are_requested_on_each_page(self) -> None:
        first = page(entry("a", 1, 1), at=5, more=True)
        platform, calls = store((200, first), (200, page(at=6)), (404, None))
        await platform.list("upstream", may_be_old=True)
        await platform.get("upstream", "a", may_be_old=True)
        queries = [parse_qs(urlsplit(path).query) for _, path, _ in calls.requests]
        self.assertEqual(
            queries,
            [{"StaleOk": ["1"]}, {"SinceRev": ["a"], "StaleOk": ["1"]}, {"StaleOk": ["1"]}],
        )

    async def test_the_status_is_the_value_without_a_spec(self) -> None:
        found = await store((200, entry("a", 1, None, 4)))[0].get("upstream", "a")
        assert isinstance(found, Found)
        self.assertEqual(found.object.value["twice"], 8)

    async def test_a_malformed_object_hides_no_other(self) -> None:
        platform, _ = store(
            (200, page(entry("a", 1, 1), entry("b", 2, "?"), entry("c", 3, 3), at=5))
        )
        listed = await platform.list("upstream")
        assert isinstance(listed, Listed)
        self.assertEqual([each.name for each in listed.objects], ["a", "c"])

    async def test_a_name_is_escaped_in_the_query_for_the_next_page(self) -> None:
        for name in ("a b", "a&Watch=1", "a/b#c", "são", "100%"):
            with self.subTest(name=name):
                first = page(entry(name, 1, 1), at=5, more=True)
                platform, calls = store((200, first), (200, page(at=6)))
                await platform.list("upstream")
                path = calls.requests[1][1]
                self.assertTrue(path.isascii() and path.count("/") == 2, path)
                self.assertEqual(parse_qs(urlsplit(path).query), {"SinceRev": [name]})

    async def test_a_name_is_escaped_in_a_path(self) -> None:
        platform, calls = store((404, None))
        await platform.get("own", "Boa Viagem/1?")
        self.assertEqual(calls.requests[0][1], "/objects/own/Boa%20Viagem%2F1%3F")

    async def test_a_page_without_new_names_ends_an_incomplete_listing(self) -> None:
        repeated = page(entry("a", 1, 1), at=5, more=True)
        for last in (
            repeated,
            page(at=5, more=True),
            page(entry("", 1), "no object", at=5, more=True),
        ):
            with self.subTest(last=last):
                platform, _ = store((200, repeated), (200, last))
                listed = await platform.list("upstream")
                assert isinstance(listed, Listed)
                self.assertEqual({each.name for each in listed.objects}, {"a"})
                self.assertFalse(listed.is_whole)

    async def test_an_object_without_a_name_or_revision_hides_no_other_and_is_logged_once(
        self,
    ) -> None:
        wrong: tuple[Any, ...] = (
            {"Metadata": {}, "Spec": 1},
            {"Metadata": {"Name": None}, "Spec": 1},
            {"Metadata": {"Name": "b", "Revision": None}, "Spec": 1},
            {"Spec": 1},
            "no object",
            None,
        )
        for each in wrong:
            lines: list[str] = []
            number = logger.add(lines.append, level="ERROR", format="{message}")
            with self.subTest(entry=each):
                answer = (200, page(entry("a", 1, 1), each, entry("c", 3, 3), at=5))
                platform, _ = store(answer, answer)
                for _ in range(2):
                    listed = await platform.list("upstream")
                    assert isinstance(listed, Listed)
                    self.assertEqual([each.name for each in listed.objects], ["a", "c"])
                self.assertEqual(len(lines), 1, lines)
            logger.remove(number)

    async def test_the_name_of_a_malformed_object_is_reported(self) -> None:
        platform, _ = store((200, page(entry("a", 1, 1), entry("b", 2, "?"), at=5)))
        listed = await platform.list("upstream")
        assert isinstance(listed, Listed)
        self.assertEqual((listed.left_out, listed.is_whole), ({"b"}, True))

    async def test_undecodable_answers_are_failures(self) -> None:
        answers: tuple[Any, ...] = (None, [], {"Entries": 1}, {"Metadata": {"Revision": 1}})
        for answer in answers:
            with self.subTest(answer=answer):
                platform, _ = store((200, answer), (200, answer), (200, answer))
                self.assertIsInstance(await platform.list("upstream"), Unavailable)
                self.assertIsInstance(await platform.get("upstream", "a"), Unavailable)
                self.assertIsInstance(await platform.update("own", "a", 1, 8), OutcomeUnknown)


class WritingTest(unittest.IsolatedAsyncioTestCase):
    async def test_classifies_the_answer_to_a_write(self) -> None:
        rows: tuple[tuple[Answer, type], ...] = (
            ((200, entry("a", 9)), Accepted),
            ((201, entry("a", 9)), Accepted),
            ((409, entry("a", 8)), Conflict),
            ((503, None), Unavailable),
            ((429, None), Unavailable),
            ((500, None), OutcomeUnknown),
            (CallFailed("refused", sent=False), Unavailable),
            (SILENCE, OutcomeUnknown),
        )
        for answer, kind in rows:
            with self.subTest(answer=answer):
                self.assertIsInstance(await store(answer)[0].update("own", "a", 1, 8), kind)

    async def test_the_expected_revision_is_sent_with_the_object(self) -> None:
        platform, calls = store((200, entry("a", 9)), (201, entry("b", 10)))
        await platform.update("own", "a", {"x": 1}, 8)
        await platform.create("own", "b", 2)
        replaced = {"Metadata": {"Name": "a", "Revision": 8}, "Spec": {"x": 1}}
        created = {"Metadata": {"Name": "b"}, "Spec": 2}
        expected = [("PUT", "/objects/own/a", replaced), ("POST", "/objects/own", created)]
        self.assertEqual(calls.requests, expected)


class WatchingTest(unittest.IsolatedAsyncioTestCase):
    async def watched(self, *answers: Answer) -> tuple[list[WatchEvent], Exception, CannedCalls]:
        platform, calls = store(*answers)
        events: list[WatchEvent] = []
        try:
            async for event in platform.watch("upstream", 3):
                events.append(event)
        except Exception as error:
            return events, error, calls
        raise AssertionError("a watch does not end by itself")

    async def test_each_call_continues_from_the_last_timestamp(self) -> None:
        change = {"Deleted": False, "Object": entry("a", 5, 1)}
        events, error, calls = await self.watched(
            (200, {"events": [change], "Timestamp": 6}),
            (200, {"events": [], "Timestamp": 6}),
            (410, None),
        )
        self.assertIsInstance(error, TooOld)
        self.assertEqual([event.type for event in events], ["bookmark", "set"])
        queries = [path.split("?")[1].split("&")[0] for _, path, _ in calls.requests]
        self.assertEqual(queries, ["Watch=3", "Watch=6", "Watch=6"])

    async def test_a_removal_hides_nothing_that_follows(self) -> None:
        gone = {"Deleted": True, "Object": entry("a", 5)}
        follows = {"Deleted": False, "Object": entry("b", 6, 1)}
        answer = (200, {"events": [gone, follows], "Timestamp": 6})
        events, _, _ = await self.watched(answer, (503, None))
        versions = [(event.type, event.name, event.version) for event in events[1:]]
        self.assertEqual(versions, [("removed", "a", 5), ("set", "b", 6)])

    async def test_a_malformed_object_does_not_end_the_watch(self) -> None:
        changes = [
            {"Deleted": False, "Object": entry(name, 5, spec)}
            for name, spec in (("a", "?"), ("b", 2))
        ]
        events, _, _ = await self.watched((200, {"events": changes, "Timestamp": 6}), (503, None))
        found = [(event.type, event.name, event.version) for event in events[1:]]
        self.assertEqual(found, [("unreadable", "a", 5), ("set", "b", 5)])

    async def test_a_malformed_change_does_not_end_the_watch(self) -> None:
        wrong: tuple[Any, ...] = (None, {}, {"Deleted": True, "Object": {}}, {"Object": None})
        good = {"Deleted": False, "Object": entry("b", 6, 1)}
        answer = (200, {"events": [*wrong, good], "Timestamp": 6})
        events, error, _ = await self.watched(answer, (200, None))
        self.assertEqual([event.name for event in events[1:]], ["b"])
        self.assertIsInstance(error, PlatformLost)

    async def test_failed_calls_end_the_watch(self) -> None:
        rows: tuple[Answer, ...] = ((503, None), (429, None), SILENCE)
        for answer in rows:
            with self.subTest(answer=answer):
                _, error, _ = await self.watched(answer)
                self.assertIsInstance(error, PlatformLost)


class OlderCopyTest(unittest.IsolatedAsyncioTestCase):
    """The store is restored from an older copy: its era rises, its revisions go back."""

    async def read_version(self, platform: PlatformStore) -> int:
        read = await platform.get("upstream", "a")
        assert isinstance(read, Found), read
        return read.object.version

    async def test_a_later_era_is_newer_whatever_the_revisions(self) -> None:
        platform, _ = store((200, entry("a", 130, 1), 4), (200, entry("a", 90, 1), 5))
        self.assertLess(await self.read_version(platform), await self.read_version(platform))

    async def test_an_answer_of_an_earlier_era_is_a_failure(self) -> None:
        platform, _ = store(
            (200, entry("a", 90, 1), 5),
            (200, entry("a", 130, 1), 4),
            (201, entry("a", 131), 4),
            (200, entry("a", 91, 1), 5),
        )
        first = await self.read_version(platform)
        self.assertIsInstance(await platform.get("upstream", "a"), Unavailable)
        self.assertIsInstance(await platform.create("upstream", "a", {}), OutcomeUnknown)
        self.assertGreater(await self.read_version(platform), first)

    async def test_an_answer_without_an_era_belongs_to_the_known_one(self) -> None:
        platform, _ = store((200, entry("a", 90, 1), 5), (200, entry("a", 91, 1)))
        self.assertEqual(await self.read_version(platform) + 1, await self.read_version(platform))
        for wrong in ("", "-1", "x", "\u0665", "9" * 30):
            with self.subTest(wrong=wrong):
                platform, _ = store((200, entry("a", 7, 1), wrong))  # type: ignore[arg-type]
                self.assertEqual(await self.read_version(platform), 7)

    async def test_an_update_expecting_a_version_of_a_past_era_is_not_sent(self) -> None:
        platform, calls = store((200, entry("a", 130, 1), 4), (404, None, 5))
        before = await self.read_version(platform)
        await platform.get("upstream", "b")
        self.assertIsInstance(await platform.update("upstream", "a", {}, before), Conflict)
        self.assertEqual(len(calls.requests), 2)

    async def test_a_write_answered_in_a_later_era_has_an_unknown_outcome(self) -> None:
        platform, calls = store((200, entry("a", 130, 1), 4), (200, entry("a", 101), 5))
        before = await self.read_version(platform)
        self.assertIsInstance(await platform.update("upstream", "a", {}, before), OutcomeUnknown)
        self.assertEqual(calls.requests[1][2]["Metadata"]["Revision"], 130)

    async def test_a_watch_answered_in_a_later_era_is_too_old(self) -> None:
        watched = {"events": [], "Timestamp": 140}
        platform, calls = store((200, page(at=130), 4), (200, watched, 5))
        events = platform.watch("upstream", None)
        self.assertEqual((await anext(events)).type, "bookmark")
        with self.assertRaises(TooOld):
            await anext(events)
        self.assertIn("Watch=130", calls.requests[1][1])

    async def test_a_listing_across_two_eras_is_unavailable(self) -> None:
        first = page(entry("a", 1, 1), at=130, more=True)
        platform, _ = store((200, first, 4), (200, page(at=100), 5))
        self.assertIsInstance(await platform.list("upstream"), Unavailable)
