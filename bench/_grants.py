"""Bytes, packets and processor time of a grant at its entry router and at its owner."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass

from bench._measures import Measure, processor_seconds
from bench._relay import non_owner_router, stream_events
from fakes._local_fleet import ROOT, LocalFleet, Router

REQUESTS = 400
#: Requests that run concurrently.
CONCURRENCY = 8
#: Seconds without requests over which the background traffic is counted.
QUIET_SECONDS = 8.0


@dataclass(frozen=True)
class Usage:
    """Traffic and processor time that a router had used in total at a point in time."""

    #: In seconds of the monotonic clock.
    at: float
    control_bytes: int
    packets: int
    processor: float

    def since(self, before: Usage) -> Usage:
        """Return the usage since ``before``; its ``at`` is the elapsed time in seconds."""
        return Usage(
            self.at - before.at,
            self.control_bytes - before.control_bytes,
            self.packets - before.packets,
            self.processor - before.processor,
        )


def _usage(router: Router) -> Usage:
    state = router.state()
    control = state["gossip_bytes_sent"] + state["gossip_bytes_received"]
    used = processor_seconds(router.process.pid)
    return Usage(time.monotonic(), control, state["grant_packets"], used)


async def _send_requests(base: str) -> None:
    for offset in range(0, REQUESTS, CONCURRENCY):
        await asyncio.gather(
            *(stream_events(base, offset + each, 1) for each in range(CONCURRENCY))
        )


def measure_grants() -> Iterator[Measure]:
    """Measure requests through the router that does not own the engine, less the idle usage."""
    with LocalFleet(log_level="ERROR") as fleet:
        fleet.add_backend("engine", "engine-0", "scene-language", "recife-1", slots=64)
        fleet.add_routers(["recife-1", "recife-1"])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        entry = non_owner_router(fleet)
        owner = next(router for router in fleet.routers if router is not entry)
        asyncio.run(_send_requests(entry.callers))
        for name, router in (("entry", entry), ("owner", owner)):
            start = _usage(router)
            time.sleep(QUIET_SECONDS)
            idle = _usage(router).since(start)
            start = _usage(router)
            asyncio.run(_send_requests(entry.callers))
            busy = _usage(router).since(start)
            duration_ratio = busy.at / idle.at
            control = (busy.control_bytes - idle.control_bytes * duration_ratio) / REQUESTS
            processor = (busy.processor - idle.processor * duration_ratio) / REQUESTS
            yield Measure(f"grant.{name}_bytes", control, "B a request, sent and received")
            yield Measure(f"grant.{name}_packets", busy.packets / REQUESTS, "packets a request")
            yield Measure(f"grant.{name}_processor", processor * 1e3, "ms a request")
