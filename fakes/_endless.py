"""An upstream that sends bytes without end, until its caller closes the connection.

It answers in the dialects of the prepared machines and of the standard interface, and names each
request that it answers. Its bytes are sent at full speed, or in drops.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

from fakes._raw_upstream import RawHandler, RawRequest, RawUpstream
from fakes._steady_caller import processor_waits

OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
NOT_RUN = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX-Not-Run: 1\r\n"
#: Bytes sent at a time at full speed.
BLOCK_BYTES = 64 * 1024
#: Seconds between two drops.
DROP_SECONDS = 0.02
WHOLE_BODY = b"sound"
SIGNATURE = b"i-endless"


@dataclass(frozen=True)
class Endless:
    """Bytes without end: their start, with the ids put in after the first line, and the rest."""

    start: bytes
    #: Repeated until the caller closes.
    unit: bytes


#: By name: what may stand in a head, and in a body.
ENDLESS_BY_NAME = {
    "interim-responses": Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header-lines": Endless(OK_HEAD, b"X-More: and more\r\n"),
    "one-line": Endless(OK_HEAD + b"X-Long: ", b"x"),
    "no-answer": Endless(b"", b"what is this"),
    "chunk-extension": Endless(OK_HEAD + CHUNKED + b"5;more=", b"x"),
    "trailers": Endless(OK_HEAD + CHUNKED + b"5\r\nsound\r\n0\r\n", b"X-More: and more\r\n"),
    "refusal-body": Endless(NOT_RUN + CHUNKED, b"5\r\nsound\r\n"),
    "event": Endless(OK_HEAD + EVENTS + b"\r\ndata: ", b"x"),
    "comments": Endless(OK_HEAD + EVENTS + b"\r\n", b": still here\n"),
    "keep-alives": Endless(OK_HEAD + EVENTS + b"\r\n", b": still here\n\n"),
    "chunks": Endless(OK_HEAD + CHUNKED, b"400\r\n" + b"x" * 0x400 + b"\r\n"),
    "small-chunks": Endless(OK_HEAD + CHUNKED, b"1\r\nx\r\n"),
    "unframed-body": Endless(OK_HEAD + b"\r\n", b"x" * 1024),
}
#: Those by which an engine says nothing that is untrue of a request that it runs.
RUN_NAMES = tuple(sorted(ENDLESS_BY_NAME.keys() - {"refusal-body"}))
#: Those that are a valid answer as far as it goes, which ends at the request's deadline.
VALID_BODIES = frozenset({"chunks", "small-chunks", "unframed-body"})


def endless_start(name: str, names: bytes) -> bytes:
    """Return what precedes the endless bytes, with the headers that name a request."""
    first, end, rest = ENDLESS_BY_NAME[name].start.partition(b"\r\n")
    return first + end + (names if end else b"") + rest


class EndlessUpstream(RawUpstream):
    """Answers requests whose path names one of ENDLESS_BY_NAME without end, and others whole.

    ``callers`` are the ids of the processes that are to give up within ``limit`` seconds. What one
    of them, or this upstream, waits for a processor after that is not counted: only the longest of
    these waits, as they may overlap.
    """

    def __init__(
        self, host: str, port: int = 0, callers: tuple[int, ...] = (), limit: float = 0.0
    ) -> None:
        super().__init__(host, port, _Handler)
        self.callers, self.limit = callers, limit
        #: Names one of ENDLESS_BY_NAME, or one in drops, by which every request is answered.
        self.always = ""
        #: Answers without end that were begun, in all.
        self.begun = 0
        #: Seconds from the first endless byte until the caller closed, by name, in order.
        self.seconds_by_name: dict[str, list[float]] = {}


class _Handler(RawHandler):
    signature = SIGNATURE

    def answer(self, request: RawRequest) -> bool:
        upstream: EndlessUpstream = self.server.upstream
        name = upstream.always or request.path.rpartition("/")[2]
        if name.removesuffix("-in-drops") in ENDLESS_BY_NAME:
            self._send_endless(upstream, name, request.names)
            return False
        length = b"Content-Length: %d\r\n\r\n" % len(WHOLE_BODY)
        self.wfile.write(OK_HEAD + request.names + length + WHOLE_BODY)
        return True

    def _send_endless(self, upstream: EndlessUpstream, name: str, names: bytes) -> None:
        kind = name.removesuffix("-in-drops")
        endless = ENDLESS_BY_NAME[kind]
        started = time.monotonic()
        upstream.begun += 1
        waits = _WaitsSince(upstream.limit, upstream.callers)
        try:
            self.connection.sendall(endless_start(kind, names))
            if name.endswith("-in-drops"):
                while True:
                    self.connection.sendall(endless.unit)
                    time.sleep(DROP_SECONDS)
            block = endless.unit * (BLOCK_BYTES // len(endless.unit) + 1)
            while True:
                self.connection.sendall(block)
        finally:
            seconds = upstream.seconds_by_name.setdefault(name, [])
            seconds.append(time.monotonic() - started - waits.longest())


class _WaitsSince:
    """The waits of processes and of this thread for a processor, from some time on."""

    def __init__(self, seconds: float, processes: tuple[int, ...]) -> None:
        self._waiting = (f"self/task/{threading.get_native_id()}", *map(str, processes))
        self._before: list[float] | None = None
        self._timer = threading.Timer(seconds, self._note)
        self._timer.daemon = True
        self._timer.start()

    def _note(self) -> None:
        self._before = processor_waits(self._waiting)

    def longest(self) -> float:
        """Return the longest of them so far; 0 before that time."""
        self._timer.cancel()
        if self._before is None:
            return 0.0
        after = processor_waits(self._waiting)
        return max(end - begin for begin, end in zip(self._before, after, strict=True))
