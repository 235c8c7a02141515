"""Reuse and skew of placement, by the code that serves, next to simpler policies.

A bench of decisions: chats return, requests take some 14 s, engines keep the
contexts of the last chats they served, and a tenth of the engines is replaced
during the run. Engines here are a count and a table of contexts, nothing more.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bench._measures import Measure
from pondhatch.placement import (
    YOUNG_SECONDS,
    Ask,
    ContextLocations,
    EngineCount,
    Exhausted,
    Full,
    Gate,
    Granted,
    Plan,
    admission_ceiling,
    context_engine,
    winner,
)

ENGINES = 10
#: Contexts that one engine keeps, and chats for each engine.
CONTEXTS = 500
CHATS = 400
#: Seconds that a request takes, drawn evenly from this range.
DURATION = (7.0, 21.0)
SECONDS = 900.0
#: Seconds at the start that are not counted.
WARM_UP = 400.0
#: Share of engines that are replaced while counting.
REPLACED = 0.1
#: Seconds by which the known total of the service is behind.
VIEW_LAG = 1.0
#: Seconds that a returning chat waits for its engine.
CONTEXT_WAIT = 0.2


@dataclass
class Engine:
    """An engine's load and the contexts that it keeps."""

    name: str
    in_flight: int = 0
    contexts: OrderedDict[int, None] = field(default_factory=OrderedDict)
    #: When its requests end, soonest first.
    endings: list[float] = field(default_factory=list)

    def keep(self, chat: int) -> None:
        """Keep a chat's context, dropping the least recently used one."""
        self.contexts[chat] = None
        self.contexts.move_to_end(chat)
        if len(self.contexts) > CONTEXTS:
            self.contexts.popitem(last=False)


@dataclass
class World:
    """What a policy may look at."""

    engines: dict[str, Engine]
    bound: float
    rng: random.Random
    now: float = 0.0
    #: Chats that were served before.
    seen: set[int] = field(default_factory=set)
    #: When an engine joined.
    joined_at: dict[str, float] = field(default_factory=dict)
    #: (when, total in flight), for views that are behind.
    totals: deque[tuple[float, int]] = field(default_factory=lambda: deque(maxlen=4000))

    def total(self) -> int:
        """Return the true total in flight."""
        return sum(engine.in_flight for engine in self.engines.values())

    def is_young(self, name: str) -> bool:
        """Return whether an engine joined a short while ago."""
        return self.now - self.joined_at.get(name, -YOUNG_SECONDS) < YOUNG_SECONDS

    def late_total(self) -> int:
        """Return the total as it was VIEW_LAG ago."""
        late = [total for when, total in self.totals if when <= self.now - VIEW_LAG]
        return late[-1] if late else 0


@dataclass(frozen=True)
class Chosen:
    """Where a request goes, after waiting for so long."""

    engine: str
    waited: float = 0.0


Policy = Callable[[World, int], Chosen]


class Serving:
    """The policy that serves: plan, gates of the owners, memory of spilled chats."""

    def __init__(self) -> None:
        self._memory = ContextLocations()
        self._gate = Gate()

    def __call__(self, world: World, chat: int) -> Chosen:
        """Walk the plan as an entry router does."""
        plan = Plan(str(chat), tuple(world.engines))
        while not isinstance(step := plan.next_step(), Exhausted):
            if step.engine == plan.home and not step.is_forced and chat in world.seen:
                young = world.is_young(step.engine)
                believed = context_engine(
                    self._memory, chat, step.engine, plan.settled_engine(world.is_young), young
                )
                if believed != step.engine:
                    plan.record_context_elsewhere(believed)
                    continue
            chosen = self._ask(world, plan, step)
            if chosen is not None:
                self._note(plan, chat, step.engine)
                return chosen
        least = min(world.engines.values(), key=lambda engine: engine.in_flight)
        return Chosen(least.name)

    def _ask(self, world: World, plan: Plan, ask: Ask) -> Chosen | None:
        verdict = self._verdict(world, plan, ask.engine, 0)
        if isinstance(verdict, Granted):
            return Chosen(ask.engine)
        ending = world.engines[ask.engine].endings[0]
        if ask.has_context and ending - world.now <= CONTEXT_WAIT:
            freed = self._verdict(world, plan, ask.engine, 1)
            if isinstance(freed, Granted):
                return Chosen(ask.engine, ending - world.now)
        plan.record_owner_full(verdict.in_flight, verdict.ceiling)
        return None

    def _verdict(self, world: World, plan: Plan, name: str, ended: int) -> Granted | Full:
        held = world.engines[name].in_flight - ended
        self._gate.by_engine[name] = EngineCount(granted=held)
        others = max(world.late_total() - held, plan.seen_in_flight_elsewhere(name), 0)
        return self._gate.try_grant(name, world.now, world.bound, others, len(world.engines))

    def _note(self, plan: Plan, chat: int, engine: str) -> None:
        if engine == plan.home:
            self._memory.forget(chat)
        else:
            self._memory.remember(chat, engine)


