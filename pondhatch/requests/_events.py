"""Splits a streamed answer into complete events.

Only complete events are delivered, and they are counted, so that a broken stream
can resume on another connection without losing or repeating a token. The format is that of
server-sent events (WHATWG HTML, "Parsing an event stream"): a line ends with LF, CR LF or CR, and a
blank line ends an event.
"""

from __future__ import annotations

import re

#: The usual end of an event.
SEPARATOR = b"\n\n"
#: Last event of a streamed chat answer; without it the answer is incomplete.
LAST_EVENT = b"data: [DONE]"
#: Start of a line that is a comment.
COMMENT = b":"
#: May precede the first line of a stream.
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_ENDS = b"\r\n"

#: Maximum bytes of one event, and of what stands between two, as comments.
MAX_EVENT_BYTES = 256 * 1024

#: Comments and blank lines, and then the lines of an event, if one follows. CR LF is one end of a
#: line, never two. A line may lack its end where the bytes end.
_NEXT_EVENT = re.compile(
    rb"(?>:[^\r\n]*+(?>\r\n|\n|\r|\Z)|\r\n|\n|\r)*+((?>[^\r\n]++(?>\r\n|\n|\r|\Z))*+)"
)
#: Each end of a line together with the next one, and so a blank line; CR LF is one end of a line.
_BLANK_LINE_ENDS = (b"\n\n", b"\n\r", b"\r\r")
#: A whole line that states an event's id; one with a NUL states none. It begins with the letters,
#: which a search finds fastest; what precedes them is checked next.
_ID_LINE = re.compile(rb"id(?<![^\r\n]id)(?::([^\0\r\n]*))?(?=[\r\n])")
#: One byte less than the longest end of an event, which may arrive in several parts.
_SPLIT_END_BYTES = 3


class EventTooLong(Exception):
    """A stream goes on without an end of its event, or without an event."""

    def __init__(self) -> None:
        super().__init__(f"no event ended within {MAX_EVENT_BYTES} bytes")


class EventSplitter:
    """Splits the bytes of a stream into complete events."""

    def __init__(self) -> None:
        #: Number of complete events so far.
        self.events = 0
        #: Whether the stream's last event is complete.
        self.is_complete = False
        self._partial = b""
        #: The bytes returned last.
        self._newest = b""
        self._last_id = b""
        #: Bytes since the last event, the partial one excluded.
        self._bytes_between = 0

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes of an event that is not complete."""
        return len(self._partial)

    @property
    def last_id(self) -> str:
        """Return the id of the last complete event, without blanks around it; empty if none.

        An event that states no id has that of the one before it. Bytes are read as Latin-1, as in
        a header.
        """
        return self._last_id.strip().decode("latin-1")

    @property
    def is_inside_event(self) -> bool:
        """Whether the stream, if it ended here, would end inside an event.

        Blank lines, comment lines and a byte-order mark after the last event belong to none.
        """
        rest = self._partial if self.events else self._partial.removeprefix(BYTE_ORDER_MARK)
        return any(not _belongs_to_no_event(line) for line in rest.splitlines(keepends=True))

    def feed(self, part: bytes) -> bytes:
        """Add received bytes; return those that complete events. Raises EventTooLong."""
        if not self._partial and part.endswith(SEPARATOR):
            return self._count(part)
        joined = self._partial + part
        end = self._end_of_events(joined, max(0, len(self._partial) - _SPLIT_END_BYTES))
        complete, self._partial = joined[:end], joined[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong
        return self._count(complete) if complete else b""

    def take_rest(self) -> bytes:
        """Remove and return what follows the last complete event."""
        rest, self._partial = self._partial, b""
        return rest

    def _end_of_events(self, joined: bytes, start: int) -> int:
        """Return where the last complete event ends; no event ends before ``start``."""
        end = 0
        if self._newest.endswith(b"\r") and joined.startswith(b"\n"):
            # The line feed of the CR LF with which the last event ended.
            end = 1
        # From the end: what came may hold thousands of events.
        last = max(joined.rfind(each, start) for each in _BLANK_LINE_ENDS)
        if last == -1:
            return end
        end = last + 2
        is_split = joined[last + 1 : end + 1] == b"\r\n"
        return end + 1 if is_split else end

    def _count(self, complete: bytes) -> bytes:
        events = _count_events(complete)
        self.events += events
        self._bytes_between = 0 if events else self._bytes_between + len(complete)
        if self._bytes_between > MAX_EVENT_BYTES:
            raise EventTooLong
        # Only the first line of the stream may follow a mark.
        lines = complete if self._newest else complete.removeprefix(BYTE_ORDER_MARK)
        if ids := _ID_LINE.findall(lines):
            self._last_id = ids[-1]
        self._newest = complete
        self.is_complete = self.is_complete or complete.rstrip().endswith(LAST_EVENT)
        return complete


def _count_events(complete: bytes) -> int:
    """Return the number of events in bytes that end with one; blocks of comments are none."""
    is_plain = (
        b"\r" not in complete
        and b"\n\n\n" not in complete
        and b"\n:" not in complete
        and not complete.startswith((b"\n", COMMENT, BYTE_ORDER_MARK))
    )
    if is_plain:
        return complete.count(SEPARATOR)
    events = _NEXT_EVENT.findall(complete.removeprefix(BYTE_ORDER_MARK))
    return len(events) - events.count(b"")


def _is_empty_or_comment(line: bytes) -> bool:
    """Return whether a line without its end belongs to no event."""
    return not line or line.startswith(COMMENT)


def _belongs_to_no_event(line: bytes) -> bool:
    """Return whether a line with its end is blank or a comment; one without an end is cut."""
    return line.endswith((b"\r", b"\n")) and _is_empty_or_comment(line.rstrip(LINE_ENDS))
