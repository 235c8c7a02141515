"""Bytes and processor that a grant costs its entry router and its owner."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass

from bench._measures import Measure, processor_seconds
from bench._relay import far_router, stream_events
from fakes._local_fleet import ROOT, LocalFleet, Router

REQUESTS = 400
#: Requests that run at once.
AT_ONCE = 8
#: Seconds of quiet over which the rest of the traffic is counted.
QUIET = 8.0


@dataclass(frozen=True)
class Use:
    """What a router had used by a moment."""

    at: float
    control_bytes: int
    packets: int
    processor: float

    def since(self, before: Use) -> Use:
        """Return what was used since then; ``at`` is the time that passed."""
        return Use(
            self.at - before.at,
            self.control_bytes - before.control_bytes,
            self.packets - before.packets,
            self.processor - before.processor,
        )


def _use(router: Router) -> Use:
    state = router.state()
    control = state["gossip_bytes_sent"] + state["gossip_bytes_received"]
    used = processor_seconds(router.process.pid)
    return Use(time.monotonic(), control, state["grant_packets"], used)


async def _requests(base: str) -> None:
    for at in range(0, REQUESTS, AT_ONCE):
        await asyncio.gather(*(stream_events(base, at + each, 1) for each in range(AT_ONCE)))


def measure_grants() -> Iterator[Measure]:
    """Send requests through the router that does not own the engine; what is idle is taken off."""
    with LocalFleet(log_level="ERROR") as fleet:
        fleet.add_backend("engine", "engine-0", "scene-language", "recife-1", slots=64)
        fleet.add_routers(["recife-1", "recife-1"])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        entry = far_router(fleet)
        owner = next(router for router in fleet.routers if router is not entry)
        asyncio.run(_requests(entry.callers))
        for name, router in (("entry", entry), ("owner", owner)):
            start = _use(router)
            time.sleep(QUIET)
            idle = _use(router).since(start)
            start = _use(router)
            asyncio.run(_requests(entry.callers))
            busy = _use(router).since(start)
            share = busy.at / idle.at
            control = (busy.control_bytes - idle.control_bytes * share) / REQUESTS
            processor = (busy.processor - idle.processor * share) / REQUESTS
            yield Measure(f"grant.{name}_bytes", control, "B a request, sent and received")
            yield Measure(f"grant.{name}_packets", busy.packets / REQUESTS, "packets a request")
            yield Measure(f"grant.{name}_processor", processor * 1e3, "ms a request")
