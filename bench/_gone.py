"""What engines still do for callers that left, over loopback, through an engine's other router."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import urlsplit

from bench._measures import Measure
from bench._relay import KEY, far_router
from fakes._local_fleet import ROOT, Backend, LocalFleet, fetch

STREAMS = 60
TOKENS = 150
#: Seconds between two tokens; a stream left alone takes 3 s.
STEP = 0.02
#: Seconds after which callers leave, drawn evenly.
STAYS = (0.1, 2.9)
#: Seconds after the last close until all streams would have ended by themselves.
REST = TOKENS * STEP + 1.0
#: Seconds after a close from which an engine's work counts as worked on.
GONE_SECONDS = 0.5


@dataclass(frozen=True)
class Left:
    """One stream whose caller left; seconds of the clock that all processes share."""

    closed: float
    #: When the engine began and ended; the end is that of the whole stream where it ran on.
    began: float
    ended: float

    @property
    def would_have(self) -> float:
        """Return when it would have ended by itself."""
        return self.began + TOKENS * STEP


async def _leave(base: str, number: int, stays: float) -> float:
    """Begin a stream and close its connection after some seconds; return when that was."""
    url = urlsplit(base)
    _, writer = await asyncio.open_connection(url.hostname, url.port)
    # The length of the prompt tells the engine's runs apart.
    messages = [{"role": "user", "content": "x " * 20 * number}]
    asked = {"model": "scene-writer", "messages": messages, "stream": True, "max_tokens": TOKENS}
    body = json.dumps(asked).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await asyncio.sleep(stays)
    writer.close()
    return time.monotonic()


async def _all_leave(base: str) -> list[float]:
    rng = random.Random(1)
    stays = [rng.uniform(*STAYS) for _ in range(STREAMS)]
    closed = await asyncio.gather(*(_leave(base, at, each) for at, each in enumerate(stays)))
    await asyncio.sleep(REST)
    return closed


def _left(engine: Backend, closed: list[float]) -> list[Left]:
    """Return what became of each stream; a longer prompt is a later number."""
    runs = sorted(fetch(f"{engine.url}/runs"), key=lambda run: int(run["prompt"]))
    if len(runs) != len(closed):
        raise RuntimeError(f"{len(runs)} runs of {len(closed)} streams")
    pairs = zip(runs, closed, strict=True)
    return [Left(at, float(run["at"]), float(run["until"])) for run, at in pairs]


def measure_gone() -> Iterator[Measure]:
    """Measure engines' work on streams whose callers leave, against such streams left alone."""
    with LocalFleet(log_level="ERROR") as fleet:
        engine = fleet.add_backend(
            "engine", "engine-0", "scene-language", "recife-1", slots=STREAMS, step=STEP
        )
        fleet.add_routers(["recife-1", "recife-1"])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        closed = asyncio.run(_all_leave(far_router(fleet).callers))
        left = _left(engine, closed)
    worked = sum(each.ended - each.began for each in left)
    alone = sum(each.would_have - each.began for each in left)
    late = sorted(each.ended - each.closed for each in left)
    lasting = [each for each in left if each.would_have > each.closed + GONE_SECONDS]
    on = sum(each.ended > each.closed + GONE_SECONDS for each in lasting)
    yield Measure("gone.engine_work", worked, "s", alone, "the same streams left alone")
    yield Measure("gone.cancelled_after_median", late[len(late) // 2] * 1e3, "ms")
    yield Measure("gone.cancelled_after_most", late[-1] * 1e3, "ms")
    yield Measure("gone.worked_on", on, "streams", len(lasting), "those that would have lasted")
