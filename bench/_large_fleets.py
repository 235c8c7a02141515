"""Processor time of a router's start, and of the other routers of its fleet while it runs."""

from __future__ import annotations

import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

from bench._measures import Measure
from fakes._many_routers import ManyRouters
from pondhatch.membership import Phase

#: Numbers of routers: those of the users' fleets, and the size to design for.
SIZES = (19, 62, 195, 470)
UPSTREAMS = 43
#: Repetitions of each measured operation.
CHANGES = 300
PACKETS = 2000
STARTS = 7
#: Imports all that a router on the prepared machines has loaded when it serves.
IMPORT_STATEMENTS = (
    "import gc; gc.disable(); import pondhatch.cli, pondhatch.cli._router_process, "
    "pondhatch.platform"
)
PRINT_PROCESSOR_TIME = "; import time; print(time.process_time())"


def measure_starts() -> Iterator[Measure]:
    """Measure the processor time of loading a router's code, against a bare interpreter."""
    bare, loaded = _median_processor_seconds("pass"), _median_processor_seconds(IMPORT_STATEMENTS)
    yield Measure("start.loaded", loaded * 1e3, "ms of processor", bare * 1e3, "bare interpreter")


def measure_members() -> Iterator[Measure]:
    """Measure the processor time that a router spends on the others, by fleet size."""
    for routers in SIZES:
        fleet = ManyRouters(routers, UPSTREAMS)

        def apply_changes(at: int, fleet: ManyRouters = fleet, routers: int = routers) -> None:
            other, incarnation = 1 + at % (routers - 1), 10 * at + 10
            fleet.receive_member(other, incarnation, Phase.DRAINING)
            fleet.receive_member(other, incarnation + 1)

        yield Measure(
            f"members.change.{routers}", _seconds_per_call(apply_changes, CHANGES) / 2 * 1e3, "ms"
        )

        def receive_packet(_: int, fleet: ManyRouters = fleet) -> None:
            fleet.receive_unchanged()

        def tick(_: int, fleet: ManyRouters = fleet) -> None:
            fleet.state.tick()

        yield Measure(
            f"members.packet.{routers}", _seconds_per_call(receive_packet, PACKETS) * 1e6, "us"
        )
        yield Measure(f"members.round.{routers}", _seconds_per_call(tick, PACKETS) * 1e6, "us")


def _seconds_per_call(work: Callable[[int], None], times: int) -> float:
    """Return the mean processor seconds of a call, over ``times`` calls."""
    begun = time.process_time()
    for index in range(times):
        work(index)
    return (time.process_time() - begun) / times


def _median_processor_seconds(code: str) -> float:
    """Return the median processor seconds of an interpreter that runs ``code``."""
    command = [sys.executable, "-c", code + PRINT_PROCESSOR_TIME]
    runs = [subprocess.run(command, capture_output=True, check=True) for _ in range(STARTS)]
    return statistics.median(float(run.stdout) for run in runs)
