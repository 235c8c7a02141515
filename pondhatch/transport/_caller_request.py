"""Callers' requests, handled as soon as their head is received.

twisted.web reads the whole body, into a file if it is large, before it looks up a resource.
Here the body is a pipe: a slow upstream slows the caller down, and nothing is written to disk.
"""

from __future__ import annotations

import io
from typing import Any

from twisted.python.failure import Failure
from twisted.web.server import Request

from pondhatch.requests import CallerGone, Headers
from pondhatch.transport._caller_body import CallerBody
from pondhatch.transport._headers import as_text
from pondhatch.transport._parts import PartPipe


class CallerRequest(Request):
    """A request that is handled as soon as its head is received."""

    channel: Any

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.pipe = PartPipe(self._pause_body, self._resume_body)
        self._length: int | None = None

    def gotLength(self, length: int | None) -> None:
        """Start handling the request; its body follows through the pipe."""
        self.content = io.BytesIO()
        request_line = (self.channel._command, self.channel._path, self.channel._version)
        self.channel.callLater(0, self._start_handling, length, *request_line)

    def body(self) -> CallerBody:
        """Return the request body."""
        return CallerBody(self._length, self.pipe)

    def text_headers(self) -> Headers:
        """Return the headers as they were received, with one character for each byte."""
        return tuple(
            (as_text(name), as_text(value))
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        )

    def handleContentChunk(self, data: bytes) -> None:
        """Put a part of the body into the pipe."""
        self.pipe.put(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """End the body; handling the request started with its head."""
        self.pipe.end()

    def connectionLost(self, reason: Failure) -> None:
        """Fail the pipe, so that the body's reader gets CallerGone."""
        self.pipe.fail(CallerGone("the caller closed its connection"))
        super().connectionLost(reason)

    def finish(self) -> None:
        """Finish the answer; close the connection if a part of the body is unread."""
        if not self.pipe.ended and self.channel is not None:
            if not self.startedWriting:
                self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
            self.channel.stop_accepting()
        super().finish()

    def is_open(self) -> bool:
        """Return whether the answer may still be written or finished."""
        is_connected = self.channel is not None and not self._disconnected
        return is_connected and not self.finished and not self.channel.is_aborted

    def abort(self) -> None:
        """Abort the connection, as the answer will not be complete."""
        if self.is_open():
            self.channel.forceAbortClient()

    def _start_handling(
        self, length: int | None, command: bytes, path: bytes, version: bytes
    ) -> None:
        if self.channel is None or self._disconnected:
            return
        self._length = length
        self.args = {}
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.split(b"?", 1)[0]
        self.process()

    def _pause_body(self) -> None:
        if self.channel is not None:
            self.channel.pause_reading()

    def _resume_body(self) -> None:
        if self.channel is not None:
            self.channel.resume_reading()
