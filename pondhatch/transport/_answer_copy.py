"""Copies an answer as it is forwarded, so that it can be kept under an idempotency key."""

from __future__ import annotations

import msgspec

from pondhatch.requests import MAX_KEPT_BODY, Headers
from pondhatch.transport._caller_writer import CallerWriter


class AnswerCopy(msgspec.Struct):
    """A copy of an answer, kept only while its body is at most MAX_KEPT_BODY bytes."""

    status: int = 0
    headers: Headers = ()
    parts: list[bytes] = msgspec.field(default_factory=list)
    size: int = 0

    def add(self, part: bytes) -> None:
        """Append a part; beyond the size limit only the size is counted."""
        self.size += len(part)
        if self.size <= MAX_KEPT_BODY:
            self.parts.append(part)

    def body(self) -> bytes | None:
        """Return the whole body, or None if it was too large to keep."""
        return b"".join(self.parts) if self.size <= MAX_KEPT_BODY else None


class CopyingSink:
    """Copies an answer and forwards it while the caller is connected; see PartSink."""

    def __init__(self, copy: AnswerCopy, writer: CallerWriter) -> None:
        self._copy = copy
        self._writer = writer
        self.ready = writer.ready

    def write(self, part: bytes) -> bool:
        """Copy a part and forward it; see PartSink."""
        self._copy.add(part)
        return self._writer.is_gone or self._writer.write(part)
