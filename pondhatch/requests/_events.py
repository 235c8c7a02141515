"""Splits a streamed answer into complete events.

Only complete events are delivered, and they are counted, so that a broken stream
can resume on another connection without losing or repeating a token.
"""

from __future__ import annotations

#: The end of each event of a stream.
SEPARATOR = b"\n\n"
#: Last event of a streamed chat answer; without it the answer is incomplete.
LAST_EVENT = b"data: [DONE]"
#: Start of the line that carries an event's id.
ID_FIELD = b"id:"


class EventSplitter:
    """Splits the bytes of a stream into complete events."""

    def __init__(self) -> None:
        #: Number of complete events delivered so far.
        self.events = 0
        #: Whether the stream's last event was delivered.
        self.is_complete = False
        self._partial = b""
        #: The bytes delivered last, which hold the newest event's id.
        self._newest = b""

    @property
    def last_id(self) -> str:
        """Return the id in the bytes delivered last, or an empty string if there is none."""
        for line in reversed(self._newest.splitlines()):
            if line.startswith(ID_FIELD):
                return line[len(ID_FIELD) :].strip().decode("latin-1")
        return ""

    def feed(self, part: bytes) -> bytes:
        """Add received bytes; return those that complete events."""
        if not self._partial and part.endswith(SEPARATOR):
            return self._count(part)
        joined = self._partial + part
        end = joined.rfind(SEPARATOR)
        if end < 0:
            self._partial = joined
            return b""
        complete, self._partial = joined[: end + len(SEPARATOR)], joined[end + len(SEPARATOR) :]
        return self._count(complete)

    def _count(self, complete: bytes) -> bytes:
        self.events += complete.count(SEPARATOR)
        self._newest = complete
        self.is_complete = self.is_complete or complete.rstrip().endswith(LAST_EVENT)
        return complete

    def take_partial(self) -> bytes:
        """Remove and return what follows the last complete event of an ended answer."""
        partial, self._partial = self._partial, b""
        return partial

    def discard_partial(self) -> None:
        """Drop the incomplete last event; the resumed stream sends it in full."""
        self._partial = b""
