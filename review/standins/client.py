"""Stand-in for a client: sends requests over kept connections, one at a time on each."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

from standins.wire import Headers, message, read_body, read_head, value_of


@dataclass
class Attempt:
    """One client attempt, and what came of it."""

    id: str
    route: str
    router: str
    sent_at: float
    #: None if the connection ended, or the client gave up, before a whole answer.
    status: int | None = None
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    ended_at: float = 0.0
    #: Whether an answer began.
    begun: bool = False


class Connection:
    """One kept connection to a router; a lost one is opened anew for the next request."""

    def __init__(self, name: str, address: str) -> None:
        self._name = name
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        attempts: list[Attempt],
        route: str,
        method: str,
        path: str,
        host: str,
        headers: Headers,
        deadline_ms: int,
        body: bytes = b"",
        attempt_id: str = "",
    ) -> Attempt:
        """Send one attempt and return it once it is answered or given up."""
        found = attempt_id or f"{random.getrandbits(64):016x}"
        attempt = Attempt(found, route, self._name, time.monotonic())
        attempts.append(attempt)
        head: Headers = [
            ("Host", host),
            ("Attempt-Id", attempt.id),
            ("Deadline-Ms", str(deadline_ms)),
            *headers,
        ]
        raw = message(f"{method} {path} HTTP/1.1", head, body)
        if method == "GET":
            raw = raw.replace(b"Content-Length: 0\r\n", b"")
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._exchange(attempt, raw)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
        attempt.ended_at = time.monotonic()
        return attempt

    async def _exchange(self, attempt: Attempt, raw: bytes) -> None:
        if self._streams is None:
            host, _, port = self._address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        writer.write(raw)
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        attempt.begun = True
        attempt.headers = head[1]
        attempt.body = await read_body(reader, head[1])
        attempt.status = int(head[0].split()[1])
        if value_of(head[1], "connection").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        streams, self._streams = self._streams, None
        if streams is not None:
            streams[1].close()


def as_line(attempt: Attempt) -> dict[str, Any]:
    """Return an attempt as a line of the record."""
    return {
        "at": round(attempt.sent_at, 4),
        "event": "attempt",
        "id": attempt.id,
        "route": attempt.route,
        "router": attempt.router,
        "status": attempt.status,
        "ended": round(attempt.ended_at, 4),
    }
