"""One odd object that any writer may have stored hides no other one, and ends no task.

Guards against objects that cannot be decoded: nested too deep, with numbers too large, or no text.
A listing was not available while one was there, a watch began again for ever, and a read raised.
"""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.standard import _platform
from pondhatch.standard.tests.test_platform import CannedPlatform
from pondhatch.store import Found, Listed, OutcomeUnknown, StoredObject, Unavailable, WatchEvent

SOUND = StoredObject("upstream", "e0", 1, {"name": "e0"})
#: Values that cannot be decoded.
ODD_VALUES: dict[str, bytes] = {
    "nested 900 deep": b"[" * 900 + b"]" * 900,
    "nested 2,000 deep": b"[" * 2000 + b"]" * 2000,
    "nested 200,000 deep": b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
    "20,000 digits": b"9" * 20_000,
    "a number too large": b"1e99999",
    "no number": b"NaN",
    "no text": b'"\xff\xfe"',
    "half a character": b'"\\ud800"',
    "brackets in a text": b'"]}\\"[{\xff"',
}


def odd_object(value: bytes) -> bytes:
    """Return an object as the platform sends it."""
    return b'{"kind":"upstream","name":"odd","version":5,"value":%s}' % value


class OddObjectTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_listing_has_the_other_objects(self) -> None:
        for name, value in ODD_VALUES.items():
            with self.subTest(name):
                objects = odd_object(value) + b"," + msgspec.json.encode(SOUND)
                platform = CannedPlatform(b'{"version":7,"objects":[%s]}' % objects)
                listed = await platform.list("upstream")
                assert isinstance(listed, Listed), listed
                self.assertIn(SOUND, listed.objects)
                self.assertLessEqual({each.name for each in listed.objects}, {"e0", "odd"})
                if len(listed.objects) == 1:
                    self.assertEqual(listed.left_out, frozenset({"odd"}))

    # Guards against the splitting by brackets, which took a listing that is cut for an empty one.
    async def test_a_listing_that_is_cut_is_unavailable(self) -> None:
        for value in (b"1", b"NaN", b'{"a":[{}]}'):
            whole = b'{"version":7,"objects":[%s,%s]}' % (odd_object(b"1"), odd_object(value))
            for end in range(len(whole)):
                with self.subTest(whole[:end]):
                    listed = await CannedPlatform(whole[:end]).list("upstream")
                    self.assertIsInstance(listed, Unavailable)

    # Guards against what is no list, which was taken for an empty one.
    async def test_a_listing_without_a_list_is_unavailable(self) -> None:
        for objects in (b"null", b"7", b"{}", b'"[]"', b"NaN", b"[1", b""):
            with self.subTest(objects):
                platform = CannedPlatform(b'{"version":7,"objects":%s}' % objects)
                self.assertIsInstance(await platform.list("upstream"), Unavailable)

    async def test_a_watch_goes_on_after_it(self) -> None:
        sound = WatchEvent("set", 6, "e0", {"name": "e0"})
        for name, value in ODD_VALUES.items():
            with self.subTest(name):
                odd = b'{"type":"set","version":5,"name":"odd","value":%s}' % value
                events = await self.watch(odd, msgspec.json.encode(sound))
                self.assertEqual(events[-1], sound)
                self.assertEqual([(each.name, each.version) for each in events[:-1]], [("odd", 5)])

    async def test_a_removed_one_is_removed(self) -> None:
        odd = b'{"type":"removed","version":5,"name":"odd","value":%s}' % ODD_VALUES["no text"]
        self.assertEqual(await self.watch(odd), [WatchEvent("removed", 5, "odd")])

    async def watch(self, *sent: bytes) -> list[WatchEvent]:
        async def lines(pipe: Any) -> AsyncIterator[bytes]:
            for each in sent:
                yield each

        platform = CannedPlatform(b"")
        response = mock.Mock(code=200)
        with (
            mock.patch.object(platform, "_request", mock.AsyncMock(return_value=response)),
            mock.patch.object(_platform, "watch_lines", lines),
        ):
            return [each async for each in platform.watch("upstream", 1)]

    async def test_it_is_found_by_its_name(self) -> None:
        for name, value in ODD_VALUES.items():
            with self.subTest(name):
                found = await CannedPlatform(odd_object(value)).get("upstream", "odd")
                assert isinstance(found, Found), found
                self.assertEqual((found.object.name, found.object.version), ("odd", 5))

    async def test_an_answer_that_is_no_object_is_unavailable_or_of_unknown_outcome(self) -> None:
        for content in (b"", b"[]", b"7", b'{"name":"e0"}', b"\xff", b"[" * 5000, b'{"kind":"a'):
            with self.subTest(content[:20]):
                platform = CannedPlatform(content)
                self.assertIsInstance(await platform.get("upstream", "e0"), Unavailable)
                written = await platform.update("upstream", "e0", {}, 1)
                self.assertIsInstance(written, OutcomeUnknown)


class NoiseTest(unittest.TestCase):
    @given(st.binary(max_size=60), st.integers(0, 60), st.integers(0, 60))
    def test_no_content_raises_anything(self, noise: bytes, at: int, cut: int) -> None:
        sound = b'{"version":7,"objects":[%s]}' % odd_object(b"[1]")
        for whole in (sound, odd_object(b"[1]")):
            content = whole[:at] + noise + whole[cut:]

            async def main(content: bytes = content) -> None:
                platform = CannedPlatform(content)
                await platform.list("upstream")
                await platform.get("upstream", "e0")
                await platform.update("upstream", "e0", {}, 1)

            run_virtually(main())
