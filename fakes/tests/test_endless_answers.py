"""Upstreams that send bytes without end, behind real routers and beside sound requests."""

from __future__ import annotations

import socket
import subprocess
import threading
import time
import urllib.parse
from contextlib import ExitStack
from pathlib import Path
from typing import ClassVar

from fakes._endless import ENDLESS_BY_NAME, VALID_BODIES, EndlessUpstream
from fakes._machines_fleet import eventually
from fakes._silent_relay import HOST
from fakes._steady_caller import CallerRequest, Reply, SteadyCaller, call
from fakes.tests._troubled_service import (
    DEADLINE_SECONDS,
    OK,
    MachinesService,
    RelayedService,
    StandardService,
    TroubledService,
)

#: Seconds within which a connection without a valid answer is given up, and what a busy machine
#: may add.
GIVE_UP_SECONDS, SLACK_SECONDS = 1.0, 0.5
#: By how many MB the routers may grow over all kinds of endless answers.
MAX_GROWTH_MB = 40
#: Requests without end at a time, of each kind.
COPIES = 3
#: The most that a hundredth of the sound requests may take: twice as long as just before, and this
#: many seconds more. Waits for a processor do not count.
SOUND_RATIO, SOUND_SLACK = 2.0, 0.1
#: Seconds of sound requests just before.
ALONE_SECONDS = 0.7
#: Callers that read nothing, and what the kernel holds for each at least.
UNREADING_CALLERS, UNREAD_BYTES = 22, 8192
#: What is sent in drops: in a head, and in a body that is not whole.
IN_DROPS = ("interim-responses", "header-lines", "one-line", "chunk-extension", "trailers")


def memory_mb(process: subprocess.Popen[bytes]) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * 4096 / 1e6


def latest_hundredth(seconds: list[float]) -> float:
    return sorted(seconds)[len(seconds) * 99 // 100]


class _EndlessChecks(TroubledService):
    """Plays each kind of endless answer, beside sound requests at the same router."""

    NAMES: ClassVar[tuple[str, ...]] = (
        *ENDLESS_BY_NAME,
        *(f"{name}-in-drops" for name in IN_DROPS),
    )

    def test_no_endless_answer_holds_up_others_or_fills_memory(self) -> None:
        taking_part = (*self.processes, *self.sound_upstreams)
        sound = self.enterContext(
            SteadyCaller(self.sound_request(), tuple(each.pid for each in taking_part))
        )
        before = [memory_mb(each) for each in self.processes]
        for name in self.NAMES:
            with self.subTest(name):
                self.check_kind(name, sound)
        growth = [memory_mb(each) - mb for each, mb in zip(self.processes, before, strict=True)]
        self.assertLess(max(growth), MAX_GROWTH_MB)

    def check_kind(self, name: str, caller: SteadyCaller) -> None:
        limit = DEADLINE_SECONDS if name in VALID_BODIES else GIVE_UP_SECONDS
        routers = tuple(each.pid for each in self.processes)
        with EndlessUpstream(HOST, self.PORT, routers, limit) as upstream:
            self.add_upstream(f"i-{name}", upstream.address)
            try:
                eventually(lambda: call(self.troubled_request("whole")).status == OK)
                with caller.calls() as alone:
                    time.sleep(ALONE_SECONDS)
                sound = self.play(name, caller)
                eventually(lambda: len(upstream.seconds_by_name.get(name, ())) > 0)
            finally:
                self.remove_upstream(f"i-{name}")
        self.assertEqual({each.status for each in sound}, {OK})
        usual = latest_hundredth([each.seconds for each in alone])
        slowest = latest_hundredth([each.seconds for each in sound])
        self.assertLess(slowest, SOUND_RATIO * usual + SOUND_SLACK)
        self.assertLess(max(upstream.seconds_by_name[name]), limit + SLACK_SECONDS)

    def play(self, name: str, caller: SteadyCaller) -> list[Reply]:
        """Send requests that are answered without end; return the sound ones' replies."""
        callers = [
            threading.Thread(target=call, args=(self.troubled_request(name),))
            for _ in range(COPIES)
        ]
        with caller.calls() as sound:
            for each in callers:
                each.start()
            for each in callers:
                each.join()
            time.sleep(0.2)
        return sound


class MachinesEndlessTest(_EndlessChecks, MachinesService):
    """Two routers of the prepared machines; the callers' one reaches the upstream."""

    # Guards against upstreams that send bytes without end: they held requests to their deadline,
    # filled the router's memory, or took its whole processor.


class RelayedEndlessTest(_EndlessChecks, RelayedService):
    """The callers' router does not reach the upstream, and the other one relays."""


class UnreadEndlessTest(MachinesEndlessTest):
    """Callers of endless answers read nothing of them, and stay."""

    NAMES: ClassVar[tuple[str, ...]] = (
        "chunks",
        "unframed-body",
        "keep-alives",
        "event",
        "trailers",
    )

    # Guards against an endless answer that is kept in memory for callers that stop reading.
    def play(self, name: str, caller: SteadyCaller) -> list[Reply]:
        request = self.troubled_request(name)
        with caller.calls() as sound, ExitStack() as connections:
            for _ in range(UNREADING_CALLERS):
                connections.enter_context(_sent_unread(request.unique()))
            time.sleep(DEADLINE_SECONDS)
        return sound


class ManySmallChunksTest(UnreadEndlessTest):
    """The same with answers in chunks of a byte, many of which come in each read."""

    # Guards against a share of the loop that each connection has for itself.
    NAMES = ("small-chunks",)


def _sent_unread(request: CallerRequest) -> socket.socket:
    """Send a request and return its connection, whose answer hardly has room."""
    url = urllib.parse.urlparse(request.url)
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
    connection.connect((url.hostname, url.port))
    headers = (*request.headers, ("Content-Length", str(len(request.body))))
    lines = (f"POST {url.path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers), "", "")
    connection.sendall("\r\n".join(lines).encode() + request.body)
    return connection


class StandardEndlessTest(_EndlessChecks, StandardService):
    """Two routers of the standard interface, and a plain service without end."""

    # Guards against the same in the standard interface.


del _EndlessChecks
