"""Callers that keep their connections to one router, and use them until its process is gone."""

from __future__ import annotations

import itertools
import threading
import time
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException, HTTPResponse

#: Seconds without a byte after which a caller gives up.
SILENCE_SECONDS = 12.0
DEADLINE_MS = 8000
#: Seconds from an answer to the next request.
PAUSE_SECONDS = 0.02


@dataclass
class KeptCall:
    """One request, as its caller saw it; times in seconds of the machine's monotonic clock."""

    attempt: str
    path: str
    sent_at: float
    #: When its answer, or its connection, ended; 0.0 while neither has.
    ended_at: float = 0.0
    #: 0 if no head of an answer came.
    status: int = 0
    is_whole: bool = False
    retry_after: str | None = None
    #: Whether the router took the connection; otherwise nobody read the request.
    was_connected: bool = True

    @property
    def is_cut(self) -> bool:
        """Whether its connection ended without a whole answer."""
        return self.was_connected and not self.is_whole


@dataclass
class KeptCaller:
    """Sends requests one after the other over a connection that it keeps."""

    address: str
    key: str
    #: The paths that it asks for, in turn.
    paths: Iterable[str]
    method: str = "POST"
    #: Seconds before its first request.
    delay: float = 0.0
    calls: list[KeptCall] = field(default_factory=list)

    def run(self, is_over: Callable[[], bool]) -> None:
        """Send requests until ``is_over``, or until the router refuses connections."""
        time.sleep(self.delay)
        connection = self._new_connection()
        for path in itertools.cycle(self.paths):
            if is_over():
                break
            call = KeptCall(uuid.uuid4().hex[:16], path, time.monotonic())
            self.calls.append(call)
            self._send(connection, call)
            call.ended_at = time.monotonic()
            if not call.was_connected:
                break
            if not call.is_whole:
                connection.close()
            time.sleep(PAUSE_SECONDS)
        connection.close()

    def _new_connection(self) -> HTTPConnection:
        return HTTPConnection(self.address, timeout=SILENCE_SECONDS)

    def _send(self, connection: HTTPConnection, call: KeptCall) -> None:
        if connection.sock is None:
            try:
                connection.connect()
            except OSError:
                call.was_connected = False
                return
        headers = {
            "Host": "desk.example",
            "Authorization": f"Bearer {self.key}",
            "Attempt-Id": call.attempt,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        call.sent_at = time.monotonic()
        try:
            connection.request(self.method, call.path, b"x", headers)
            _read(connection.getresponse(), call)
        except (OSError, HTTPException):
            return  # It was cut.


def _read(response: HTTPResponse, call: KeptCall) -> None:
    call.status = response.status
    call.retry_after = response.headers["Retry-After"]
    response.read()
    call.is_whole = True


class KeptCallers:
    """Several callers, each in a thread of its own."""

    def __init__(self, callers: Iterable[KeptCaller]) -> None:
        self._callers = tuple(callers)
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=each.run, args=(self._over.is_set,), daemon=True)
            for each in self._callers
        ]

    def start(self) -> None:
        """Have all of them begin."""
        for each in self._threads:
            each.start()

    def end(self) -> list[KeptCall]:
        """Wait until their last requests have ended; return all calls in the order of sending."""
        self._over.set()
        for each in self._threads:
            each.join()
        calls = [call for caller in self._callers for call in caller.calls]
        return sorted(calls, key=lambda call: call.sent_at)
