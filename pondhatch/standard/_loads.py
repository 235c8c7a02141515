"""Polling of owned engines for their load."""

from __future__ import annotations

import asyncio

import msgspec
import treq

from pondhatch.kernel import as_future
from pondhatch.placement import Notice
from pondhatch.router import RouterState
from pondhatch.standard._limited_agent import limited_agent
from pondhatch.standard._limited_content import read_content

#: Seconds between two polls of one engine. The owner's own counts are exact without them;
#: polls reveal work that another owner granted, and an engine that is leaving, to which new
#: work must stop within 3 s.
POLL_SECONDS = 2.0
#: Timeout of one poll, in seconds.
ANSWER_SECONDS = 1.0
#: Maximum bytes of a report, which has three fields.
MAX_REPORT_BYTES = 64 * 1024


class _Load(msgspec.Struct):
    running: int
    waiting: int
    #: Whether the engine says that it is leaving.
    leaving: bool = False


async def poll_loads(state: RouterState) -> None:
    """Poll the owned model engines for their load every POLL_SECONDS, until cancelled."""
    while True:
        engines = [
            upstream for upstream in state.owned() if _is_model_service(state, upstream.service)
        ]
        await asyncio.gather(*(_poll(state, engine.name, engine.url) for engine in engines))
        await asyncio.sleep(POLL_SECONDS)


def _is_model_service(state: RouterState, service: str) -> bool:
    spec = state.configuration.service_by_name.get(service)
    return spec is not None and spec.kind == "model"


async def _poll(state: RouterState, engine: str, url: str) -> None:
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            # A new connection each time: on a kept one, an earlier report could come once more.
            response = await as_future(treq.get(f"{url}/load", agent=limited_agent()))
            content = await read_content(response, MAX_REPORT_BYTES)
            load = msgspec.json.decode(content, type=_Load)
    except Exception:
        return
    if load.leaving:
        state.apply_notice(engine, Notice(is_leaving=True))
    else:
        state.apply_live_report(engine)
    state.gate.record_report(engine, state.clock(), load.running + load.waiting)
