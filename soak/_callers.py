"""Callers, each of which stays on one connection, and so at one router, until it closes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import uuid
from dataclasses import replace

import h11

from soak._fleet import SoakFleet
from soak._records import Attempt, Route, events_of

ROUTES = (
    Route("/notes/a", is_repeatable=True, is_stream=True),
    Route("/notes/b", is_repeatable=True, is_stream=True),
    Route("/proofs/a", is_repeatable=False, is_stream=False),
    Route("/x", is_repeatable=True, is_stream=False),
)
STREAM_ROUTES = tuple(each for each in ROUTES if each.is_stream)
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
#: Share of the new connections that go to a crowded router.
CROWDED_SHARE = 0.95
#: Share of streams that a caller leaves midway, and the most events that it then reads.
LEAVING_SHARE = 0.25
MAX_EVENTS_BEFORE_LEAVING = 4
#: Tries that a caller makes in all for a stream that broke off.
MAX_STREAM_TRIES = 3
#: Mean seconds after which it resumes the stream.
MEAN_RESUME_PAUSE = 0.2
#: Seconds after which it gives up a stream, however often no router accepted its connection.
TAKE_UP_SECONDS = 12.0
#: Statuses of refusals after which it tries again.
RESUMABLE_STATUSES = frozenset({429, 502, 503, 504})


class StreamPosition:
    """What a caller has of a stream that it may resume."""

    def __init__(self) -> None:
        #: The id of the attempt that brought the first event; empty before that.
        self.first_attempt = ""
        self.last_event = 0
        self.tries = 0

    def note(self, attempt: Attempt) -> None:
        """Take over the events that an attempt brought."""
        self.tries += 1
        events = events_of(attempt.body)
        if events:
            self.first_attempt = self.first_attempt or attempt.id
            self.last_event = events[-1][0]


class Caller:
    """A caller that sends one request after the other."""

    def __init__(
        self, fleet: SoakFleet, rng: random.Random, leaving_share: float = LEAVING_SHARE
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        #: Share of its streams that it leaves midway.
        self._leaving_share = leaving_share
        self._router = ""
        #: Router to which its next connection goes; empty if any may be.
        self._next_router = ""
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
                await asyncio.sleep(max(0.0, self._fleet.idle_until - time.monotonic()))
                await self._send()
        finally:
            self.close()

    async def read_stream(self, begins_after: float, taken_up_after: asyncio.Event) -> None:
        """Begin one stream, and take it up again once an event has happened."""
        try:
            await asyncio.sleep(begins_after)
            route, position = self._rng.choice(STREAM_ROUTES), StreamPosition()
            attempt = await self._try(route, position)
            await taken_up_after.wait()
            if attempt is not None:
                await self._take_up(route, attempt, position)
        finally:
            self.close()

    async def _send(self) -> None:
        route, position = self._rng.choice(ROUTES), StreamPosition()
        attempt = await self._try(route, position)
        if attempt is not None:
            await self._take_up(route, attempt, position)

    async def _take_up(self, route: Route, attempt: Attempt, position: StreamPosition) -> None:
        """Take a stream up again until it is whole.

        A try that no router accepts is made again: all of them may be down for a while.
        """
        gives_up_at = time.monotonic() + TAKE_UP_SECONDS
        while may_be_resumed(attempt, position) and time.monotonic() < gives_up_at:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_RESUME_PAUSE))
            attempt = await self._try(route, position) or attempt

    async def try_at(
        self, router: str, route: Route, position: StreamPosition, max_events: int | None = None
    ) -> Attempt | None:
        """Make one attempt at a router, by its name; see _try.

        The caller leaves after ``max_events`` events. It stays on its connection if that is one to
        this router.
        """
        if self._router != router:
            self.close()
        self._next_router = router
        return await self._try(route, position, max_events)

    async def _try(
        self, route: Route, position: StreamPosition, max_events: int | None = None
    ) -> Attempt | None:
        """Make one attempt, and return it as far as its answer came; None if it was not sent."""
        try:
            reader, writer = self._streams or await self._connect()
        except OSError:
            return None
        started = Attempt(
            uuid.uuid4().hex[:16],
            route,
            self._router,
            time.monotonic(),
            0.0,
            resumed_attempt=position.first_attempt if position.last_event else "",
            last_event=position.last_event,
        )
        leaves = route.is_stream and not position.tries and self._rng.random() < self._leaving_share
        if leaves:
            max_events = self._rng.randint(1, MAX_EVENTS_BEFORE_LEAVING)
        answer = _Answer(self.slow_read_faults > 0 and not route.is_stream, max_events)
        with contextlib.suppress(OSError, TimeoutError, h11.ProtocolError):
            async with asyncio.timeout(ANSWER_TIMEOUT):
                await answer.exchange(reader, writer, started)
        if not answer.keeps_connection or self._fleet.crowded_router:
            self.close()
        attempt = answer.finished_attempt(started)
        position.note(attempt)
        self._fleet.records.attempts.append(attempt)
        return attempt

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        running = [
            each for each in self._fleet.routers if each.name not in self._fleet.down_routers
        ]
        router = self._rng.choice(running or self._fleet.routers)
        crowded = [each for each in running if each.name == self._fleet.crowded_router]
        if crowded and self._rng.random() < CROWDED_SHARE:
            router = crowded[0]
        if self._next_router:
            router = next(each for each in self._fleet.routers if each.name == self._next_router)
        host, _, port = router.caller_url.removeprefix("http://").rpartition(":")
        self._router = router.name
        async with asyncio.timeout(ANSWER_TIMEOUT):
            self._streams = await asyncio.open_connection(host, int(port))
        return self._streams

    def close(self) -> None:
        """Close the connection, if there is one."""
        streams, self._streams = self._streams, None
        if streams is not None:
            streams[1].transport.abort()


class _Answer:
    """One answer, as far as it was received."""

    def __init__(self, is_slow: bool = False, max_events: int | None = None) -> None:
        self.keeps_connection = False
        self._is_slow = is_slow
        #: Events of a stream after which the caller leaves; None if it stays.
        self._max_events = max_events
        self._status: int | None = None
        self._signature = ""
        self._is_whole = False
        self._caller_left = False
        self._body = bytearray()

    async def exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        attempt: Attempt,
    ) -> None:
        """Send a request and read its answer. Raises OSError and h11.ProtocolError."""
        http = h11.Connection(h11.CLIENT)
        body = LARGE_BODY if self._is_slow else BODY
        parts = [_request(attempt, len(body)), h11.Data(data=body), h11.EndOfMessage()]
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
                if self._max_events and len(events_of(bytes(self._body))) >= self._max_events:
                    self._caller_left = True
                    return
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
        return replace(
            started,
            ended_at=time.monotonic(),
            status=self._status,
            signature=self._signature,
            is_whole=self._is_whole,
            caller_left=self._caller_left,
            # Recorded with the short body, so that checks need not know of slow reads.
            body=bytes(self._body).replace(LARGE_BODY, BODY, 1),
        )


def may_be_resumed(
    attempt: Attempt, position: StreamPosition, max_tries: int = MAX_STREAM_TRIES
) -> bool:
    """Return whether a caller takes a stream up again that it has in part."""
    has_part = attempt.route.is_stream and position.last_event > 0 and not attempt.is_whole
    was_refused = attempt.status in RESUMABLE_STATUSES and position.last_event > 0
    return (has_part or was_refused) and position.tries < max_tries


def _request(attempt: Attempt, length: int) -> h11.Request:
    headers = [
        ("Host", "desk.example"),
        ("Attempt-Id", attempt.id),
        ("Authorization", f"Bearer {KEY}"),
        ("Deadline-Ms", str(DEADLINE_MS)),
        ("Content-Length", str(length)),
    ]
    if attempt.resumed_attempt:
        headers += [
            ("Last-Event-Id", str(attempt.last_event)),
            ("Resumes", attempt.resumed_attempt),
        ]
    return h11.Request(method="POST", target=attempt.route.path, headers=headers)
