"""Writes lines to standard output without ever blocking the process.

Lines are buffered in memory. They are written in chunks that fit a pipe, and only while the
descriptor is writable. If the reader stops reading, lines are dropped and counted, but requests
are not affected.
"""

from __future__ import annotations

import os
import select
from collections import deque

#: Bytes that a pipe which is reported as writable accepts without blocking (POSIX PIPE_BUF).
MAX_WRITE_BYTES = 4096
#: Bytes of lines buffered for a slow reader; beyond them the oldest lines are dropped.
MAX_BUFFERED_BYTES = 1024 * 1024


class LineWriter:
    """Writes lines to a file descriptor whose reader may be slow."""

    def __init__(self, descriptor: int) -> None:
        #: Lines dropped since the last line that reported a number of dropped lines.
        self.dropped = 0
        self._descriptor = descriptor
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0

    def add(self, line: bytes) -> None:
        """Buffer a line, given without its newline."""
        self._buffered.append(line + b"\n")
        self._buffered_bytes += len(line) + 1
        while self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._buffered_bytes -= len(self._buffered.popleft())
            self.dropped += 1

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._buffered and self._is_writable():
            chunk = self._next_chunk()
            try:
                os.write(self._descriptor, chunk)
            except OSError:
                # The reader closed its end, so nothing written from now on would be read.
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


#: The writer of this process to its standard output.
STANDARD_OUTPUT = LineWriter(1)
