"""Stand-in for an engine of the prepared machines; records the requests that it received and ran.

A path under ``/notes/`` or ``/proofs/stream`` is answered by a stream of events, any other by a
whole body; ``/proofs/work/MS`` after MS milliseconds of work. A request
that is addressed to another instance is refused with 421, and one that names a copy or a
reservation which this engine does not hold is refused and not run. A request whose body begins
with one of ``CRASH_BODIES`` ends the engine's process as it begins to run, and one whose prompt has
a part that begins with ``CRASH_PART`` as it begins its answer. ``POST /cold`` with
``{"seconds": 5, "most": 11}`` makes the engine cold for 5 s: its process ends if more than 11
requests arrive within one second. ``POST /brittle`` makes it state that it is brittle, and limits
its places; see BrittleRoom. ``GET /brittle`` returns the times at which it fell over.

With a software version, each event of a stream names it.

Faults:

- ``refuse``, ``throttle``, ``misaddress``: not run; see Faults
- ``shed``: not run, and ask for no requests for ``seconds``
- ``leaving``: announce in an answer that the engine is about to end
- ``cut``: break a stream in the middle, unless it resumes an earlier one
- ``stop-early``: end such a stream inside its middle event, without a reset
- ``unframed``: answer with neither a length nor chunks, so that the answer ends with its connection
- ``pause``: pause such a stream in the middle for ``seconds``
- ``stall``: delay an answer by ``seconds``
- ``cross``: answer under another request's id
- ``fail``: answer 500, as for an error of the engine itself
- ``echo``: repeat the router's request headers in the answer
- ``slow``: a stream takes 2.5 times as long, and the engine reports this pace with its load
- ``garble-load``: report an invalid load
- ``twice-before-next``, ``twice-late``, ``twice-for-same-id``, ``twice-at-once``: send an answer a
  second time; see SurplusAnswers
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred

from fakes._brittle import BrittleRoom
from fakes._endless import ENDLESS_BY_NAME, RUN_NAMES, endless_start
from fakes._faults import Faults
from fakes._spoilt import SPOILT_BY_NAME
from fakes._surplus import SurplusAnswers
from pondhatch.kernel import as_deferred

#: Events in a stream.
STREAM_EVENTS = 6
#: Requests that it runs concurrently, as stated in its entry.
SLOTS = 8
#: Headers that name state (a copy, a reservation) that an engine must hold to run the request.
LOCAL_STATE_HEADERS = ("Kv-From", "Hold")
#: Headers from router to engine that the fault ``echo`` repeats.
ECHOED_HEADERS = ("Expect-Instance", "Request-Priority")
#: Bodies that crash the engine: before its answer begins, and just after the head.
CRASH_BEFORE_HEAD = b"ends its engine at once"
CRASH_AFTER_HEAD = b"ends its engine after the head"
CRASH_BODIES = (CRASH_BEFORE_HEAD, CRASH_AFTER_HEAD)
#: Begins the parts of prompts that crash the engine.
CRASH_PART = "bad0"
#: Seconds from the head of an answer to the crash.
CRASH_DELAY = 0.05
#: Bytes of an answer without end that are sent at a time, and seconds between two times.
ENDLESS_BLOCK_BYTES, ENDLESS_PAUSE = 16 * 1024, 0.005
#: Seconds between two events of a stream.
EVENT_INTERVAL = 0.02
#: Duration of work at a slow engine, in percent of the usual one.
SLOW_PACE = 250
#: Paths whose answers are streams.
STREAM_PATHS = (b"/notes/", b"/proofs/stream")
#: Begins the paths of requests with work; the milliseconds follow.
WORK_PATH = b"/proofs/work/"
#: A load header with values that no engine can have.
GARBLED_LOAD = "7,-1,,1e9"


@dataclass
class _ReceivedRequest:
    """One received request; served as JSON on ``/seen``."""

    id: str
    #: In seconds of the machine's monotonic clock.
    came_at: float
    #: When the engine began to answer; None before that, and for refusals that ask for no rest.
    answered_at: float | None = None
    ran: bool = False
    #: Whether the answer announced that the engine leaves, and the seconds of rest it asked for.
    leaving: bool = False
    rest: float = 0.0
    #: Name of the engine that it was meant for, as its router gave it; empty if it gave none.
    meant_for: str = ""


class MachinesEngine:
    """One engine's state and its HTTP interface."""

    def __init__(
        self,
        name: str,
        software_version: str = "",
        events: int = STREAM_EVENTS,
        event_interval: float = EVENT_INTERVAL,
    ) -> None:
        self.faults = Faults()
        self.surplus = SurplusAnswers(self.faults)
        self.app = Klein()
        self._software_version = software_version
        #: Events in a stream, and the seconds between two of them.
        self._events = events
        self._event_interval = event_interval
        #: Requests that ran: id, headers and outcome of each.
        self.runs: list[dict[str, Any]] = []
        #: Headers of each received request, refused ones included: pairs, names in lower case.
        self.received_headers: list[list[tuple[str, str]]] = []
        #: Received requests and how each was answered, in the order of arrival.
        self.received_requests: list[_ReceivedRequest] = []
        self._name = name
        self._room = BrittleRoom()
        self._cold_until = 0.0
        #: Requests within one second that it survives while it is cold.
        self._cold_limit = 0
        #: Arrival times of the requests of the last second.
        self._recent_arrivals: deque[float] = deque()
        self._route()

    def _route(self) -> None:
        @self.app.route("/runs")
        def runs(request: Any) -> bytes:
            return json.dumps(self.runs).encode()

        @self.app.route("/asked")
        def asked(request: Any) -> bytes:
            return json.dumps(self.received_headers).encode()

        @self.app.route("/cold", methods=["POST"])
        def cold(request: Any) -> bytes:
            body = json.loads(request.content.read())
            self._cold_until = time.monotonic() + body["seconds"]
            self._cold_limit = body["most"]
            return b"ok\n"

        @self.app.route("/brittle")
        def brittle(request: Any) -> bytes:
            if request.method == b"POST":
                self._room.set(json.loads(request.content.read()))
            return json.dumps(self._room.falls).encode()

        @self.app.route("/seen")
        def seen(request: Any) -> bytes:
            return json.dumps([asdict(each) for each in self.received_requests]).encode()

        self.faults.add_route(self.app)
        self.surplus.add_route(self.app)

        @self.app.route("/", branch=True)
        def run(request: Any) -> Deferred[bytes | None]:
            return as_deferred(self._answer(request))

    async def _answer(self, request: Any) -> bytes:
        """Answer a request if there is room for it."""
        request.setHeader("Keep-Alive", "timeout=5")
        request.setHeader("Attempt-Id", request.getHeader("Attempt-Id") or "")
        if self._room.is_down():
            request.channel.forceAbortClient()
            return b""
        if self._room.refusal_limit is not None:
            request.setHeader("Server-Brittle", str(self._room.refusal_limit))
        if not self._room.enter():
            request.setResponseCode(503)
            request.setHeader("Not-Executed", "1")
            return b""
        try:
            return await self._answer_in_place(request)
        finally:
            self._room.leave()

    async def _answer_in_place(self, request: Any) -> bytes:
        self.received_headers.append(_header_pairs(request))
        received = _ReceivedRequest(
            request.getHeader("Attempt-Id") or "",
            time.monotonic(),
            meant_for=request.getHeader("Expect-Instance") or "",
        )
        self.received_requests.append(received)
        if self.faults.consume("leaving"):
            request.setHeader("Server-Leaving", "1")
            received.leaving = True
        if request.getHeader("Expect-Instance") != self._name:
            request.setResponseCode(421)
            received.leaving = False
            return b""
        self._record_arrival()
        if fault := self.faults.consume("shed"):
            request.setResponseCode(503)
            request.setHeader("Not-Executed", "1")
            request.setHeader("Retry-After", f"{fault.seconds:g}")
            received.answered_at, received.rest = time.monotonic(), fault.seconds
            return b""
        needs_missing_state = any(
            request.getHeader(name) is not None for name in LOCAL_STATE_HEADERS
        )
        refusal = 503 if needs_missing_state else self.faults.consume_refusal()
        if refusal is not None:
            request.setResponseCode(refusal)
            request.setHeader("Not-Executed", "1")
            return b""
        attempt = request.getHeader("Attempt-Id") or ""
        headers = {
            name.decode().lower(): values[0].decode()
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        run = {"id": attempt, "headers": headers, "outcome": "running"}
        self.runs.append(run)
        received.ran = True
        disconnected = asyncio.Event()
        request.notifyFinish().addErrback(lambda _: disconnected.set())
        if fault := self.faults.consume("stall"):
            await asyncio.sleep(fault.seconds)
        await self._crash_if_asked(request, request.content.read())
        request.content.seek(0)
        await asyncio.sleep(_work_seconds(request.path))
        received.answered_at = time.monotonic()
        event_interval = self._set_load_header(request)
        request.setHeader("Attempt-Id", "another" if self.faults.consume("cross") else attempt)
        request.setHeader("Instance-Signature", f"{self._name}.{attempt}")
        if self.faults.consume("echo"):
            request.setHeader("X-Echoed", "1")
            for name in ECHOED_HEADERS:
                request.setHeader(name, request.getHeader(name) or "")
        if self.faults.consume("unframed"):
            _end_with_connection(request)
        if self.faults.consume("endless"):
            run["outcome"] = "endless"
            await self._answer_without_end(request, attempt, disconnected)
            return b""
        if self.faults.consume("spoil"):
            run["outcome"] = "spoilt"
            await self._answer_spoilt(request, attempt, disconnected)
            return b""
        if self.faults.consume("fail"):
            request.setResponseCode(500)
            return b"failed"
        if not request.path.startswith(STREAM_PATHS):
            run["outcome"] = "gone" if disconnected.is_set() else "whole"
            return self._plain_body(request)
        run["outcome"] = await self._stream(request, run, disconnected, event_interval)
        return b""

    def _set_load_header(self, request: Any) -> float:
        """Set the load header if a fault demands it; return the seconds between two events."""
        if self.faults.consume("garble-load"):
            request.setHeader("Instance-Load", GARBLED_LOAD)
        if not self.faults.consume("slow"):
            return self._event_interval
        running = sum(run["outcome"] == "running" for run in self.runs)
        request.setHeader("Instance-Load", f"{running},0,{SLOTS},{SLOW_PACE}")
        return self._event_interval * SLOW_PACE / 100

    def _record_arrival(self) -> None:
        """Record an arrival, and end the process if a cold engine gets too many in one second."""
        now = time.monotonic()
        self._recent_arrivals.append(now)
        while self._recent_arrivals[0] <= now - 1.0:
            self._recent_arrivals.popleft()
        if now < self._cold_until and len(self._recent_arrivals) > self._cold_limit:
            os._exit(1)

    async def _crash_if_asked(self, request: Any, body: bytes) -> None:
        """End the process if the body is one of CRASH_BODIES."""
        if body == CRASH_AFTER_HEAD:
            request.setHeader("Attempt-Id", request.getHeader("Attempt-Id") or "")
            request.setHeader("Content-Type", "text/event-stream")
            request.write(b"id: ")
            await asyncio.sleep(CRASH_DELAY)
        if body.startswith(CRASH_BODIES):
            os._exit(1)
        parts = (request.getHeader("Prefix-Hash") or "").split(",")
        if any(part.startswith(CRASH_PART) for part in parts):
            await asyncio.sleep(CRASH_DELAY)
            os._exit(1)

    async def _answer_without_end(
        self, request: Any, attempt: str, disconnected: asyncio.Event
    ) -> None:
        """Send bytes that are no answer, or no whole one, until the caller closes."""
        name = self.faults.rng.choice(RUN_NAMES)
        names = f"Attempt-Id: {attempt}\r\nInstance-Signature: {self._name}.{attempt}\r\n"
        transport, unit = request.channel.transport, ENDLESS_BY_NAME[name].unit
        transport.write(endless_start(name, names.encode()))
        while not disconnected.is_set():
            transport.write(unit * (ENDLESS_BLOCK_BYTES // len(unit)))
            await asyncio.sleep(ENDLESS_PAUSE)

    async def _answer_spoilt(self, request: Any, attempt: str, disconnected: asyncio.Event) -> None:
        """Send an answer with a spoilt head or frame, and leave the rest to the caller."""
        spoilt = SPOILT_BY_NAME[self.faults.rng.choice(sorted(SPOILT_BY_NAME))]
        names = f"Attempt-Id: {attempt}\r\nInstance-Signature: {self._name}.{attempt}\r\n"
        if request.path.startswith(STREAM_PATHS):
            names += "Content-Type: text/event-stream\r\n"
            after = int(request.getHeader("Last-Event-Id") or 0)
            body = b"".join(map(self._event, range(after + 1, self._events + 1)))
        else:
            body = self._plain_body(request)
        request.channel.transport.write(spoilt.written(names.encode(), body))
        if spoilt.closes:
            request.channel.transport.loseConnection()
        await disconnected.wait()

    def _plain_body(self, request: Any) -> bytes:
        return b"%s by %s" % (request.content.read() or b"nothing", self._name.encode())

    def _event(self, number: int) -> bytes:
        data = f"{number} {self._software_version}".rstrip()
        return f"id: {number}\ndata: {data}\n\n".encode()

    async def _stream(
        self, request: Any, run: dict[str, Any], disconnected: asyncio.Event, event_interval: float
    ) -> str:
        request.setHeader("Content-Type", "text/event-stream")
        after = int(request.getHeader("Last-Event-Id") or 0)
        middle = self._events // 2
        for number in range(after + 1, self._events + 1):
            if disconnected.is_set():
                return "gone"
            if number == middle and not after and self.faults.consume("cut"):
                request.write(b"id: %d\ndata: ha" % number)
                request.channel.forceAbortClient()
                return "cut"
            if number == middle and not after and self.faults.consume("stop-early"):
                request.write(b"id: %d\ndata: ha" % number)
                return "stopped"
            if number == middle and not after and (fault := self.faults.consume("pause")):
                run["outcome"] = "paused"
                await asyncio.sleep(fault.seconds)
            request.write(self._event(number))
            await asyncio.sleep(event_interval)
        return "whole"


def _work_seconds(path: bytes) -> float:
    """Return the seconds of work that a request states in its path."""
    if not path.startswith(WORK_PATH):
        return 0.0
    return int(path.removeprefix(WORK_PATH)) / 1000


def _end_with_connection(request: Any) -> None:
    """Answer without a length or chunks; twisted answers so where it takes the caller for old."""
    request.clientproto = b"HTTP/1.0"
    request.setHeader("Connection", "close")
    request.channel.persistent = False


def _header_pairs(request: Any) -> list[tuple[str, str]]:
    raw_headers = request.requestHeaders.getAllRawHeaders()
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, values in raw_headers
        for value in values
    ]
