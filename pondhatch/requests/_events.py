"""Whole events of an answer that is streamed.

Only whole events are passed on, and they are counted, so that a stream that
breaks can go on at another connection without a token lost or doubled.
"""

from __future__ import annotations

#: Ends an event of a stream.
SEPARATOR = b"\n\n"
#: Last event of a streamed chat answer; without it the answer is not whole.
LAST_EVENT = b"data: [DONE]"
#: Begins the line of an event that tells its id.
ID_FIELD = b"id:"


class EventSplitter:
    """Cuts the bytes of a stream into whole events."""

    def __init__(self) -> None:
        #: Whole events passed on so far.
        self.events = 0
        #: Whether the last event was passed on.
        self.is_complete = False
        self._rest = b""
        #: What was passed on last; holds the newest event's id.
        self._newest = b""

    @property
    def last_id(self) -> str:
        """Return the id of the last event passed on, or an empty text where none told one."""
        for line in reversed(self._newest.splitlines()):
            if line.startswith(ID_FIELD):
                return line[len(ID_FIELD) :].strip().decode("latin-1")
        return ""

    def feed(self, part: bytes) -> bytes:
        """Take in bytes; return those that make whole events."""
        if not self._rest and part.endswith(SEPARATOR):
            return self._count(part)
        joined = self._rest + part
        end = joined.rfind(SEPARATOR)
        if end < 0:
            self._rest = joined
            return b""
        whole, self._rest = joined[: end + len(SEPARATOR)], joined[end + len(SEPARATOR) :]
        return self._count(whole)

    def _count(self, whole: bytes) -> bytes:
        self.events += whole.count(SEPARATOR)
        self._newest = whole
        self.is_complete = self.is_complete or whole.rstrip().endswith(LAST_EVENT)
        return whole

    def take_rest(self) -> bytes:
        """Return what came after the last whole event, when the answer has ended."""
        rest, self._rest = self._rest, b""
        return rest

    def discard_partial(self) -> None:
        """Drop the piece of an event that came last; the next stream sends it whole."""
        self._rest = b""
