"""Effect of one account's surge on the throughput of the others while all engines are full.

Simulates the entry and the owner of one router and engines with random service times, in virtual
time. Only the wait queues limit the surge: no account has a rate limit, which would end it at
once.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Iterator

from bench._measures import Measure
from fakes._virtual_loop import run_virtually
from pondhatch.limits import RetryBudget
from pondhatch.membership import short_id
from pondhatch.placement import OPEN, ContextLocations, Gate, Health, Regions
from pondhatch.requests import (
    AnswerStarted,
    BodySource,
    Collaborators,
    Delivery,
    Dispatch,
    EntryGrants,
    LocalOwner,
    NotRun,
    PartSink,
    Placed,
    ReplayableBody,
    RequestHead,
    Target,
    Unknown,
    WaitLimits,
)

ENGINES = ("e0", "e1", "e2", "e3")
SLOTS = 8
LOAD_BOUND = 1.25
#: Mean duration of a request in seconds; exponentially distributed.
MEAN_SECONDS = 1.0
ACCOUNTS = 10
#: Requests per second of each account; together 75% of the engines' capacity.
RATE = 0.75 * len(ENGINES) * SLOTS / MEAN_SECONDS / ACCOUNTS
SURGE_FACTOR = 10
SECONDS = 120.0
WAIT_LIMITS = WaitLimits(0.2, 2.0)
DEADLINE = 30.0


class _TimedAnswer:
    """An answer that takes a given number of seconds."""

    status = 200
    headers: tuple[tuple[str, str], ...] = ()

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    async def stream_to(self, sink: PartSink) -> None:
        await asyncio.sleep(self._seconds)

    def cancel(self) -> None:
        """Do nothing."""


class _Engines:
    """Engines that answer after a random time; implements Upstreams."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> AnswerStarted | NotRun | Unknown:
        return AnswerStarted(_TimedAnswer(self._rng.expovariate(1 / MEAN_SECONDS)))


class _DiscardingSink:
    """A caller that accepts and discards everything."""

    def write(self, part: bytes) -> bool:
        return True

    async def ready(self) -> None:
        """Return at once."""


class _RouterView:
    """A router that owns all engines; implements EntryView and OwnerView."""

    def __init__(self, gate: Gate) -> None:
        self._gate = gate

    def target(self, engine: str) -> Target | None:
        return Target(engine, "", OPEN, LOAD_BOUND, len(ENGINES), SLOTS)

    def note_served(self, chat: int, engine: str) -> None:
        """Remember nothing."""

    def last_served(self, chat: int) -> str | None:
        return None

    def former_home(self, service: str, chat: str) -> str | None:
        return None

    def owner_name(self, engine: str) -> str | None:
        return "r0"

    def elsewhere_in_flight(self, engine: str) -> int:
        others = tuple(name for name in ENGINES if name != engine)
        return self._gate.total(others, asyncio.get_running_loop().time())

    def is_young(self, engine: str) -> bool:
        return False

    def is_draining(self) -> bool:
        return False

    def is_load_managed(self) -> bool:
        return False

    def is_reachable(self, name: str) -> bool:
        return True

    def note_unreachable(self, name: str) -> None:
        """Do nothing."""

    def live_upstreams(
        self, service: str, regions: Regions = None, software_version: str | None = None
    ) -> tuple[str, ...]:
        return ENGINES

    def closed_home(self, service: str, chat: str, regions: Regions) -> tuple[str, str] | None:
        return None

    def can_resume(self, engine: str) -> bool:
        return False


async def _answered_by_account(surge_factor: int, seed: int) -> Counter[str]:
    """Return the number of answered requests by account; the first account surges."""
    rng = random.Random(seed)
    clock = asyncio.get_running_loop().time
    gate = Gate()
    view = _RouterView(gate)
    owner = LocalOwner("r0", view, gate, ContextLocations(), clock, Health())
    collaborators = Collaborators(
        EntryGrants("r0", short_id("r0"), owner, lambda *_: None, 0), _Engines(rng)
    )
    budget = RetryBudget()
    answered: Counter[str] = Counter()

    async def request(account: str, number: int) -> None:
        deadline = clock() + DEADLINE
        head = RequestHead(
            f"{account}-{number}", account, "s", 0, "POST", "/", (), True, DEADLINE, 5
        )
        body = ReplayableBody(b"")
        dispatch = Dispatch(
            view, collaborators, budget, head, body, lambda: deadline - clock(), WAIT_LIMITS
        )
        placed = await dispatch.run()
        if isinstance(placed, Placed):
            await Delivery(dispatch, placed, _DiscardingSink()).run()
            answered[account] += 1

    async def send(account: str, rate: float) -> None:
        # A generator per account: the arrivals of one do not depend on those of others.
        arrivals = random.Random(f"{seed} {account}")
        running = []
        number = 0
        while clock() < SECONDS:
            await asyncio.sleep(arrivals.expovariate(rate))
            number += 1
            running.append(asyncio.ensure_future(request(account, number)))
        await asyncio.gather(*running)

    rates = {f"a{index}": RATE * (surge_factor if index == 0 else 1) for index in range(ACCOUNTS)}
    await asyncio.gather(*(send(account, rate) for account, rate in rates.items()))
    return answered


def measure_surge() -> Iterator[Measure]:
    """Measure the other accounts' throughput with and without the surge."""
    for seed in (1, 2, 3):
        calm = run_virtually(_answered_by_account(1, seed))
        surge = run_virtually(_answered_by_account(SURGE_FACTOR, seed))
        others = [sum(n for a, n in each.items() if a != "a0") for each in (calm, surge)]
        against = "the same without the surge"
        yield Measure(f"surge.others_{seed}", others[1], "requests answered", others[0], against)
        worst = min(surge[a] / calm[a] for a in calm if a != "a0")
        yield Measure(f"surge.worst_other_{seed}", worst, "of its throughput without the surge")
