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

#: Status, content and, where the store tells it, its era.
Answer = tuple[int, Any] | tuple[int, Any, int] | CallFailed
SILENCE = CallFailed("silence", sent=True)


class Calls:
    """Answers as told, in order; keeps what was asked."""

    calls_made = 0

    def __init__(self, answers: Sequence[Answer]) -> None:
        self._answers = list(answers)
        self.asked: list[tuple[str, str, Any]] = []

    async def call(
        self, method: str, path: str, body: bytes = b"", seconds: float = 2.0
    ) -> StoreAnswer:
        self.asked.append((method, path, msgspec.json.decode(body) if body else None))
        answer = self._answers.pop(0)
        if isinstance(answer, CallFailed):
            raise answer
        status, content, *era = answer
        told = {"store-era": str(era[0])} if era else {}
        return StoreAnswer(status, msgspec.json.encode(content), told)


def entry(name: str, revision: int, spec: Any = None, status: Any = None) -> dict[str, Any]:
    metadata = {"Name": name, "Revision": revision, "Created": 1, "Finalizers": []}
    return {"Metadata": metadata, "Spec": spec, "Status": status}


def page(*entries: Any, at: int, more: bool = False) -> dict[str, Any]:
    return {"Entries": list(entries), "HasMore": more, "Timestamp": at}


def double(name: str, value: Any) -> Any:
    if not isinstance(value, int):
        raise msgspec.ValidationError("expected a number")
    return {"name": name, "twice": value * 2}


def store(*answers: Answer) -> tuple[PlatformStore, Calls]:
    calls: Any = Calls(answers)
    return PlatformStore(calls, {"upstream": ("servers", double)}), calls


class ReadingTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_object(self) -> None:
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
        found, calls = store((200, first), (200, page(entry("c", 3, 3), at=6)))
        listed = await found.list("upstream")
        assert isinstance(listed, Listed)
        self.assertEqual([each.name for each in listed.objects], ["a", "b", "c"])
        self.assertEqual([path for _, path, _ in calls.asked][1], "/objects/servers?SinceRev=b")
        # A change to "a" while "c" was read is told by a watch from there.
        self.assertEqual(listed.version, 5)

    async def test_what_may_be_old_is_asked_for_as_such_on_each_page(self) -> None:
        first = page(entry("a", 1, 1), at=5, more=True)
        found, calls = store((200, first), (200, page(at=6)), (404, None))
        await found.list("upstream", may_be_old=True)
        await found.get("upstream", "a", may_be_old=True)
        asked = [parse_qs(urlsplit(path).query) for _, path, _ in calls.asked]
        self.assertEqual(
            asked,
            [{"StaleOk": ["1"]}, {"SinceRev": ["a"], "StaleOk": ["1"]}, {"StaleOk": ["1"]}],
        )

    async def test_what_stands_in_the_status_counts_where_there_is_no_spec(self) -> None:
        found = await store((200, entry("a", 1, None, 4)))[0].get("upstream", "a")
        assert isinstance(found, Found)
        self.assertEqual(found.object.value["twice"], 8)

    async def test_an_object_that_makes_no_sense_hides_no_other(self) -> None:
        found, _ = store((200, page(entry("a", 1, 1), entry("b", 2, "?"), entry("c", 3, 3), at=5)))
        listed = await found.list("upstream")
        assert isinstance(listed, Listed)
        self.assertEqual([each.name for each in listed.objects], ["a", "c"])

    async def test_a_name_is_escaped_where_the_next_page_is_asked_for(self) -> None:
        for name in ("a b", "a&Watch=1", "a/b#c", "são", "100%"):
            with self.subTest(name=name):
                first = page(entry(name, 1, 1), at=5, more=True)
                found, calls = store((200, first), (200, page(at=6)))
                await found.list("upstream")
                asked = calls.asked[1][1]
                self.assertTrue(asked.isascii() and asked.count("/") == 2, asked)
                self.assertEqual(parse_qs(urlsplit(asked).query), {"SinceRev": [name]})

    async def test_a_name_is_escaped_in_a_path(self) -> None:
        found, calls = store((404, None))
        await found.get("own", "Boa Viagem/1?")
        self.assertEqual(calls.asked[0][1], "/objects/own/Boa%20Viagem%2F1%3F")

    async def test_pages_that_bring_nothing_new_end_a_listing_that_is_not_whole(self) -> None:
        again = page(entry("a", 1, 1), at=5, more=True)
        for last in (
            again,
            page(at=5, more=True),
            page(entry("", 1), "no object", at=5, more=True),
        ):
            with self.subTest(last=last):
                found, _ = store((200, again), (200, last))
                listed = await found.list("upstream")
                assert isinstance(listed, Listed)
                self.assertEqual({each.name for each in listed.objects}, {"a"})
                self.assertFalse(listed.is_whole)

    async def test_an_object_without_a_name_or_revision_hides_no_other_and_is_told_once(
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
                found, _ = store(answer, answer)
                for _ in range(2):
                    listed = await found.list("upstream")
                    assert isinstance(listed, Listed)
                    self.assertEqual([each.name for each in listed.objects], ["a", "c"])
                self.assertEqual(len(lines), 1, lines)
            logger.remove(number)

    async def test_what_makes_no_sense_is_known_to_be_there(self) -> None:
        found, _ = store((200, page(entry("a", 1, 1), entry("b", 2, "?"), at=5)))
        listed = await found.list("upstream")
        assert isinstance(listed, Listed)
        self.assertEqual((listed.left_out, listed.is_whole), ({"b"}, True))

    async def test_answers_that_cannot_be_read(self) -> None:
        answers: tuple[Any, ...] = (None, [], {"Entries": 1}, {"Metadata": {"Revision": 1}})
        for answer in answers:
            with self.subTest(answer=answer):
                found, _ = store((200, answer), (200, answer), (200, answer))
                self.assertIsInstance(await found.list("upstream"), Unavailable)
                self.assertIsInstance(await found.get("upstream", "a"), Unavailable)
                self.assertIsInstance(await found.update("own", "a", 1, 8), OutcomeUnknown)


class WritingTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_a_writes_answer_means(self) -> None:
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

    async def test_conditions_travel_with_the_object(self) -> None:
        found, calls = store((200, entry("a", 9)), (201, entry("b", 10)))
        await found.update("own", "a", {"x": 1}, 8)
        await found.create("own", "b", 2)
        replaced = {"Metadata": {"Name": "a", "Revision": 8}, "Spec": {"x": 1}}
        created = {"Metadata": {"Name": "b"}, "Spec": 2}
        expected = [("PUT", "/objects/own/a", replaced), ("POST", "/objects/own", created)]
        self.assertEqual(calls.asked, expected)


class WatchingTest(unittest.IsolatedAsyncioTestCase):
    async def watched(self, *answers: Answer) -> tuple[list[WatchEvent], Exception, Calls]:
        found, calls = store(*answers)
        events: list[WatchEvent] = []
        try:
            async for event in found.watch("upstream", 3):
                events.append(event)
        except Exception as error:
            return events, error, calls
        raise AssertionError("a watch does not end by itself")

    async def test_it_goes_on_from_where_it_was(self) -> None:
        happened = {"Deleted": False, "Object": entry("a", 5, 1)}
        events, error, calls = await self.watched(
            (200, {"events": [happened], "Timestamp": 6}),
            (200, {"events": [], "Timestamp": 6}),
            (410, None),
        )
        self.assertIsInstance(error, TooOld)
        self.assertEqual([event.type for event in events], ["bookmark", "set"])
        asked = [path.split("?")[1].split("&")[0] for _, path, _ in calls.asked]
        self.assertEqual(asked, ["Watch=3", "Watch=6", "Watch=6"])

    async def test_a_removal_hides_nothing_that_follows(self) -> None:
        gone = {"Deleted": True, "Object": entry("a", 5)}
        follows = {"Deleted": False, "Object": entry("b", 6, 1)}
        told = (200, {"events": [gone, follows], "Timestamp": 6})
        events, _, _ = await self.watched(told, (503, None))
        versions = [(event.type, event.name, event.version) for event in events[1:]]
        self.assertEqual(versions, [("removed", "a", 5), ("set", "b", 6)])

    async def test_an_object_that_makes_no_sense_does_not_end_it(self) -> None:
        told = [
            {"Deleted": False, "Object": entry(name, 5, spec)}
            for name, spec in (("a", "?"), ("b", 2))
        ]
        events, _, _ = await self.watched((200, {"events": told, "Timestamp": 6}), (503, None))
        said = [(event.type, event.name, event.version) for event in events[1:]]
        self.assertEqual(said, [("unreadable", "a", 5), ("set", "b", 5)])

    async def test_a_change_that_cannot_be_read_does_not_end_it(self) -> None:
        wrong: tuple[Any, ...] = (None, {}, {"Deleted": True, "Object": {}}, {"Object": None})
        good = {"Deleted": False, "Object": entry("b", 6, 1)}
        told = (200, {"events": [*wrong, good], "Timestamp": 6})
        events, error, _ = await self.watched(told, (200, None))
        self.assertEqual([event.name for event in events[1:]], ["b"])
        self.assertIsInstance(error, PlatformLost)

    async def test_what_ends_it(self) -> None:
        rows: tuple[Answer, ...] = ((503, None), (429, None), SILENCE)
        for answer in rows:
            with self.subTest(answer=answer):
                _, error, _ = await self.watched(answer)
                self.assertIsInstance(error, PlatformLost)


class OlderCopyTest(unittest.IsolatedAsyncioTestCase):
    """The store comes back from a copy: its era rises, its revisions go back."""

    async def told(self, found: PlatformStore) -> int:
        read = await found.get("upstream", "a")
        assert isinstance(read, Found), read
        return read.object.version

    async def test_what_it_says_then_is_newer_whatever_the_numbers(self) -> None:
        found, _ = store((200, entry("a", 130, 1), 4), (200, entry("a", 90, 1), 5))
        self.assertLess(await self.told(found), await self.told(found))

    async def test_an_answer_from_before_says_nothing(self) -> None:
        found, _ = store(
            (200, entry("a", 90, 1), 5),
            (200, entry("a", 130, 1), 4),
            (201, entry("a", 131), 4),
            (200, entry("a", 91, 1), 5),
        )
        first = await self.told(found)
        self.assertIsInstance(await found.get("upstream", "a"), Unavailable)
        self.assertIsInstance(await found.create("upstream", "a", {}), OutcomeUnknown)
        self.assertGreater(await self.told(found), first)

    async def test_an_answer_without_an_era_is_of_the_one_known(self) -> None:
        found, _ = store((200, entry("a", 90, 1), 5), (200, entry("a", 91, 1)))
        self.assertEqual(await self.told(found) + 1, await self.told(found))
        for wrong in ("", "-1", "x", "\u0665", "9" * 30):
            with self.subTest(wrong=wrong):
                found, _ = store((200, entry("a", 7, 1), wrong))  # type: ignore[arg-type]
                self.assertEqual(await self.told(found), 7)

    async def test_a_condition_of_an_era_that_is_over_is_not_asked(self) -> None:
        found, calls = store((200, entry("a", 130, 1), 4), (404, None, 5))
        before = await self.told(found)
        await found.get("upstream", "b")
        self.assertIsInstance(await found.update("upstream", "a", {}, before), Conflict)
        self.assertEqual(len(calls.asked), 2)

    async def test_a_write_that_crosses_its_return_is_not_known_to_be_done(self) -> None:
        found, calls = store((200, entry("a", 130, 1), 4), (200, entry("a", 101), 5))
        before = await self.told(found)
        self.assertIsInstance(await found.update("upstream", "a", {}, before), OutcomeUnknown)
        self.assertEqual(calls.asked[1][2]["Metadata"]["Revision"], 130)

    async def test_a_watch_across_its_return_begins_again(self) -> None:
        watched = {"events": [], "Timestamp": 140}
        found, calls = store((200, page(at=130), 4), (200, watched, 5))
        events = found.watch("upstream", None)
        self.assertEqual((await anext(events)).type, "bookmark")
        with self.assertRaises(TooOld):
            await anext(events)
        self.assertIn("Watch=130", calls.asked[1][1])

    async def test_a_listing_across_its_return_is_none(self) -> None:
        first = page(entry("a", 1, 1), at=130, more=True)
        found, _ = store((200, first, 4), (200, page(at=100), 5))
        self.assertIsInstance(await found.list("upstream"), Unavailable)
