"""Control traffic, processor, memory, platform calls and time to force against fleet size."""

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
#: Numbers of engines that are compared, before so many routers.
ENGINE_COUNTS = (4, 28)
ROUTERS_BEFORE_ENGINES = 8
#: Seconds of quiet over which traffic is counted.
QUIET = 12.0
#: Changes applied one after the other.
CHANGES = 5


@dataclass(frozen=True)
class FleetFigures:
    """What one size of fleet showed."""

    routers: int
    #: Bytes a second of one router, sent and received, mean and largest.
    control: float
    control_most: float
    #: Processor seconds a second of one idle router.
    processor: float
    memory_kb: float
    platform_calls: float
    #: Seconds from accepted to in force at the last router: median and longest.
    in_force: float
    in_force_most: float


def _control_bytes(fleet: LocalFleet) -> list[int]:
    states = [router.state() for router in fleet.routers]
    return [state["gossip_bytes_sent"] + state["gossip_bytes_received"] for state in states]


def _platform_calls(fleet: LocalFleet) -> int:
    calls: dict[str, int] = fetch(f"{fleet.platform_url}/calls")
    return sum(calls.values())


def _time_to_force(fleet: LocalFleet, folder: Path) -> list[float]:
    """Apply changes; return for each the seconds until the last router had it in force."""
    text = (ROOT / "bench/fleet.yaml").read_text()
    spans = []
    for number in range(CHANGES):
        path = folder / "change.yaml"
        path.write_text(text.replace("burst: 1000000", f"burst: {999_000 + number}"))
        fleet.apply(path)
        version = number + 2
        created = fetch(f"{fleet.platform_url}/v1/objects/pondhatch-change/{version:012d}")
        fleet.await_convergence(version)
        latest = max(router.state()["in_force_at"] for router in fleet.routers)
        spans.append(latest - created["at"])
    return sorted(spans)


def measure_size(routers: int, engines: int = ENGINES) -> FleetFigures:
    """Start a fleet of processes and measure it."""
    with LocalFleet(log_level="ERROR") as fleet:
        for at in range(engines):
            hall = f"recife-{at % HALLS + 1}"
            fleet.add_backend("engine", f"engine-{at}", "scene-language", hall)
        fleet.add_routers([f"recife-{at % HALLS + 1}" for at in range(routers)])
        fleet.apply(ROOT / "bench/fleet.yaml")
        fleet.await_convergence(1)
        time.sleep(5)
        pids = [router.process.pid for router in fleet.routers]
        before, calls = _control_bytes(fleet), _platform_calls(fleet)
        used = sum(processor_seconds(pid) for pid in pids)
        started = time.monotonic()
        time.sleep(QUIET)
        used = sum(processor_seconds(pid) for pid in pids) - used
        seconds = time.monotonic() - started
        called = _platform_calls(fleet) - calls
        after = _control_bytes(fleet)
        rates = [(new - old) / seconds for new, old in zip(after, before, strict=True)]
        memory = sum(resident_kb(pid) for pid in pids) / routers
        spans = _time_to_force(fleet, fleet.folder)
    return FleetFigures(
        routers=routers,
        control=sum(rates) / routers,
        control_most=max(rates),
        processor=used / seconds / routers,
        memory_kb=memory,
        platform_calls=called / seconds,
        in_force=spans[len(spans) // 2],
        in_force_most=spans[-1],
    )


def measure_fleet_sizes(sizes: tuple[int, ...] = SIZES) -> Iterator[Measure]:
    """Measure each size, then the slopes over sizes."""
    found = [measure_size(size) for size in sizes]
    for each in found:
        name = f"fleet_{each.routers}"
        yield Measure(f"{name}.control", each.control, "B/s a router")
        yield Measure(f"{name}.control_most", each.control_most, "B/s, the busiest router")
        yield Measure(f"{name}.idle_processor", each.processor * 100, "% of a core a router")
        yield Measure(f"{name}.memory", each.memory_kb / 1024, "MB a router")
        yield Measure(f"{name}.platform_calls", each.platform_calls, "calls/s, all routers")
        yield Measure(f"{name}.in_force", each.in_force * 1000, "ms, median of changes")
        yield Measure(f"{name}.in_force_most", each.in_force_most * 1000, "ms, slowest change")
    if len(found) < 2:
        return
    for name, points in (
        ("control", [(each.routers, each.control) for each in found]),
        ("idle_processor", [(each.routers, each.processor * 100) for each in found]),
        ("memory", [(each.routers, each.memory_kb) for each in found]),
        ("in_force", [(each.routers, each.in_force * 1000) for each in found]),
    ):
        yield Measure(f"slope.{name}", slope([(float(x), y) for x, y in points])[0], "per router")


def measure_engine_counts() -> Iterator[Measure]:
    """Measure what one more engine costs the fleet in control and idle processor."""
    few, many = (measure_size(ROUTERS_BEFORE_ENGINES, count) for count in ENGINE_COUNTS)
    each = (ENGINE_COUNTS[1] - ENGINE_COUNTS[0]) / ROUTERS_BEFORE_ENGINES
    yield Measure("engine.control", (many.control - few.control) / each, "B/s an owned engine")
    processor = (many.processor - few.processor) / each
    yield Measure("engine.idle_processor", processor * 100, "% of a core an owned engine")
    yield Measure("engine.memory", (many.memory_kb - few.memory_kb) / each, "KB an owned engine")
