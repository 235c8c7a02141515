"""Lines on standard output that never hold the process up.

Lines wait in memory and are written a pipe's worth at a time, only where the reader has
taken what came before. A reader that stops costs lines, which are counted, not requests.
"""

from __future__ import annotations

import os
import select
from collections import deque

#: Bytes that a pipe that reports itself writable takes without blocking (POSIX PIPE_BUF).
AT_ONCE = 4096
#: Bytes of lines that wait for a slow reader; beyond them the oldest are dropped.
MOST_WAITING = 1024 * 1024


class LineWriter:
    """Writes lines to a file descriptor that may be slow."""

    def __init__(self, descriptor: int) -> None:
        #: Lines dropped since the last that told of any.
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._size = 0

    def add(self, line: bytes) -> None:
        """Take in a line, its newline left out."""
        self._waiting.append(line + b"\n")
        self._size += len(line) + 1
        while self._size > MOST_WAITING:
            self._size -= len(self._waiting.popleft())
            self.dropped += 1

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting and self._writable():
            chunk = self._next_chunk()
            try:
                os.write(self._descriptor, chunk)
            except OSError:
                # The reader is gone for good; whoever started this process reads no logs.
                self._waiting.clear()
                self._size = 0

    def _next_chunk(self) -> bytes:
        if self.dropped:
            self._waiting.appendleft(b'{"event":"lines-dropped","count":%d}\n' % self.dropped)
            self._size += len(self._waiting[0])
            self.dropped = 0
        chunk = self._waiting.popleft()
        while self._waiting and len(chunk) + len(self._waiting[0]) <= AT_ONCE:
            chunk += self._waiting.popleft()
        self._size -= len(chunk)
        if len(chunk) > AT_ONCE:
            rest = chunk[AT_ONCE:]
            self._waiting.appendleft(rest)
            self._size += len(rest)
            return chunk[:AT_ONCE]
        return chunk

    def _writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)


#: Lines of this process.
STANDARD_OUTPUT = LineWriter(1)
