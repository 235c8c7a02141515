"""Sends answers a second time, in the connections of every stand-in that answers requests.

Any answer may be sent again, refusals, streams and answers to polls included, except to the paths
by which tests ask a stand-in. Each of the faults is a moment at which the second copy is sent:

- ``twice-before-next``: when the next request has arrived on the connection, before its answer
- ``twice-late``: 1 to 30 ms after the answer, mostly on an idle connection; an answer that is
  being written then is not interrupted
- ``twice-for-same-id``: only when a request with the same id has arrived on the same connection
- ``twice-at-once``: in the same bytes as the answer, or as the end of a stream

``GET /surplus`` returns the moment, id and status of each second copy that was sent.
"""

from __future__ import annotations

import functools
import json
import random
from dataclasses import asdict, dataclass
from typing import Any

from klein import Klein
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, _GenericHTTPChannelProtocol
from twisted.web.server import Site

from fakes._faults import Faults

BEFORE_NEXT = "twice-before-next"
LATE = "twice-late"
FOR_SAME_ID = "twice-for-same-id"
AT_ONCE = "twice-at-once"
MOMENTS = (BEFORE_NEXT, LATE, FOR_SAME_ID, AT_ONCE)
#: Range of the seconds after which a late copy is sent.
LATE_SECONDS = (0.001, 0.030)
#: Longest answer that is sent again, in bytes.
MAX_REPEATED_BYTES = 64 * 1024
#: Headers that hold the id of a request.
ID_HEADERS = ("Attempt-Id", "X-Request-Id")
#: Paths by which tests ask a stand-in.
TEST_PATHS = frozenset(
    f"/{name}".encode()
    for name in ("faults", "surplus", "runs", "asked", "seen", "cold", "brittle", "calls", "events")
)


@dataclass(frozen=True)
class SurplusCopy:
    """A second copy of an answer."""

    #: One of MOMENTS.
    moment: str
    #: Id of the request that was answered; empty if it had none.
    id: str
    status: int


@dataclass(frozen=True)
class _Answer:
    """A whole answer as it was written."""

    id: str
    status: int
    content: bytes


class SurplusAnswers:
    """The faults of one stand-in, and the second copies that it sent."""

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.sent: list[SurplusCopy] = []
        self._rng = random.Random(1)

    def late_seconds(self) -> float:
        """Return the seconds after which a late copy is due."""
        return self._rng.uniform(*LATE_SECONDS)

    def add_route(self, app: Klein) -> None:
        """Serve ``GET /surplus``."""

        @app.route("/surplus")
        def surplus(request: Any) -> bytes:
            return json.dumps([asdict(each) for each in self.sent]).encode()


class RepeatingSite(Site):
    """Serves a stand-in, and sends answers again as its faults demand."""

    def __init__(self, resource: Any, surplus: SurplusAnswers) -> None:
        super().__init__(resource)
        # Called as a factory of protocols, which twisted types as a class.
        self.protocol: Any = functools.partial(_new_protocol, surplus)


def _new_protocol(surplus: SurplusAnswers) -> Any:
    return _GenericHTTPChannelProtocol(_RepeatingChannel(surplus))


class _RepeatingChannel(HTTPChannel):
    """A connection that keeps the bytes of its answers while a fault may ask for them again."""

    transport: Any
    callLater: Any
    #: The target of the request that is being received.
    _path: Any

    def __init__(self, surplus: SurplusAnswers) -> None:
        super().__init__()
        self._surplus = surplus
        #: The answer being written; None if it is not to be kept.
        self._written: bytearray | None = None
        self._answered_id, self._answered_status = "", 0
        self._latest: _Answer | None = None
        self._answer_by_id: dict[str, _Answer] = {}
        #: Late copies that wait for the end of the answer being written.
        self._delayed: list[_Answer] = []
        self._is_lost = False

    def allContentReceived(self) -> None:
        """Send the copies that are due before the answer to a request that has arrived."""
        faults = self._surplus.faults
        self._written = None
        if self._path.partition(b"?")[0] not in TEST_PATHS:
            self._answered_id = _id_of(self.requests[-1])
            self._send_before_answer()
            if any(faults.is_armed(moment) for moment in MOMENTS):
                self._written = bytearray()
        super().allContentReceived()

    def _send_before_answer(self) -> None:
        faults, latest, same = (
            self._surplus.faults,
            self._latest,
            self._answer_by_id.get(self._answered_id),
        )
        if latest is not None and faults.consume(BEFORE_NEXT):
            self._send_again(latest, BEFORE_NEXT)
        if same is not None and self._answered_id and faults.consume(FOR_SAME_ID):
            self._send_again(same, FOR_SAME_ID)

    def writeHeaders(self, version: bytes, code: bytes, reason: bytes, headers: Any) -> None:
        """Write and keep an answer's head."""
        lines = [b"%s %s %s" % (version, code, reason)]
        for name, values in headers.getAllRawHeaders():
            lines += [b"%s: %s" % (name, value) for value in values]
        self._answered_status = int(code)
        self._keep(b"\r\n".join([*lines, b"", b""]))
        super().writeHeaders(version, code, reason, headers)

    def write(self, data: bytes) -> None:
        """Write and keep a part of an answer."""
        self._keep(data)
        super().write(data)

    def writeSequence(self, iovec: Any) -> None:
        """Write and keep parts of an answer."""
        self._keep(b"".join(iovec))
        super().writeSequence(iovec)

    def requestDone(self, request: Any) -> None:
        """Send the copies that are due at the end of an answer, and plan the late one."""
        written, self._written = self._written, None
        if written is not None and self.persistent and len(written) <= MAX_REPEATED_BYTES:
            self._note_answer(_Answer(self._answered_id, self._answered_status, bytes(written)))
        while self._delayed:
            self._send_again(self._delayed.pop(0), LATE)
        super().requestDone(request)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Send nothing more."""
        self._is_lost = True
        super().connectionLost(reason)

    def _keep(self, data: bytes) -> None:
        if self._written is not None and len(self._written) <= MAX_REPEATED_BYTES:
            self._written += data

    def _note_answer(self, answer: _Answer) -> None:
        self._latest = self._answer_by_id[answer.id] = answer
        if self._surplus.faults.consume(AT_ONCE):
            self._send_again(answer, AT_ONCE)
        if self._surplus.faults.consume(LATE):
            self.callLater(self._surplus.late_seconds(), self._send_late, answer)

    def _send_late(self, answer: _Answer) -> None:
        if self.requests and self.requests[0].startedWriting:
            self._delayed.append(answer)
        else:
            self._send_again(answer, LATE)

    def _send_again(self, answer: _Answer, moment: str) -> None:
        if self._is_lost:
            return
        self.transport.write(answer.content)
        self._surplus.sent.append(SurplusCopy(moment, answer.id, answer.status))


def _id_of(request: Any) -> str:
    for name in ID_HEADERS:
        if (found := request.requestHeaders.getRawHeaders(name)) is not None:
            return str(found[0])
    return ""
