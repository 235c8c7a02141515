"""Lines on standard output that never hold the process up.

Lines wait in memory and are written a pipe's worth at a time, only where the reader has
taken what came before. A reader that stops costs lines, which are counted, not requests.
"""

from __future__ import annotations

import os
import select
from collections import deque

#: Bytes that a pipe that reports itself writable takes without blocking (POSIX PIPE_BUF).
MAX_WRITE_BYTES = 4096
#: Bytes of lines that wait for a slow reader; beyond them the oldest are dropped.
MAX_BUFFERED_BYTES = 1024 * 1024


class LineWriter:
    """Writes lines to a file descriptor that may be slow."""

    def __init__(self, descriptor: int) -> None:
        #: Lines dropped since the last that told of any.
        self.dropped = 0
        self._descriptor = descriptor
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0

    def add(self, line: bytes) -> None:
        """Take in a line, its newline left out."""
        self._buffered.append(line + b"\n")
        self._buffered_bytes += len(line) + 1
        while self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._buffered_bytes -= len(self._buffered.popleft())
            self.dropped += 1

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffered and self._is_writable():
            chunk = self._next_chunk()
            try:
                os.write(self._descriptor, chunk)
            except OSError:
                # The reader is gone for good; whoever started this process reads no logs.
                self._buffered.clear()
                self._buffered_bytes = 0

    def _next_chunk(self) -> bytes:
        if self.dropped:
            self._buffered.appendleft(b'{"event":"lines-dropped","count":%d}\n' % self.dropped)
            self._buffered_bytes += len(self._buffered[0])
            self.dropped = 0
        chunk = self._buffered.popleft()
        while self._buffered and len(chunk) + len(self._buffered[0]) <= MAX_WRITE_BYTES:
            chunk += self._buffered.popleft()
        self._buffered_bytes -= len(chunk)
        if len(chunk) > MAX_WRITE_BYTES:
            rest = chunk[MAX_WRITE_BYTES:]
            self._buffered.appendleft(rest)
            self._buffered_bytes += len(rest)
            return chunk[:MAX_WRITE_BYTES]
        return chunk

    def _is_writable(self) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        return bool(writable)


#: Lines of this process.
STANDARD_OUTPUT = LineWriter(1)
