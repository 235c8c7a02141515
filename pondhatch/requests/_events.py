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
        self._rest = b""
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
        """Remove and return what follows the last complete event of an ended answer."""
        rest, self._rest = self._rest, b""
        return rest

    def discard_partial(self) -> None:
        """Drop the incomplete last event; the resumed stream sends it in full."""
        self._rest = b""
