"""How many more requests upstreams get when half of them refuse or lose requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from bench._decisions import InstantAnswer, LocalGrants, new_state
from bench._measures import Measure
from pondhatch.limits import RetryBudget
from pondhatch.requests import (
    AnswerStarted,
    BodySource,
    Collaborators,
    Dispatch,
    NotRun,
    Placed,
    ReplayableBody,
    RequestHead,
    Target,
    Unknown,
)

REQUESTS = 5000


class _HalfFailingUpstreams:
    """Upstreams of which every second one refuses or loses every request."""

    def __init__(self) -> None:
        self.sent = 0

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> AnswerStarted | NotRun | Unknown:
        self.sent += 1
        if int(target.name.rsplit("-", 1)[1]) % 2:
            return AnswerStarted(InstantAnswer())
        if self.sent % 2:
            return NotRun("upstream-unreachable", "down")
        return Unknown("upstream-lost", "down")


async def _send_all() -> tuple[int, int]:
    upstreams = _HalfFailingUpstreams()
    state = new_state(1)
    collaborators = Collaborators(LocalGrants(state), upstreams)
    budget = RetryBudget()
    rng = random.Random(3)
    answered = 0
    for number in range(REQUESTS):
        head = RequestHead(
            str(number), "a", "lang", rng.getrandbits(64), "POST", "/", (), True, 10.0, 5
        )
        dispatch = Dispatch(state, collaborators, budget, head, ReplayableBody(b""), lambda: 10.0)
        outcome = await dispatch.run()
        if isinstance(outcome, Placed):
            outcome.reply.answer.cancel()
            answered += 1
    return upstreams.sent, answered


def measure_retries() -> Iterator[Measure]:
    """Measure the requests sent to upstreams, and those answered, per request received."""
    sent, answered = asyncio.run(_send_all())
    yield Measure("retries.sent_half_failed", sent, "requests", REQUESTS, "requests that came")
    yield Measure(
        "retries.answered_half_failed", answered, "requests", REQUESTS, "requests that came"
    )
