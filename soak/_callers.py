"""Callers, each of which stays on one connection, and so at one router, until it closes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import uuid

import h11

from soak._fleet import SoakFleet
from soak._records import Attempt, Route

ROUTES = (
    Route("/notes/a", is_repeatable=True, is_stream=True),
    Route("/notes/b", is_repeatable=True, is_stream=True),
    Route("/proofs/a", is_repeatable=False, is_stream=False),
    Route("/x", is_repeatable=True, is_stream=False),
)
KEY = "key-1"
BODY = b"body"
#: Sent by a slowly reading caller to a plain service, which echoes it: more than a router and the
#: kernel buffer for one connection.
LARGE_BODY = BODY * 100_000
#: Bytes that a slowly reading caller reads at once.
SLOW_CHUNK_BYTES = 32 * 1024
#: Seconds between two reads of a slowly reading caller.
SLOW_PAUSE = 0.05
#: Deadline sent with a request, in milliseconds, and seconds until a caller gives up on a router.
DEADLINE_MS = 4000
ANSWER_TIMEOUT = 6.0
#: Mean seconds between two requests of one caller, normally and in a burst.
MEAN_PAUSE, MEAN_BURST_PAUSE = 0.25, 0.05
CHUNK_BYTES = 64 * 1024


class Caller:
    """A caller that sends one request after the other."""

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._router = ""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        #: Whether it sends at the rate of a burst.
        self.is_in_burst = False
        #: Number of current faults that make it read slowly.
        self.slow_read_faults = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                pause = MEAN_BURST_PAUSE if self.is_in_burst else MEAN_PAUSE
                await asyncio.sleep(self._rng.expovariate(1 / pause))
                await self._send()
        finally:
            self._close()

    async def _send(self) -> None:
        try:
            reader, writer = self._streams or await self._connect()
        except OSError:
            return
        route, attempt_id = self._rng.choice(ROUTES), uuid.uuid4().hex[:16]
        started = Attempt(attempt_id, route, self._router, time.monotonic(), 0.0)
        answer = _Answer(self.slow_read_faults > 0 and not route.is_stream)
        with contextlib.suppress(OSError, TimeoutError, h11.ProtocolError):
            async with asyncio.timeout(ANSWER_TIMEOUT):
                await answer.exchange(reader, writer, route, attempt_id)
        if not answer.keeps_connection:
            self._close()
        self._fleet.records.attempts.append(answer.finished_attempt(started))

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        running = [
            each for each in self._fleet.routers if each.name not in self._fleet.down_routers
        ]
        router = self._rng.choice(running or self._fleet.routers)
        host, _, port = router.caller_url.removeprefix("http://").rpartition(":")
        self._router = router.name
        async with asyncio.timeout(ANSWER_TIMEOUT):
            self._streams = await asyncio.open_connection(host, int(port))
        return self._streams

    def _close(self) -> None:
        streams, self._streams = self._streams, None
        if streams is not None:
            streams[1].transport.abort()


class _Answer:
    """One answer, as far as it was received."""

    def __init__(self, is_slow: bool = False) -> None:
        self.keeps_connection = False
        self._is_slow = is_slow
        self._status: int | None = None
        self._signature = ""
        self._is_whole = False
        self._body = bytearray()

    async def exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        route: Route,
        attempt_id: str,
    ) -> None:
        """Send a request and read its answer. Raises OSError and h11.ProtocolError."""
        http = h11.Connection(h11.CLIENT)
        body = LARGE_BODY if self._is_slow else BODY
        parts = [_request(route, attempt_id, len(body)), h11.Data(data=body), h11.EndOfMessage()]
        for part in parts:
            writer.write(http.send(part) or b"")
        await writer.drain()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self._read_chunk(reader))
            elif isinstance(event, h11.Response):
                self._status = event.status_code
                values = dict(event.headers)
                self._signature = values.get(b"instance-signature", b"").decode()
            elif isinstance(event, h11.Data):
                self._body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._is_whole = True
                self.keeps_connection = http.our_state is h11.DONE
                return
            else:
                return

    async def _read_chunk(self, reader: asyncio.StreamReader) -> bytes:
        if not self._is_slow:
            return await reader.read(CHUNK_BYTES)
        await asyncio.sleep(SLOW_PAUSE)
        return await reader.read(SLOW_CHUNK_BYTES)

    def finished_attempt(self, started: Attempt) -> Attempt:
        """Return the attempt with its outcome."""
        return Attempt(
            started.id,
            started.route,
            started.router,
            started.sent_at,
            time.monotonic(),
            self._status,
            self._signature,
            self._is_whole,
            # Recorded with the short body, so that checks need not know of slow reads.
            bytes(self._body).replace(LARGE_BODY, BODY, 1),
        )


def _request(route: Route, attempt_id: str, length: int) -> h11.Request:
    headers = [
        ("Host", "desk.example"),
        ("Attempt-Id", attempt_id),
        ("Authorization", f"Bearer {KEY}"),
        ("Deadline-Ms", str(DEADLINE_MS)),
        ("Content-Length", str(length)),
    ]
    return h11.Request(method="POST", target=route.path, headers=headers)
