"""Splitting streams into events, wherever the bytes are cut and however lines end."""

from __future__ import annotations

import re
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondhatch.requests import EventSplitter

LINE_ENDS = (b"\n", b"\r\n", b"\r")
#: Lines of an event; an empty list of fields makes a block of comments alone.
FIELDS = (b"data: a", b"id: 7", b"data", b"data: \xe2\x82\xac", b"event: x")


@st.composite
def streams(draw: st.DrawFn) -> tuple[bytes, list[int], int]:
    """Return a valid stream, the offsets at which its events end, and the number of events."""
    line_end = draw(st.sampled_from(LINE_ENDS))
    content = draw(st.sampled_from((b"", b"\xef\xbb\xbf", line_end)))
    ends, events = [], 0
    for _ in range(draw(st.integers(0, 5))):
        fields = draw(st.lists(st.sampled_from(FIELDS), max_size=3))
        comments = draw(st.lists(st.just(b": ping"), min_size=0 if fields else 1, max_size=1))
        content += b"".join(line + line_end for line in (*comments, *fields))
        content += line_end * draw(st.integers(1, 2))
        ends.append(len(content))
        events += bool(fields)
    return content, ends, events


def feed_in_parts(content: bytes, cuts: list[int]) -> tuple[EventSplitter, bytes]:
    """Return a splitter that was fed a stream cut at some offsets, and what it returned."""
    splitter, returned, start = EventSplitter(), b"", 0
    for end in [*sorted(cuts), len(content)]:
        returned += splitter.feed(content[start:end])
        start = max(start, end)
    return splitter, returned


class SplittingTest(unittest.TestCase):
    @given(streams(), st.lists(st.integers(0, 120), max_size=8))
    def test_every_event_of_a_whole_stream_is_passed_on_and_counted(
        self, stream: tuple[bytes, list[int], int], cuts: list[int]
    ) -> None:
        content, _, events = stream
        splitter, returned = feed_in_parts(content, [min(cut, len(content)) for cut in cuts])
        self.assertEqual(returned + splitter.take_rest(), content)
        self.assertEqual(splitter.events, events)
        self.assertFalse(splitter.is_inside_event)

    @given(streams(), st.integers(0, 120), st.lists(st.integers(0, 120), max_size=8))
    def test_of_a_stream_cut_anywhere_only_whole_events_are_passed_on(
        self, stream: tuple[bytes, list[int], int], at: int, cuts: list[int]
    ) -> None:
        """Guards against any byte of a half event reaching a caller."""
        content, ends, _ = stream
        cut = content[:at]
        splitter, returned = feed_in_parts(cut, [min(each, len(cut)) for each in cuts])
        self.assertTrue(content.startswith(returned))
        rest = cut[len(returned) :]
        if returned and rest.strip(b"\r\n"):
            # The next event begins where the one before it ended, with its blank lines.
            self.assertTrue(any(_same_offset(content, len(returned), end) for end in ends), rest)
        is_inside = bool(re.search(rb"(?:^|[\r\n])[^:\r\n]", rest.removeprefix(b"\xef\xbb\xbf")))
        is_cut_comment = rest.rpartition(b"\n")[2].rpartition(b"\r")[2].startswith(b":")
        self.assertEqual(splitter.is_inside_event, is_inside or is_cut_comment)


def _same_offset(content: bytes, one: int, other: int) -> bool:
    """Return whether only line ends lie between two offsets."""
    return not content[min(one, other) : max(one, other)].strip(b"\r\n")


class LineEndTest(unittest.TestCase):
    def test_a_line_feed_that_comes_after_its_carriage_return_is_passed_on_at_once(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"data: a\r\n\r"), b"data: a\r\n\r")
        self.assertEqual(splitter.feed(b"\ndata: b\r\n\r\n"), b"\ndata: b\r\n\r\n")
        self.assertEqual(splitter.events, 2)

    def test_one_carriage_return_with_its_line_feed_ends_no_event(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"data: a\r\n"), b"")
        self.assertTrue(splitter.is_inside_event)

    def test_comments_and_blank_lines_after_the_last_event_belong_to_none(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"data: a\n\n: bye\n")
        self.assertFalse(splitter.is_inside_event)
        self.assertEqual(splitter.take_rest(), b": bye\n")

    def test_half_a_byte_order_mark_is_cut(self) -> None:
        splitter = EventSplitter()
        splitter.feed(b"\xef\xbb")
        self.assertTrue(splitter.is_inside_event)
