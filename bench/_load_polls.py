"""Traffic of the load polls that an owner sends to its engines, counted by a relay."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass, replace
from urllib.parse import urlsplit

from bench._measures import Measure
from fakes._local_fleet import ROOT, LocalFleet

#: Seconds over which polls are counted.
COUNT_SECONDS = 15.0
#: Bytes of the IP and TCP headers of one segment, with timestamps.
SEGMENT_HEADERS = 52
#: Segments of one poll over a persistent connection: request, answer, and an acknowledgement of
#: each.
SEGMENTS = 4


@dataclass
class TrafficCount:
    """What a relay has forwarded."""

    payload: int = 0
    #: Chunks from the engine, one for each poll.
    answers: int = 0
    connections: int = 0


class CountingRelay:
    """Forwards connections to an engine and counts their bytes."""

    def __init__(self, url: str) -> None:
        parts = urlsplit(url)
        self._host, self._port = parts.hostname, parts.port
        self.traffic = TrafficCount()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until it ends."""
        self.traffic.connections += 1
        engine_reader, engine_writer = await asyncio.open_connection(self._host, self._port)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, engine_writer, 0), self._forward(engine_reader, writer, 1)
            )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers_per_chunk: int
    ) -> None:
        while chunk := await reader.read(65536):
            self.traffic.payload += len(chunk)
            self.traffic.answers += answers_per_chunk
            writer.write(chunk)
        writer.close()


async def _count_traffic(fleet: LocalFleet) -> TrafficCount:
    engine = next(each for each in fleet.backends if each.name == "engine-0")
    relay = CountingRelay(engine.url)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    relayed_engine = replace(engine, url=f"http://127.0.0.1:{port}")
    await asyncio.to_thread(fleet.put_upstream, relayed_engine, "live")
    await asyncio.sleep(3)
    relay.traffic = TrafficCount()
    await asyncio.sleep(COUNT_SECONDS)
    server.close()
    return relay.traffic


def measure_load_polls() -> Iterator[Measure]:
    """Count the polls of one engine; the headers of IP and TCP are computed, not counted."""
    with LocalFleet(log_level="ERROR") as fleet:
        fleet.add_backend("engine", "engine-0", "scene-language", "recife-1")
        fleet.add_routers(["recife-1"])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        traffic = asyncio.run(_count_traffic(fleet))
    payload_per_poll = traffic.payload / traffic.answers
    yield Measure("load_question.payload", payload_per_poll, "B a question and its answer")
    with_headers = payload_per_poll + SEGMENTS * SEGMENT_HEADERS
    yield Measure("load_question.bytes", with_headers, "B, with the headers of four segments")
    yield Measure("load_question.rate", traffic.answers / COUNT_SECONDS, "a second and engine")
    yield Measure("load_question.connections", traffic.connections, f"in {COUNT_SECONDS:.0f} s")