def all_knowing(world: World, chat: int) -> Chosen:
    """Go to the context if its engine is under the ceiling, else to the least loaded."""
    ceiling = admission_ceiling(world.bound, world.total(), len(world.engines))
    holders = [e for e in world.engines.values() if chat in e.contexts and e.in_flight < ceiling]
    pool = holders or list(world.engines.values())
    return Chosen(min(pool, key=lambda engine: engine.in_flight).name)


def rendezvous(world: World, chat: int) -> Chosen:
    """Go to the home engine whatever its load."""
    return Chosen(winner(str(chat), world.engines) or "")


def least_of_two(world: World, chat: int) -> Chosen:
    """Go to the less loaded of two engines drawn at random."""
    two = world.rng.sample(list(world.engines.values()), 2)
    return Chosen(min(two, key=lambda engine: engine.in_flight).name)


def at_random(world: World, chat: int) -> Chosen:
    """Go anywhere."""
    return Chosen(world.rng.choice(list(world.engines)))


@dataclass(frozen=True)
class Figures:
    """What one run showed."""

    #: Share of returning turns that found their context.
    reuse: float
    #: 99th percentile over time of largest load over mean.
    skew: float
    #: Share of starts that put an engine above the true ceiling of that moment.
    above: float


def run(policy: Policy, in_flight: int, bound: float, seed: int = 1) -> Figures:
    """Run one policy at a constant number of requests in flight."""
    rng = random.Random(seed)
    names = [f"engine-{at}" for at in range(ENGINES)]
    world = World({name: Engine(name) for name in names}, bound, rng)
    idle = list(range(ENGINES * CHATS))
    seen = world.seen
    ends: list[tuple[float, int, str]] = []
    replacing = [
        WARM_UP + (SECONDS - WARM_UP) * (at + 1) / (REPLACED * ENGINES + 1)
        for at in range(round(REPLACED * ENGINES))
    ]
    skews: list[float] = []
    found = returning = above = starts = 0
    next_sample = WARM_UP

    def start() -> None:
        nonlocal found, returning, above, starts
        at = rng.randrange(len(idle))
        idle[at], idle[-1] = idle[-1], idle[at]
        chat = idle.pop()
        chosen = policy(world, chat)
        engine = world.engines[chosen.engine]
        if world.now > WARM_UP:
            starts += 1
            ceiling = admission_ceiling(bound, world.total(), len(world.engines))
            above += engine.in_flight - (chosen.waited > 0) + 1 > ceiling
            if chat in seen:
                returning += 1
                found += chat in engine.contexts
        seen.add(chat)
        engine.in_flight += 1
        engine.keep(chat)
        end = world.now + chosen.waited + rng.uniform(*DURATION)
        heapq.heappush(engine.endings, end)
        heapq.heappush(ends, (end, chat, engine.name))

    for _ in range(ENGINES * in_flight):
        start()
        world.totals.append((-VIEW_LAG, world.total()))
    while world.now < SECONDS:
        world.now, chat, name = heapq.heappop(ends)
        if replacing and world.now > replacing[0]:
            replacing.pop(0)
            _replace(world, ends)
        if name in world.engines:
            world.engines[name].in_flight -= 1
            heapq.heappop(world.engines[name].endings)
        idle.append(chat)
        start()
        world.totals.append((world.now, world.total()))
        if world.now > next_sample:
            next_sample = world.now + 1.0
            loads = [engine.in_flight for engine in world.engines.values()]
            skews.append(max(loads) * len(loads) / sum(loads))
    skews.sort()
    return Figures(found / returning, skews[int(0.99 * len(skews))], above / starts)


def _replace(world: World, ends: list[tuple[float, int, str]]) -> None:
    """Replace the first engine by a new, empty one; its requests end there unfinished."""
    old = next(iter(world.engines))
    del world.engines[old]
    fresh = f"{old}-new"
    world.engines[fresh] = Engine(fresh)
    world.joined_at[fresh] = world.now


def measure_placement() -> Iterator[Measure]:
    """Measure the serving policy and the baselines at three loads."""
    for in_flight, bound in ((2, 1.25), (8, 1.25), (8, 1.5), (70, 1.25)):
        best = run(all_knowing, in_flight, bound)
        name = f"placement_{in_flight}_in_flight_bound_{bound}"
        policies: dict[str, Policy] = {
            "serving": Serving(),
            "rendezvous": rendezvous,
            "least_of_two": least_of_two,
            "random": at_random,
        }
        for policy_name, policy in policies.items():
            figures = run(policy, in_flight, bound)
            told = f"{name}.{policy_name}"
            yield Measure(f"{told}.reuse", figures.reuse, "share", best.reuse, "all-knowing")
            yield Measure(f"{told}.skew_p99", figures.skew, "x mean", best.skew, "all-knowing")
            yield Measure(f"{told}.above_ceiling", figures.above, "share of starts")
