"""A process that sends requests one after the other, and measures nothing but these.

A process that shares a processor waits for it, and so does its caller. The kernel counts these
waits of each process, so what a busy machine adds to a request can be told from what the processes
that take part in it do.
"""

from __future__ import annotations

import multiprocessing
import time
import urllib.error
import urllib.request
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from http.client import HTTPException
from multiprocessing.connection import Connection
from pathlib import Path
from types import TracebackType

#: In a header or a body: replaced by something else in each request.
UNIQUE = "unique-in-each"
#: Seconds between two requests.
PAUSE_SECONDS = 0.01
READ_BYTES = 1 << 16
NANOSECONDS = 1e9


@dataclass(frozen=True)
class CallerRequest:
    """A request as its caller sends it."""

    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def unique(self) -> CallerRequest:
        """Return the request with something of its own."""
        own = uuid.uuid4().hex[:16]
        headers = tuple((name, value.replace(UNIQUE, own)) for name, value in self.headers)
        return replace(self, headers=headers, body=self.body.replace(UNIQUE.encode(), own.encode()))


@dataclass(frozen=True)
class Reply:
    """What a caller got."""

    #: 0 if there was no whole answer.
    status: int
    seconds: float


def call(request: CallerRequest) -> Reply:
    """Send a request and read its answer whole."""
    sent, started = request.unique(), time.monotonic()
    try:
        with urllib.request.urlopen(
            urllib.request.Request(sent.url, sent.body, dict(sent.headers)), timeout=30
        ) as answer:
            while answer.read(READ_BYTES):
                pass
            status = int(answer.status)
    except urllib.error.HTTPError as error:
        error.close()
        status = error.code
    except (OSError, HTTPException):
        status = 0
    return Reply(status, time.monotonic() - started)


def processor_waits(processes: tuple[str, ...]) -> list[float]:
    """Return the seconds for which each process, by its id, has waited for a processor so far.

    Of the process's first thread, which runs everything in routers and stand-ins.
    """
    counts = [Path(f"/proc/{each}/schedstat").read_text().split() for each in processes]
    return [int(waited) / NANOSECONDS for _, waited, _ in counts]


class SteadyCaller:
    """Sends one request again and again, from a process of its own, while it is told to.

    ``processes`` are the ids of those that take part in its answer. The longest wait of one of them
    for a processor is taken off the time of each request; of waits that may overlap only that one.
    """

    def __init__(self, request: CallerRequest, processes: tuple[int, ...] = ()) -> None:
        context = multiprocessing.get_context("spawn")
        self._orders, orders = context.Pipe()
        self._process = context.Process(
            target=_serve, args=(request, processes, orders), daemon=True
        )

    def __enter__(self) -> SteadyCaller:
        self._process.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._orders.close()
        self._process.join()

    @contextmanager
    def calls(self) -> Iterator[list[Reply]]:
        """Have it call meanwhile; yield the list of replies, which is filled at the end."""
        replies: list[Reply] = []
        self._orders.send("begin")
        self._orders.recv()
        try:
            yield replies
        finally:
            self._orders.send("end")
            replies += self._orders.recv()


def _serve(request: CallerRequest, processes: tuple[int, ...], orders: Connection) -> None:
    """Call from each order to begin to the next one, until the other side closes."""
    taking_part = ("self", *map(str, processes))
    try:
        while True:
            orders.recv()
            orders.send("began")
            replies: list[Reply] = []
            while not orders.poll(PAUSE_SECONDS):
                before = processor_waits(taking_part)
                reply = call(request)
                after = processor_waits(taking_part)
                waited = max(end - begin for begin, end in zip(before, after, strict=True))
                replies.append(replace(reply, seconds=reply.seconds - waited))
            orders.recv()
            orders.send(replies)
    except EOFError:
        return
