"""Bytes of an owner's questions after its engines' load, counted on the way."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass, replace
from urllib.parse import urlsplit

from bench._measures import Measure
from fakes._local_fleet import ROOT, LocalFleet

#: Seconds over which questions are counted.
COUNTED = 15.0
#: Bytes of the IP and TCP headers of one segment, with timestamps.
SEGMENT_HEADERS = 52
#: Segments of one exchange over a standing connection: question, answer, and an
#: acknowledgement of each.
SEGMENTS = 4


@dataclass
class Counted:
    """What passed."""

    payload: int = 0
    #: Parts of answers that passed, one for each question.
    answers: int = 0
    connections: int = 0


class CountingRelay:
    """Passes an engine's connections on and counts their bytes."""

    def __init__(self, url: str) -> None:
        parts = urlsplit(url)
        self._host, self._port = parts.hostname, parts.port
        self.counted = Counted()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on, to its end."""
        self.counted.connections += 1
        to_reader, to_writer = await asyncio.open_connection(self._host, self._port)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await asyncio.gather(self._pass(reader, to_writer, 0), self._pass(to_reader, writer, 1))

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: int
    ) -> None:
        while part := await reader.read(65536):
            self.counted.payload += len(part)
            self.counted.answers += answers
            writer.write(part)
        writer.close()


async def _count(fleet: LocalFleet) -> Counted:
    engine = next(each for each in fleet.backends if each.name == "engine-0")
    relay = CountingRelay(engine.url)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    listed = replace(engine, url=f"http://127.0.0.1:{port}")
    await asyncio.to_thread(fleet.put_upstream, listed, "live")
    await asyncio.sleep(3)
    relay.counted = Counted()
    await asyncio.sleep(COUNTED)
    server.close()
    return relay.counted


def measure_load_questions() -> Iterator[Measure]:
    """Count one engine's questions; headers of IP and TCP are added as worked out."""
    with LocalFleet(log_level="ERROR") as fleet:
        fleet.add_backend("engine", "engine-0", "scene-language", "recife-1")
        fleet.add_routers(["recife-1"])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        counted = asyncio.run(_count(fleet))
    each = counted.payload / counted.answers
    yield Measure("load_question.payload", each, "B a question and its answer")
    with_headers = each + SEGMENTS * SEGMENT_HEADERS
    yield Measure("load_question.bytes", with_headers, "B, with the headers of four segments")
    yield Measure("load_question.rate", counted.answers / COUNTED, "a second and engine")
    yield Measure("load_question.connections", counted.connections, f"in {COUNTED:.0f} s")
