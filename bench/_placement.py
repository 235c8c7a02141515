"""Context reuse and load skew of the production placement and of simpler policies.

A simulation of decisions: chats return, requests take about 14 s, engines keep the contexts of
the chats that they served last, and a tenth of the engines is replaced during the run. An engine
is modelled by a count of requests and a table of contexts.
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
#: Contexts that one engine keeps, and number of chats per engine.
CONTEXTS_PER_ENGINE = 500
CHATS_PER_ENGINE = 400
#: Range of the seconds that a request takes, drawn uniformly.
DURATION = (7.0, 21.0)
RUN_SECONDS = 900.0
#: Seconds at the start that are not counted.
WARM_UP = 400.0
#: Share of the engines that are replaced during the counted time.
REPLACED_SHARE = 0.1
#: Seconds by which the known total of the service lags.
VIEW_LAG = 1.0
#: Seconds that a returning chat waits for its engine.
CONTEXT_WAIT = 0.2


@dataclass
class Engine:
    """An engine's load and cached contexts."""

    name: str
    in_flight: int = 0
    contexts: OrderedDict[int, None] = field(default_factory=OrderedDict)
    #: When its requests end, soonest first.
    endings: list[float] = field(default_factory=list)

    def keep(self, chat: int) -> None:
        """Keep a chat's context, dropping the least recently used one."""
        self.contexts[chat] = None
        self.contexts.move_to_end(chat)
        if len(self.contexts) > CONTEXTS_PER_ENGINE:
            self.contexts.popitem(last=False)


@dataclass
class Simulation:
    """The state of the simulation, from which policies choose."""

    engines: dict[str, Engine]
    bound: float
    rng: random.Random
    now: float = 0.0
    #: Chats that were served before.
    seen: set[int] = field(default_factory=set)
    #: When an engine joined.
    joined_at: dict[str, float] = field(default_factory=dict)
    #: (time, total in flight), for the lagging view of the total.
    totals: deque[tuple[float, int]] = field(default_factory=lambda: deque(maxlen=4000))

    def total(self) -> int:
        """Return the true total in flight."""
        return sum(engine.in_flight for engine in self.engines.values())

    def is_young(self, name: str) -> bool:
        """Return whether an engine joined less than YOUNG_SECONDS ago."""
        return self.now - self.joined_at.get(name, -YOUNG_SECONDS) < YOUNG_SECONDS

    def lagged_total(self) -> int:
        """Return the total as it was VIEW_LAG ago."""
        known = [total for when, total in self.totals if when <= self.now - VIEW_LAG]
        return known[-1] if known else 0


@dataclass(frozen=True)
class Choice:
    """The engine chosen for a request, and the seconds waited for it."""

    engine: str
    waited: float = 0.0


Policy = Callable[[Simulation, int], Choice]


class ServingPolicy:
    """The production policy: plans, the owners' gates and the locations of spilled contexts."""

    def __init__(self) -> None:
        self._locations = ContextLocations()
        self._gate = Gate()

    def __call__(self, simulation: Simulation, chat: int) -> Choice:
        """Follow the plan as an entry router does."""
        plan = Plan(str(chat), tuple(simulation.engines))
        while not isinstance(step := plan.next_step(), Exhausted):
            if step.engine == plan.home and not step.is_forced and chat in simulation.seen:
                is_young = simulation.is_young(step.engine)
                context_location = context_engine(
                    self._locations,
                    chat,
                    step.engine,
                    plan.settled_engine(simulation.is_young),
                    is_young,
                )
                if context_location != step.engine:
                    plan.record_context_elsewhere(context_location)
                    continue
            choice = self._ask_engine(simulation, plan, step)
            if choice is not None:
                self._record_location(plan, chat, step.engine)
                return choice
        least_loaded = min(simulation.engines.values(), key=lambda engine: engine.in_flight)
        return Choice(least_loaded.name)

    def _ask_engine(self, simulation: Simulation, plan: Plan, ask: Ask) -> Choice | None:
        decision = self._try_grant(simulation, plan, ask.engine, 0)
        if isinstance(decision, Granted):
            return Choice(ask.engine)
        next_end = simulation.engines[ask.engine].endings[0]
        if ask.has_context and next_end - simulation.now <= CONTEXT_WAIT:
            decision_after_end = self._try_grant(simulation, plan, ask.engine, 1)
            if isinstance(decision_after_end, Granted):
                return Choice(ask.engine, next_end - simulation.now)
        plan.record_owner_full(decision.in_flight, decision.ceiling)
        return None

    def _try_grant(
        self, simulation: Simulation, plan: Plan, name: str, ended_requests: int
    ) -> Granted | Full:
        granted = simulation.engines[name].in_flight - ended_requests
        self._gate.by_engine[name] = EngineCount(granted=granted)
        elsewhere = max(simulation.lagged_total() - granted, plan.seen_in_flight_elsewhere(name), 0)
        return self._gate.try_grant(
            name, simulation.now, simulation.bound, elsewhere, len(simulation.engines)
        )

    def _record_location(self, plan: Plan, chat: int, engine: str) -> None:
        if engine == plan.home:
            self._locations.forget(chat)
        else:
            self._locations.remember(chat, engine)


