"""Engine work on streams whose callers left, through a router that does not own the engine."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import urlsplit

from bench._measures import Measure
from bench._relay import KEY, non_owner_router
from fakes._local_fleet import ROOT, Backend, LocalFleet, fetch

STREAMS = 60
TOKENS = 150
#: Seconds between two tokens; a stream that is not cancelled takes 3 s.
TOKEN_INTERVAL = 0.02
#: Range of seconds after which callers leave, drawn uniformly.
LEAVE_AFTER = (0.1, 2.9)
#: Seconds after the last close until all streams would have ended uncancelled.
SETTLE_SECONDS = TOKENS * TOKEN_INTERVAL + 1.0
#: Seconds after a close within which the engine should have cancelled the stream.
CANCEL_GRACE = 0.5


@dataclass(frozen=True)
class AbandonedStream:
    """One stream whose caller left; times in seconds of the machine's monotonic clock."""

    closed_at: float
    #: When the engine began and ended it; a stream that was not cancelled ends in full.
    began_at: float
    ended_at: float

    @property
    def natural_end(self) -> float:
        """Return when it would have ended uncancelled."""
        return self.began_at + TOKENS * TOKEN_INTERVAL


async def _abandon_stream(base: str, number: int, leave_after: float) -> float:
    """Begin a stream, close its connection after a delay and return the time of the close."""
    url = urlsplit(base)
    _, writer = await asyncio.open_connection(url.hostname, url.port)
    # The length of the prompt identifies the stream among the engine's runs.
    messages = [{"role": "user", "content": "x " * 20 * number}]
    request = {"model": "scene-writer", "messages": messages, "stream": True, "max_tokens": TOKENS}
    body = json.dumps(request).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await asyncio.sleep(leave_after)
    writer.close()
    return time.monotonic()


async def _abandon_all(base: str) -> list[float]:
    rng = random.Random(1)
    delays = [rng.uniform(*LEAVE_AFTER) for _ in range(STREAMS)]
    closed_at = await asyncio.gather(
        *(_abandon_stream(base, index, each) for index, each in enumerate(delays))
    )
    await asyncio.sleep(SETTLE_SECONDS)
    return closed_at


def _match_runs(engine: Backend, closed_at: list[float]) -> list[AbandonedStream]:
    """Match the engine's runs to the streams: the length of the prompt grows with the number.

    Raises RuntimeError unless there is one run for each stream.
    """
    runs = sorted(fetch(f"{engine.url}/runs"), key=lambda run: int(run["prompt"]))
    if len(runs) != len(closed_at):
        raise RuntimeError(f"{len(runs)} runs of {len(closed_at)} streams")
    pairs = zip(runs, closed_at, strict=True)
    return [AbandonedStream(closed, float(run["at"]), float(run["until"])) for run, closed in pairs]


def measure_abandoned_streams() -> Iterator[Measure]:
    """Measure engine work on abandoned streams against that of the same streams in full."""
    with LocalFleet(log_level="ERROR") as fleet:
        engine = fleet.add_backend(
            "engine", "engine-0", "scene-language", "recife-1", slots=STREAMS, step=TOKEN_INTERVAL
        )
        fleet.add_routers(["recife-1", "recife-1"])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        closed_at = asyncio.run(_abandon_all(non_owner_router(fleet).callers))
        streams = _match_runs(engine, closed_at)
    work = sum(each.ended_at - each.began_at for each in streams)
    work_if_left_alone = sum(each.natural_end - each.began_at for each in streams)
    cancel_delays = sorted(each.ended_at - each.closed_at for each in streams)
    would_have_lasted = [
        each for each in streams if each.natural_end > each.closed_at + CANCEL_GRACE
    ]
    worked_on = sum(each.ended_at > each.closed_at + CANCEL_GRACE for each in would_have_lasted)
    yield Measure("gone.engine_work", work, "s", work_if_left_alone, "the same streams left alone")
    yield Measure("gone.cancelled_after_median", cancel_delays[len(cancel_delays) // 2] * 1e3, "ms")
    yield Measure("gone.cancelled_after_most", cancel_delays[-1] * 1e3, "ms")
    yield Measure(
        "gone.worked_on",
        worked_on,
        "streams",
        len(would_have_lasted),
        "those that would have lasted",
    )
