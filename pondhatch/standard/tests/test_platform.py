"""Guards against one malformed object or change in an answer of the platform hiding the others.

Any writer may store such an object, and one that fails to convert must not fail the whole answer.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

import msgspec
from loguru import logger

from fakes._virtual_loop import run_virtually
from pondhatch.standard import _platform, _watch_stream
from pondhatch.standard._platform import HttpPlatform
from pondhatch.store import Listed, PlatformLost, Unavailable, WatchEvent

GOOD = {"kind": "upstream", "name": "e0", "version": 1, "value": {"name": "e0"}}
MALFORMED = ({**GOOD, "name": "e1", "version": None}, {"value": 1}, "no object", None)


class CannedPlatform(HttpPlatform):
    """A platform client that receives the given content in every answer."""

    def __init__(self, content: bytes) -> None:
        super().__init__("http://127.0.0.1:1")
        self._content = content

    async def _call(self, *_: Any, **__: Any) -> tuple[int, bytes]:
        return 200, self._content


class ListingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        number = logger.add(self.lines.append, level="ERROR", format="{message}")
        self.addCleanup(logger.remove, number)

    async def test_a_malformed_object_hides_no_other_and_is_logged_once(self) -> None:
        for malformed in MALFORMED:
            with self.subTest(wrong=malformed):
                self.lines.clear()
                content = msgspec.json.encode({"version": 4, "objects": [malformed, GOOD]})
                platform = CannedPlatform(content)
                for _ in range(3):
                    listed = await platform.list("upstream")
                    assert isinstance(listed, Listed)
                    self.assertEqual([each.name for each in listed.objects], ["e0"])
                self.assertEqual(len(self.lines), 1, self.lines)

    async def test_the_name_of_a_malformed_object_is_reported(self) -> None:
        content = msgspec.json.encode({"version": 4, "objects": [MALFORMED[0], GOOD]})
        listed = await CannedPlatform(content).list("upstream")
        assert isinstance(listed, Listed)
        self.assertIn("e1", listed.left_out)

    async def test_an_answer_that_is_no_listing_is_unavailable(self) -> None:
        for content in (b"", b"[]", b'{"objects": []}'):
            with self.subTest(content=content):
                self.assertIsInstance(await CannedPlatform(content).list("upstream"), Unavailable)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_malformed_change_does_not_end_the_watch(self) -> None:
        good = WatchEvent("set", 6, "e0", 1)

        async def lines(pipe: Any) -> AsyncIterator[bytes]:
            for each in ({"type": "set", "version": None, "name": "e1"}, 5, good):
                yield msgspec.json.encode(each)

        platform = CannedPlatform(b"")
        response = mock.Mock(code=200)
        with (
            mock.patch.object(platform, "_request", mock.AsyncMock(return_value=response)),
            mock.patch.object(_platform, "watch_lines", lines),
        ):
            self.assertEqual([each async for each in platform.watch("upstream", 1)], [good])


class _Pipe:
    """Gives the same part again and again, after some seconds each."""

    def __init__(self, part: bytes, seconds: float) -> None:
        self._part, self._seconds = part, seconds

    async def read(self) -> bytes:
        await asyncio.sleep(self._seconds)
        return self._part


class WatchLinesTest(unittest.TestCase):
    def read(self, part: bytes, seconds: float) -> tuple[list[bytes], float]:
        """Return the lines of a watch until it is lost, and the seconds that it took."""

        async def main() -> tuple[list[bytes], float]:
            pipe: Any = _Pipe(part, seconds)
            lines: list[bytes] = []
            clock = asyncio.get_running_loop().time
            began = clock()
            with self.assertRaises(PlatformLost):
                async for line in _watch_stream.watch_lines(pipe):
                    lines.append(line)
                    if len(lines) == 1000:
                        raise PlatformLost("read enough")
            return lines, clock() - began

        return run_virtually(main())

    # Guards against a line without end, which was kept in memory for ever.
    def test_a_line_without_end_is_given_up_by_its_bytes(self) -> None:
        lines, seconds = self.read(b"x" * 2**20, 0.001)
        self.assertEqual(lines, [])
        self.assertLess(seconds, 0.02)

    def test_a_line_that_comes_in_drops_is_given_up_by_its_time(self) -> None:
        lines, seconds = self.read(b"x", 0.1)
        self.assertEqual(lines, [])
        self.assertAlmostEqual(seconds, 0.1 + _watch_stream.LINE_SECONDS, delta=0.11)

    def test_lines_that_come_in_parts_are_put_together_for_as_long_as_they_come(self) -> None:
        lines, seconds = self.read(b'a"}\n{"b":1}\n{"', 1.0)
        self.assertEqual(lines[:4], [b'a"}', b'{"b":1}', b'{"a"}', b'{"b":1}'])
        self.assertEqual(seconds, 500.0)
