"""Draws a run from a seed: the size of the fleet, its callers and overlapping faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

#: Seconds from the first request to the earliest possible fault.
WARM_UP_SECONDS = 2.0
#: Seconds after the last fault within which the fleet must have recovered.
RECOVERY_SECONDS = 12.0
#: Seconds after the recovery during which nearly all requests must be served.
TAIL_SECONDS = 4.0
#: Faults begun per second; they overlap, as several kinds last for seconds.
FAULTS_PER_SECOND = 0.9

#: The service whose answers are streams.
STREAM_SERVICE = "lang"
#: What a fault is injected at.
ROUTER, ENGINE, STORE, FLEET = "router", "engine", "store", "fleet"
#: An engine ends without a word.
ENGINE_CRASH = "engine-crash"
TARGET_BY_KIND = {
    "kill": ROUTER,
    "stop": ROUTER,
    "freeze": ROUTER,
    "hangup": ROUTER,
    ENGINE_CRASH: ENGINE,
    "engine-freeze": ENGINE,
    "engine-leaves": ENGINE,
    "engine-rests": ENGINE,
    "engine-refuses": ENGINE,
    "engine-fails": ENGINE,
    "engine-cuts": ENGINE,
    "engine-crosses": ENGINE,
    "engine-delayed": ENGINE,
    "engine-reset": ENGINE,
    "engine-silent": ENGINE,
    "engine-one-way": ENGINE,
    "store-out": STORE,
    "store-lost-answers": STORE,
    "store-forgets": STORE,
    "store-restored": STORE,
    "store-reset": STORE,
    "store-silent": STORE,
    "store-slow": STORE,
    "configuration": FLEET,
    "burst": FLEET,
}
#: Faults that are drawn in addition if the routers manage load.
TARGET_BY_LOAD_KIND = {
    "engine-slow": ENGINE,
    "engine-garbles-load": ENGINE,
    "engine-preempts": ENGINE,
    "slow-readers": FLEET,
    "burst": FLEET,
}
#: Faults that cut a router off from all engines, by the effect on its connections. They are drawn
#: in addition, in every run.
PATH_KINDS = ("path-refused", "path-hanging", "path-refused-new")
#: Path faults for each of the other faults, and their durations in seconds: longer than a router
#: takes to notice one.
PATH_FAULT_RATIO = 0.15
PATH_FAULT_SECONDS = (1.0, 4.0, 7.0)
#: Replaces the engines of the service with streams one after the other, by ones of another software
#: version. Drawn in addition, in every run, so that several versions serve side by side.
RELEASE = "release"
RELEASE_RATIO = 0.12
#: Engines whose answers have neither a length nor chunks, and streams that end inside an event;
#: drawn in addition, in every run.
ANSWER_KINDS = ("engine-unframed", "engine-stops-early")
ANSWER_FAULT_RATIO = 0.3
#: Engines that send answers a second time; drawn in addition, in every run.
ANSWERS_TWICE = "engine-answers-twice"
ANSWERS_TWICE_RATIO = 0.25
#: Engines that send bytes without end; drawn in addition, in every run.
ENDLESS = "engine-endless"
ENDLESS_RATIO = 0.15
#: Engines whose answers have spoilt heads or frames; drawn in addition, in every run.
SPOILT = "engine-spoils"
SPOILT_RATIO = 0.15
#: Requests that share a part which crashes engines; one in every run.
BAD_PART = "bad-part"
#: Most new connections go to one router, while callers open more of them; one in every run.
CROWDED_ROUTER = "crowded-router"
#: Kills of many routers at the same moment: of all, of all but one, of those of a data hall, and of
#: all twice. The first is drawn in every run, the others in addition, each with a release of its
#: own, so that the engines of the earlier version leave before, during or after the kill.
KILL_ALL, KILL_ALL_BUT_ONE = "kill-all", "kill-all-but-one"
KILL_HALL, KILL_ALL_TWICE = "kill-hall", "kill-all-twice"
ROUTER_KILL_KINDS = (KILL_ALL, KILL_ALL_BUT_ONE, KILL_HALL, KILL_ALL_TWICE)
ROUTER_KILL_RATIO = 0.06
#: Seconds for which the routers are down at least, and from the begin of the fault, some three
#: seconds before the kill, to that of its release.
ROUTER_KILL_SECONDS = (0.2, 1.0, 2.0)
RELEASE_AT_KILL_SECONDS = (-2.0, 5.0)
#: Routers that are out of step while a version of a service of their own joins: cut off from the
#: others and the store, from the others or the store alone, in one direction, as a data hall, or
#: standing still. Drawn in addition, several in every run.
APART, APART_OTHERS, APART_STORE = "apart", "apart-others", "apart-store"
APART_UNHEARD, APART_DEAF = "apart-unheard", "apart-deaf"
APART_HALL, STANDSTILL = "apart-hall", "standstill"
APART_KINDS = (APART, APART_OTHERS, APART_STORE, APART_UNHEARD, APART_DEAF, APART_HALL)
OUT_OF_STEP_KINDS = (*APART_KINDS, STANDSTILL)
OUT_OF_STEP_RATIO = 0.18
#: What a cut is recorded as in addition where it keeps a router from the store.
STORE_OUT_OF_REACH = "store-out-of-reach"
#: Seconds for which they are cut off, and the least and the most for which they stand still.
APART_SECONDS = (1.0, 2.0, 4.0, 6.0)
STANDSTILL_SECONDS = (0.6, 3.0)
#: The routers that read the platform for the others stand still, and a key is dropped; one in every
#: run.
LOST_READERS = "lost-readers"
#: Load faults for each of the other faults.
LOAD_FAULT_RATIO = 0.5


@dataclass(frozen=True)
class Fault:
    """One fault to inject during a run."""

    #: Seconds from the first request.
    starts_at: float
    kind: str
    #: Selects the router or engine: its index among the candidates, modulo their number.
    target_number: int
    #: How long it lasts; unused by kinds that are instantaneous.
    seconds: float
    #: How many requests it affects, for the kinds that count them.
    count: int


@dataclass(frozen=True)
class Plan:
    """One run of the soak test."""

    seed: int
    routers: int
    #: Engines per service.
    engines: int
    callers: int
    #: Length of the window in which faults begin, in seconds.
    fault_seconds: float
    faults: tuple[Fault, ...]
    #: Whether the routers manage load.
    manages_load: bool = False

    @property
    def own_services(self) -> int:
        """Services that one fault each has for itself."""
        return sum(each.kind in OUT_OF_STEP_KINDS for each in self.faults)

    @property
    def dropped_keys(self) -> int:
        """Keys that one fault each drops."""
        return sum(each.kind == LOST_READERS for each in self.faults)


def target_kind_of(kind: str) -> str:
    """Return what faults of a kind are injected at."""
    if kind in PATH_KINDS:
        return ROUTER
    if kind in (*ANSWER_KINDS, ANSWERS_TWICE, ENDLESS, SPOILT):
        return ENGINE
    if kind in (
        RELEASE,
        BAD_PART,
        CROWDED_ROUTER,
        LOST_READERS,
        *ROUTER_KILL_KINDS,
        *OUT_OF_STEP_KINDS,
    ):
        return FLEET
    return TARGET_BY_KIND.get(kind) or TARGET_BY_LOAD_KIND[kind]


def draw_plan(
    seed: int, fault_seconds: float, max_routers: int, manages_load: bool = False
) -> Plan:
    """Return the plan drawn from a seed; equal arguments give equal plans.

    Load faults, path faults, releases, faults of answers, second copies of answers, answers
    without end, spoilt answers, bad parts, crowds, lost readers, kills of many routers and routers
    out of step come from generators of their own, so that a seed draws the same other faults with
    and without them.
    """
    rng = random.Random(seed)
    routers = rng.randint(2, max(2, max_routers))
    engines = rng.randint(2, max(3, max_routers // 4))
    fault_count = max(3, round(fault_seconds * FAULTS_PER_SECOND))
    faults = [_draw_fault(rng, fault_seconds, tuple(TARGET_BY_KIND)) for _ in range(fault_count)]
    if manages_load:
        load_rng = random.Random(f"{seed} load")
        kinds = tuple(TARGET_BY_LOAD_KIND)
        faults += [
            _draw_fault(load_rng, fault_seconds, kinds)
            for _ in range(round(fault_count * LOAD_FAULT_RATIO))
        ]
    path_rng = random.Random(f"{seed} paths")
    faults += [
        replace(
            _draw_fault(path_rng, fault_seconds, PATH_KINDS),
            seconds=path_rng.choice(PATH_FAULT_SECONDS),
        )
        for _ in range(max(1, round(fault_count * PATH_FAULT_RATIO)))
    ]
    release_rng = random.Random(f"{seed} releases")
    faults += [
        _draw_fault(release_rng, fault_seconds, (RELEASE,))
        for _ in range(max(1, round(fault_count * RELEASE_RATIO)))
    ]
    answer_rng = random.Random(f"{seed} answers")
    faults += [
        _draw_fault(answer_rng, fault_seconds, ANSWER_KINDS)
        for _ in range(max(2, round(fault_count * ANSWER_FAULT_RATIO)))
    ]
    faults.append(_draw_fault(answer_rng, fault_seconds, (BAD_PART,)))
    twice_rng = random.Random(f"{seed} answers twice")
    faults += [
        _draw_fault(twice_rng, fault_seconds, (ANSWERS_TWICE,))
        for _ in range(max(2, round(fault_count * ANSWERS_TWICE_RATIO)))
    ]
    endless_rng = random.Random(f"{seed} endless")
    faults += [
        _draw_fault(endless_rng, fault_seconds, (ENDLESS,))
        for _ in range(max(1, round(fault_count * ENDLESS_RATIO)))
    ]
    spoilt_rng = random.Random(f"{seed} spoilt")
    faults += [
        _draw_fault(spoilt_rng, fault_seconds, (SPOILT,))
        for _ in range(max(1, round(fault_count * SPOILT_RATIO)))
    ]
    faults.append(_draw_fault(random.Random(f"{seed} crowds"), fault_seconds, (CROWDED_ROUTER,)))
    faults.append(_draw_fault(random.Random(f"{seed} readers"), fault_seconds, (LOST_READERS,)))
    faults += _draw_router_kills(
        random.Random(f"{seed} kills of many routers"),
        fault_seconds,
        max(1, round(fault_count * ROUTER_KILL_RATIO)),
    )
    faults += _draw_out_of_step(
        random.Random(f"{seed} routers out of step"),
        fault_seconds,
        max(2, round(fault_count * OUT_OF_STEP_RATIO)),
    )
    faults.sort(key=lambda each: each.starts_at)
    callers = 6 * min(routers, 12)
    return Plan(seed, routers, engines, callers, fault_seconds, tuple(faults), manages_load)


def _draw_fault(rng: random.Random, fault_seconds: float, kinds: tuple[str, ...]) -> Fault:
    return Fault(
        starts_at=round(WARM_UP_SECONDS + rng.uniform(0, fault_seconds), 3),
        kind=rng.choice(kinds),
        target_number=rng.randrange(1000),
        seconds=round(rng.choice((0.3, 1.0, 3.0, 5.0)) * rng.uniform(0.7, 1.3), 3),
        count=rng.choice((1, 3, 10, 40)),
    )


def _draw_router_kills(rng: random.Random, fault_seconds: float, count: int) -> list[Fault]:
    """Return a kill of all routers and some more kills of many, each with a release near it.

    Each is in a part of the window of its own, so that streams begin between two of them.
    """
    kinds = [KILL_ALL, *(rng.choice(ROUTER_KILL_KINDS[1:]) for _ in range(count))]
    rng.shuffle(kinds)
    part = fault_seconds / len(kinds)
    found = []
    for number, kind in enumerate(kinds):
        starts_at = WARM_UP_SECONDS + number * part + rng.uniform(0.0, part / 2)
        kill = _draw_fault(rng, fault_seconds, (kind,))
        seconds = rng.choice(ROUTER_KILL_SECONDS)
        release = _draw_fault(rng, fault_seconds, (RELEASE,))
        released_at = max(WARM_UP_SECONDS, starts_at + rng.uniform(*RELEASE_AT_KILL_SECONDS))
        latest = WARM_UP_SECONDS + fault_seconds
        found += [
            replace(kill, starts_at=round(starts_at, 3), seconds=seconds),
            replace(release, starts_at=round(min(latest, released_at), 3)),
        ]
    return found


def _draw_out_of_step(rng: random.Random, fault_seconds: float, count: int) -> list[Fault]:
    """Return faults by which routers get out of step, of different kinds while there are some.

    Each begins in a part of the window of its own.
    """
    kinds = [
        each for _ in range(count) for each in rng.sample(OUT_OF_STEP_KINDS, len(OUT_OF_STEP_KINDS))
    ][:count]
    found = []
    for number, kind in enumerate(kinds):
        begins = WARM_UP_SECONDS + fault_seconds * (number + rng.uniform(0.0, 0.8)) / count
        least, most = STANDSTILL_SECONDS
        seconds = rng.uniform(least, most) if kind == STANDSTILL else rng.choice(APART_SECONDS)
        fault = _draw_fault(rng, fault_seconds, (kind,))
        found.append(replace(fault, starts_at=round(begins, 3), seconds=round(seconds, 3)))
    return found
