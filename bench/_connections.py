"""Resident memory of a router per caller connection, idle and streaming."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from urllib.parse import urlsplit

from bench._measures import Measure, resident_kb
from bench._relay import STREAMS, stream_events
from fakes._local_fleet import ROOT, LocalFleet

IDLE_COUNTS = (200, 1000)
STREAMING_COUNTS = (STREAMS, 8 * STREAMS)
#: Tokens of a stream, enough that it outlasts the measurement.
TOKENS = 400


async def _memory_with_idle(base: str, pid: int, count: int) -> int:
    url = urlsplit(base)
    opened = [await asyncio.open_connection(url.hostname, url.port) for _ in range(count)]
    await asyncio.sleep(0.5)
    memory = resident_kb(pid)
    for _, writer in opened:
        writer.close()
    await asyncio.sleep(0.5)
    return memory


async def _memory_with_streams(base: str, pid: int, count: int) -> int:
    streams = [asyncio.ensure_future(stream_events(base, index, TOKENS)) for index in range(count)]
    await asyncio.sleep(4)
    memory = resident_kb(pid)
    await asyncio.gather(*streams)
    return memory


def measure_connections() -> Iterator[Measure]:
    """Measure the growth of memory between two numbers of connections."""
    with LocalFleet(log_level="ERROR") as fleet:
        fleet.add_backend("engine", "engine-0", "scene-language", "recife-1", slots=1000, step=0.05)
        fleet.add_routers(["recife-1"])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        router = fleet.routers[0]
        base, pid = router.callers, router.process.pid
        yield Measure("memory.empty_router", resident_kb(pid) / 1024, "MB")
        for name, counts, load in (
            ("idle_connection", IDLE_COUNTS, _memory_with_idle),
            ("streaming_request", STREAMING_COUNTS, _memory_with_streams),
        ):
            few, many = (asyncio.run(load(base, pid, count)) for count in counts)
            yield Measure(f"memory.{name}", (many - few) / (counts[1] - counts[0]), "KB")