def all_knowing(simulation: Simulation, chat: int) -> Choice:
    """Choose an engine that holds the context and is under the ceiling, else the least loaded."""
    ceiling = admission_ceiling(simulation.bound, simulation.total(), len(simulation.engines))
    holders = [
        e for e in simulation.engines.values() if chat in e.contexts and e.in_flight < ceiling
    ]
    pool = holders or list(simulation.engines.values())
    return Choice(min(pool, key=lambda engine: engine.in_flight).name)


def rendezvous(simulation: Simulation, chat: int) -> Choice:
    """Choose the home engine whatever its load."""
    return Choice(winner(str(chat), simulation.engines) or "")


def least_of_two(simulation: Simulation, chat: int) -> Choice:
    """Choose the less loaded of two engines drawn at random."""
    two = simulation.rng.sample(list(simulation.engines.values()), 2)
    return Choice(min(two, key=lambda engine: engine.in_flight).name)


def at_random(simulation: Simulation, chat: int) -> Choice:
    """Choose an engine at random."""
    return Choice(simulation.rng.choice(list(simulation.engines)))


@dataclass(frozen=True)
class Figures:
    """Figures of one run."""

    #: Share of returning turns that found their context.
    reuse: float
    #: 99th percentile over time of the largest load relative to the mean load.
    skew: float
    #: Share of starts that put an engine above its true ceiling at that time.
    above_ceiling: float


def run(policy: Policy, in_flight: int, bound: float, seed: int = 1) -> Figures:
    """Run one policy at a constant number of requests in flight."""
    rng = random.Random(seed)
    names = [f"engine-{index}" for index in range(ENGINES)]
    simulation = Simulation({name: Engine(name) for name in names}, bound, rng)
    idle = list(range(ENGINES * CHATS_PER_ENGINE))
    seen = simulation.seen
    ends: list[tuple[float, int, str]] = []
    replacement_times = [
        WARM_UP + (RUN_SECONDS - WARM_UP) * (index + 1) / (REPLACED_SHARE * ENGINES + 1)
        for index in range(round(REPLACED_SHARE * ENGINES))
    ]
    skews: list[float] = []
    context_found = returning = above_ceiling = starts = 0
    next_sample = WARM_UP

    def start() -> None:
        nonlocal context_found, returning, above_ceiling, starts
        at = rng.randrange(len(idle))
        idle[at], idle[-1] = idle[-1], idle[at]
        chat = idle.pop()
        choice = policy(simulation, chat)
        engine = simulation.engines[choice.engine]
        if simulation.now > WARM_UP:
            starts += 1
            ceiling = admission_ceiling(bound, simulation.total(), len(simulation.engines))
            above_ceiling += engine.in_flight - (choice.waited > 0) + 1 > ceiling
            if chat in seen:
                returning += 1
                context_found += chat in engine.contexts
        seen.add(chat)
        engine.in_flight += 1
        engine.keep(chat)
        end = simulation.now + choice.waited + rng.uniform(*DURATION)
        heapq.heappush(engine.endings, end)
        heapq.heappush(ends, (end, chat, engine.name))

    for _ in range(ENGINES * in_flight):
        start()
        simulation.totals.append((-VIEW_LAG, simulation.total()))
    while simulation.now < RUN_SECONDS:
        simulation.now, chat, name = heapq.heappop(ends)
        if replacement_times and simulation.now > replacement_times[0]:
            replacement_times.pop(0)
            _replace(simulation, ends)
        if name in simulation.engines:
            simulation.engines[name].in_flight -= 1
            heapq.heappop(simulation.engines[name].endings)
        idle.append(chat)
        start()
        simulation.totals.append((simulation.now, simulation.total()))
        if simulation.now > next_sample:
            next_sample = simulation.now + 1.0
            loads = [engine.in_flight for engine in simulation.engines.values()]
            skews.append(max(loads) * len(loads) / sum(loads))
    skews.sort()
    return Figures(context_found / returning, skews[int(0.99 * len(skews))], above_ceiling / starts)


def _replace(simulation: Simulation, ends: list[tuple[float, int, str]]) -> None:
    """Replace the first engine by a new, empty one; the requests of the old one are lost."""
    old = next(iter(simulation.engines))
    del simulation.engines[old]
    new = f"{old}-new"
    simulation.engines[new] = Engine(new)
    simulation.joined_at[new] = simulation.now


def measure_placement() -> Iterator[Measure]:
    """Measure the production policy and the baselines at several loads and bounds."""
    for in_flight, bound in ((2, 1.25), (8, 1.25), (8, 1.5), (70, 1.25)):
        best = run(all_knowing, in_flight, bound)
        name = f"placement_{in_flight}_in_flight_bound_{bound}"
        policies: dict[str, Policy] = {
            "serving": ServingPolicy(),
            "rendezvous": rendezvous,
            "least_of_two": least_of_two,
            "random": at_random,
        }
        for policy_name, policy in policies.items():
            figures = run(policy, in_flight, bound)
            prefix = f"{name}.{policy_name}"
            yield Measure(f"{prefix}.reuse", figures.reuse, "share", best.reuse, "all-knowing")
            yield Measure(f"{prefix}.skew_p99", figures.skew, "x mean", best.skew, "all-knowing")
            yield Measure(f"{prefix}.above_ceiling", figures.above_ceiling, "share of starts")
