"""Control traffic, processor, memory, platform calls and configuration delay by fleet size."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from bench._measures import Measure, processor_seconds, resident_kb, slope
from fakes._local_fleet import ROOT, LocalFleet, fetch

SIZES = (8, 16, 32, 64)
HALLS = 4
ENGINES = 4
#: Numbers of engines that are compared, and the number of routers of both fleets.
ENGINE_COUNTS = (4, 28)
ROUTERS_BEFORE_ENGINES = 8
#: Seconds without requests over which the traffic is counted.
QUIET_SECONDS = 12.0
#: Changes applied one after the other.
CHANGES = 5


@dataclass(frozen=True)
class FleetFigures:
    """Figures of a fleet of one size."""

    routers: int
    #: Gossip bytes per second of one router, sent and received: mean and maximum.
    control_rate: float
    control_rate_max: float
    #: Processor seconds per second of one idle router.
    processor: float
    memory_kb: float
    platform_calls: float
    #: Seconds from a change's acceptance until the last router has it in force: median and maximum.
    in_force_median: float
    in_force_max: float


def _control_bytes(fleet: LocalFleet) -> list[int]:
    states = [router.state() for router in fleet.routers]
    return [state["gossip_bytes_sent"] + state["gossip_bytes_received"] for state in states]


def _platform_calls(fleet: LocalFleet) -> int:
    calls: dict[str, int] = fetch(f"{fleet.platform_url}/calls")
    return sum(calls.values())


def _seconds_until_in_force(fleet: LocalFleet, folder: Path) -> list[float]:
    """Apply changes; return the seconds until the last router had each in force, sorted."""
    text = (ROOT / "bench/fleet.yaml").read_text()
    delays = []
    for number in range(CHANGES):
        path = folder / "change.yaml"
        path.write_text(text.replace("burst: 1000000", f"burst: {999_000 + number}"))
        fleet.apply(path)
        version = number + 2
        created = fetch(f"{fleet.platform_url}/v1/objects/pondhatch-change/{version:012d}")
        fleet.await_convergence(version)
        latest = max(router.state()["in_force_at"] for router in fleet.routers)
        delays.append(latest - created["at"])
    return sorted(delays)


def measure_size(routers: int, engines: int = ENGINES) -> FleetFigures:
    """Start a fleet of processes and measure it."""
    with LocalFleet(log_level="ERROR") as fleet:
        for index in range(engines):
            hall = f"recife-{index % HALLS + 1}"
            fleet.add_backend("engine", f"engine-{index}", "scene-language", hall)
        fleet.add_routers([f"recife-{number % HALLS + 1}" for number in range(routers)])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        time.sleep(5)
        pids = [router.process.pid for router in fleet.routers]
        before, calls_before = _control_bytes(fleet), _platform_calls(fleet)
        used = sum(processor_seconds(pid) for pid in pids)
        started = time.monotonic()
        time.sleep(QUIET_SECONDS)
        used = sum(processor_seconds(pid) for pid in pids) - used
        seconds = time.monotonic() - started
        calls_made = _platform_calls(fleet) - calls_before
        after = _control_bytes(fleet)
        rates = [(new - old) / seconds for new, old in zip(after, before, strict=True)]
        memory = sum(resident_kb(pid) for pid in pids) / routers
        delays = _seconds_until_in_force(fleet, fleet.folder)
    return FleetFigures(
        routers=routers,
        control_rate=sum(rates) / routers,
        control_rate_max=max(rates),
        processor=used / seconds / routers,
        memory_kb=memory,
        platform_calls=calls_made / seconds,
        in_force_median=delays[len(delays) // 2],
        in_force_max=delays[-1],
    )


def measure_fleet_sizes(sizes: tuple[int, ...] = SIZES) -> Iterator[Measure]:
    """Measure each size, then the slopes over the sizes."""
    found = [measure_size(size) for size in sizes]
    for each in found:
        name = f"fleet_{each.routers}"
        yield Measure(f"{name}.control", each.control_rate, "B/s a router")
        yield Measure(f"{name}.control_most", each.control_rate_max, "B/s, the busiest router")
        yield Measure(f"{name}.idle_processor", each.processor * 100, "% of a core a router")
        yield Measure(f"{name}.memory", each.memory_kb / 1024, "MB a router")
        yield Measure(f"{name}.platform_calls", each.platform_calls, "calls/s, all routers")
        yield Measure(f"{name}.in_force", each.in_force_median * 1000, "ms, median of changes")
        yield Measure(f"{name}.in_force_most", each.in_force_max * 1000, "ms, slowest change")
    if len(found) < 2:
        return
    for name, points in (
        ("control", [(each.routers, each.control_rate) for each in found]),
        ("idle_processor", [(each.routers, each.processor * 100) for each in found]),
        ("memory", [(each.routers, each.memory_kb) for each in found]),
        ("in_force", [(each.routers, each.in_force_median * 1000) for each in found]),
    ):
        yield Measure(f"slope.{name}", slope([(float(x), y) for x, y in points])[0], "per router")


def measure_engine_counts() -> Iterator[Measure]:
    """Measure the control traffic, idle processor and memory that an owned engine adds."""
    few, many = (measure_size(ROUTERS_BEFORE_ENGINES, count) for count in ENGINE_COUNTS)
    added_per_router = (ENGINE_COUNTS[1] - ENGINE_COUNTS[0]) / ROUTERS_BEFORE_ENGINES
    yield Measure(
        "engine.control",
        (many.control_rate - few.control_rate) / added_per_router,
        "B/s an owned engine",
    )
    processor = (many.processor - few.processor) / added_per_router
    yield Measure("engine.idle_processor", processor * 100, "% of a core an owned engine")
    yield Measure(
        "engine.memory", (many.memory_kb - few.memory_kb) / added_per_router, "KB an owned engine"
    )
