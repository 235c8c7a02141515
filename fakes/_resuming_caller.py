"""A caller that reads part of a stream and takes it up again, perhaps at another router."""

from __future__ import annotations

import re
import time
import uuid
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException, HTTPResponse

#: One event of a stand-in's stream, with the software version of the engine that sent it.
EVENT = re.compile(rb"id: (\d+)\ndata: \d+ ?([^\n]*)\n\n")
#: Seconds without a byte after which the caller gives up.
SILENCE_SECONDS = 5.0
#: Milliseconds that the caller waits for a whole answer.
DEADLINE_MS = 8000
OK = 200


@dataclass
class StreamTry:
    """One try of a stream, as the caller saw it."""

    attempt: str
    #: 0 if no head of an answer came.
    status: int = 0
    body: bytes = b""
    #: When it was sent, in seconds of the machine's monotonic clock.
    began: float = 0.0
    #: Seconds from the request to the end of what was read.
    seconds: float = 0.0

    @property
    def events(self) -> list[tuple[int, str]]:
        """The complete events: their numbers, and the software versions that they name."""
        found = EVENT.findall(self.body)
        return [(int(number), version.decode()) for number, version in found]


@dataclass
class ResumingCaller:
    """A caller of one stream, over all its tries."""

    path: str
    key: str
    #: Model of the request, so that its chat has a home of its own; empty for none.
    chat: str = ""
    tries: list[StreamTry] = field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """The events of all tries, in the order in which they came."""
        return [event for each in self.tries for event in each.events]

    @property
    def software_versions(self) -> set[str]:
        """The software versions that the events of all tries name."""
        return {version for _, version in self.events}

    @property
    def first_attempt(self) -> str:
        """The id of the try that brought the first event; empty without one."""
        return next((each.attempt for each in self.tries if each.events), "")

    def read(self, router_url: str, max_events: int | None = None, **headers: str) -> StreamTry:
        """Request the stream from where it ended, and read up to ``max_events`` events of it.

        Names the try that brought the first event, if there is one. The connection is closed
        after that many events, or once the answer ends. ``headers`` override those of the caller.
        """
        one_try = StreamTry(uuid.uuid4().hex[:16], began=time.monotonic())
        connection = HTTPConnection(router_url.removeprefix("http://"), timeout=SILENCE_SECONDS)
        try:
            connection.request("POST", self.path, b"x", self._headers(one_try, headers))
            response = connection.getresponse()
            one_try.status = response.status
            _read_events(response, one_try, max_events)
        except (OSError, HTTPException):
            pass  # The try ends with what was read.
        finally:
            connection.close()
            one_try.seconds = time.monotonic() - one_try.began
        self.tries.append(one_try)
        return one_try

    def _headers(self, one_try: StreamTry, headers: dict[str, str]) -> dict[str, str]:
        sent = {
            "Host": "desk.example",
            "Authorization": f"Bearer {self.key}",
            "Attempt-Id": one_try.attempt,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if self.chat:
            sent["Prefix-Hash"] = f"{self.chat}:100,ff:10"
        if self.events:
            sent["Last-Event-Id"] = str(self.events[-1][0])
            sent["Resumes"] = self.first_attempt
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        return {name: value for name, value in sent.items() if value}


def _read_events(response: HTTPResponse, one_try: StreamTry, max_events: int | None) -> None:
    while max_events is None or len(one_try.events) < max_events:
        try:
            part = response.read1(65536)
        except TimeoutError:
            return
        if not part:
            return
        one_try.body += part
