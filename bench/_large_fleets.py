"""What a router's start costs, and what each other router costs it while it runs."""

from __future__ import annotations

import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

from bench._measures import Measure
from fakes._many_routers import ManyRouters
from pondhatch.membership import Phase

#: Numbers of routers: of the users' fleets, and of the size to design for.
SIZES = (19, 62, 195, 470)
UPSTREAMS = 43
#: Times that each thing is done.
CHANGES = 300
PACKETS = 2000
STARTS = 7
#: What a router of the prepared machines has loaded when it serves.
LOADED = (
    "import gc; gc.disable(); import pondhatch.cli, pondhatch.cli._router_process, "
    "pondhatch.platform"
)
SAY_PROCESSOR_TIME = "; import time; print(time.process_time())"


def measure_starts() -> Iterator[Measure]:
    """Measure the processor time until all that a router uses is loaded, over the bare one."""
    bare, loaded = _processor_of("pass"), _processor_of(LOADED)
    yield Measure("start.loaded", loaded * 1e3, "ms of processor", bare * 1e3, "bare interpreter")


def measure_members() -> Iterator[Measure]:
    """Measure what one of so many routers pays for the others."""
    for routers in SIZES:
        fleet = ManyRouters(routers, UPSTREAMS)

        def change(at: int, fleet: ManyRouters = fleet, routers: int = routers) -> None:
            other, incarnation = 1 + at % (routers - 1), 10 * at + 10
            fleet.receive_member(other, incarnation, Phase.DRAINING)
            fleet.receive_member(other, incarnation + 1)

        yield Measure(f"members.change.{routers}", _each(change, CHANGES) / 2 * 1e3, "ms")

        def packet(_: int, fleet: ManyRouters = fleet) -> None:
            fleet.receive_unchanged()

        def turn(_: int, fleet: ManyRouters = fleet) -> None:
            fleet.state.tick()

        yield Measure(f"members.packet.{routers}", _each(packet, PACKETS) * 1e6, "us")
        yield Measure(f"members.round.{routers}", _each(turn, PACKETS) * 1e6, "us")


def _each(work: Callable[[int], None], times: int) -> float:
    """Return the processor seconds of each time that something is done."""
    begun = time.process_time()
    for at in range(times):
        work(at)
    return (time.process_time() - begun) / times


def _processor_of(code: str) -> float:
    """Return the median processor seconds of some processes that run a piece of code."""
    command = [sys.executable, "-c", code + SAY_PROCESSOR_TIME]
    runs = [subprocess.run(command, capture_output=True, check=True) for _ in range(STARTS)]
    return statistics.median(float(run.stdout) for run in runs)
