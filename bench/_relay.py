"""What a request and a streamed chunk cost a router, next to a bare relay."""

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
#: Streams that run at once, and how long they are: two lengths make a slope.
STREAMS = 40
LENGTHS = (20, 120, 220)
ROUNDS = 2
#: Seconds between two tokens of a stream, so that each chunk is relayed by itself.
STEP = 0.02


async def stream_events(base: str, number: int, tokens: int) -> tuple[int, float]:
    """Run one stream; return its events and the seconds to the first one."""
    url = urlsplit(base)
    reader, writer = await asyncio.open_connection(url.hostname, url.port)
    messages = [{"role": "user", "content": f"bench {number} {tokens}"}]
    asked = {"model": "scene-writer", "messages": messages, "stream": True, "max_tokens": tokens}
    body = json.dumps(asked).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    started = time.monotonic()
    writer.write(head.encode() + body)
    events, first = 0, 0.0
    while part := await reader.read(65536):
        events += part.count(b"data: ")
        if not first and b"data: " in part:
            first = time.monotonic() - started
    writer.close()
    return events, first


async def _streams(base: str, tokens: int) -> tuple[int, list[float]]:
    done = await asyncio.gather(*(stream_events(base, at, tokens) for at in range(STREAMS)))
    return sum(events for events, _ in done), sorted(first for _, first in done)


def _cost(base: str, pids: list[int]) -> tuple[float, float, float]:
    """Return processor seconds a chunk and a request, and the median first-token time."""
    points: list[tuple[float, float]] = []
    firsts: list[float] = []
    asyncio.run(_streams(base, LENGTHS[0]))
    for tokens in LENGTHS * ROUNDS:
        before = sum(processor_seconds(pid) for pid in pids)
        events, first = asyncio.run(_streams(base, tokens))
        used = sum(processor_seconds(pid) for pid in pids) - before
        if events != STREAMS * (tokens + 2):
            raise RuntimeError(f"{events} events for {STREAMS} streams of {tokens} tokens")
        points.append((events, used))
        firsts.extend(first)
    chunk, at_none = slope(points)
    return chunk, at_none / STREAMS, sorted(firsts)[len(firsts) // 2]


def far_router(fleet: LocalFleet) -> Router:
    """Return the router that does not own the engine."""
    state = fleet.routers[0].state()
    owner = next(each["owner"] for each in state["upstreams"] if each["name"] == "engine-0")
    return next(router for router in fleet.routers if router.name != owner)


def measure_relay() -> Iterator[Measure]:
    """Measure, in one run, a router that owns the engine, one that asks its owner, a bare relay."""
    with LocalFleet(log_level="ERROR") as fleet:
        engine = fleet.add_backend(
            "engine", "engine-0", "scene-language", "recife-1", slots=64, step=STEP
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
            far = far_router(fleet)
            near = next(router for router in fleet.routers if router is not far)
            direct = _cost(engine.url, [os.getpid()])
            baseline = _cost(f"http://127.0.0.1:{line.split()[1]}", [bare.pid])
            own = _cost(near.callers, [near.process.pid])
            granted = _cost(far.callers, [near.process.pid, far.process.pid])
        finally:
            bare.kill()
            bare.wait()
    against = "bare relay, same libraries, same run"
    for name, cost in (("owner_itself", own), ("owner_elsewhere", granted)):
        yield Measure(f"{name}.chunk_processor", cost[0] * 1e6, "us", baseline[0] * 1e6, against)
        yield Measure(f"{name}.request_processor", cost[1] * 1e3, "ms", baseline[1] * 1e3, against)
        added, bare_added = (each[2] - direct[2] for each in (cost, baseline))
        yield Measure(f"{name}.first_token_added", added * 1e3, "ms", bare_added * 1e3, against)
