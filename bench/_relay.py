"""Processor time of a request and of a streamed chunk at a router, against a bare relay."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from urllib.parse import urlsplit

from bench._measures import Measure, processor_seconds, slope
from fakes._local_fleet import ROOT, LocalFleet, Router

KEY = "bench-key"
#: Streams that run concurrently, and their lengths in tokens; the slope over the lengths is the
#: cost of a chunk.
STREAMS = 40
LENGTHS = (20, 120, 220)
ROUNDS = 2
#: Seconds between two tokens of a stream; long enough that each chunk is relayed on its own.
TOKEN_INTERVAL = 0.02


async def stream_events(base: str, number: int, tokens: int) -> tuple[int, float]:
    """Run one stream; return the number of its events and the seconds until the first."""
    url = urlsplit(base)
    reader, writer = await asyncio.open_connection(url.hostname, url.port)
    messages = [{"role": "user", "content": f"bench {number} {tokens}"}]
    request = {"model": "scene-writer", "messages": messages, "stream": True, "max_tokens": tokens}
    body = json.dumps(request).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    started = time.monotonic()
    writer.write(head.encode() + body)
    events, first = 0, 0.0
    while chunk := await reader.read(65536):
        events += chunk.count(b"data: ")
        if not first and b"data: " in chunk:
            first = time.monotonic() - started
    writer.close()
    return events, first


async def _run_streams(base: str, tokens: int) -> tuple[int, list[float]]:
    results = await asyncio.gather(
        *(stream_events(base, index, tokens) for index in range(STREAMS))
    )
    return sum(events for events, _ in results), sorted(first for _, first in results)


def streaming_cost(base: str, pids: list[int]) -> tuple[float, float, float]:
    """Return the processor seconds of a chunk and of a request, and the median first-token time.

    Raises RuntimeError if events are missing.
    """
    points: list[tuple[float, float]] = []
    all_first_event_times: list[float] = []
    asyncio.run(_run_streams(base, LENGTHS[0]))
    for tokens in LENGTHS * ROUNDS:
        before = sum(processor_seconds(pid) for pid in pids)
        events, first_event_times = asyncio.run(_run_streams(base, tokens))
        used = sum(processor_seconds(pid) for pid in pids) - before
        if events != STREAMS * (tokens + 2):
            raise RuntimeError(f"{events} events for {STREAMS} streams of {tokens} tokens")
        points.append((events, used))
        all_first_event_times.extend(first_event_times)
    chunk_cost, intercept = slope(points)
    return (
        chunk_cost,
        intercept / STREAMS,
        sorted(all_first_event_times)[len(all_first_event_times) // 2],
    )


def non_owner_router(fleet: LocalFleet) -> Router:
    """Return the router that does not own the engine."""
    state = fleet.routers[0].state()
    owner = next(each["owner"] for each in state["upstreams"] if each["name"] == "engine-0")
    return next(router for router in fleet.routers if router.name != owner)


def measure_relay() -> Iterator[Measure]:
    """Measure a router that owns the engine, one that asks the owner, and a bare relay."""
    with LocalFleet(log_level="ERROR") as fleet:
        engine = fleet.add_backend(
            "engine", "engine-0", "scene-language", "recife-1", slots=64, step=TOKEN_INTERVAL
        )
        bare = subprocess.Popen(
            [sys.executable, "-m", "bench._bare_relay", engine.url],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env={**os.environ},
        )
        try:
            line = bare.stdout.readline().decode() if bare.stdout else ""
            fleet.add_routers(["recife-1", "recife-1"])
            fleet.apply(ROOT / "bench/fleet.yaml")
            fleet.await_convergence(1)
            non_owner = non_owner_router(fleet)
            owner = next(router for router in fleet.routers if router is not non_owner)
            direct_cost = streaming_cost(engine.url, [os.getpid()])
            baseline_cost = streaming_cost(f"http://127.0.0.1:{line.split()[1]}", [bare.pid])
            owner_cost = streaming_cost(owner.callers, [owner.process.pid])
            non_owner_cost = streaming_cost(
                non_owner.callers, [owner.process.pid, non_owner.process.pid]
            )
        finally:
            bare.kill()
            bare.wait()
    against = "bare relay, same libraries, same run"
    for name, cost in (("owner_itself", owner_cost), ("owner_elsewhere", non_owner_cost)):
        yield Measure(
            f"{name}.chunk_processor", cost[0] * 1e6, "us", baseline_cost[0] * 1e6, against
        )
        yield Measure(
            f"{name}.request_processor", cost[1] * 1e3, "ms", baseline_cost[1] * 1e3, against
        )
        added, bare_added = (each[2] - direct_cost[2] for each in (cost, baseline_cost))
        yield Measure(f"{name}.first_token_added", added * 1e3, "ms", bare_added * 1e3, against)
