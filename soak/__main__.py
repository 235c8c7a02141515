"""Run drawn faults against the real programs: ``python -m soak --seed 7 --minutes 1``."""

from __future__ import annotations

import asyncio
import json
import sys
import tomllib
from collections import Counter
from pathlib import Path

import defopt

from soak._plan import Plan, draw_plan
from soak._records import OK, Records
from soak._run import run_plan
from soak._stream_checks import resumed_after_kills, resumed_out_of_step

REGRESSIONS = Path(__file__).parent / "regressions.toml"


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    minutes: float = 0.5,
    routers: int = 4,
    load: bool = False,
    regressions: bool = False,
    logs: Path | None = None,
) -> None:
    """Run one seed after the other, and print the violated promises.

    :param seed: the first seed
    :param seeds: how many seeds, counted up from the first
    :param minutes: how long faults are started in each run
    :param routers: the largest number of routers that a seed may draw
    :param load: have the routers manage load, and draw load faults in addition
    :param logs: folder that gets what the processes of each run write, by seed
    :param regressions: run the recorded seeds instead, each of which once broke a promise
    """
    plans = [draw_plan(seed + index, minutes * 60, routers, load) for index in range(seeds)]
    if regressions:
        recorded = tomllib.loads(REGRESSIONS.read_text())["run"]
        plans = [
            draw_plan(each["seed"], each["minutes"] * 60, each["routers"], each.get("load", False))
            for each in recorded
        ]
    broken = [plan.seed for plan in plans if not _run_and_report(plan, logs)]
    print(f"{len(plans) - len(broken)} clean, {len(broken)} broken{_format_seeds(broken)}")
    sys.exit(1 if broken else 0)


def _run_and_report(plan: Plan, logs: Path | None) -> bool:
    """Run a plan and print its results as a JSON line; return whether it broke no promise."""
    log_file = None if logs is None else logs / f"{plan.seed}.log"
    records, violations = asyncio.run(run_plan(plan, log_file))
    print(json.dumps({**_summary(plan, records), "broken": violations}), flush=True)
    return not violations


def _summary(plan: Plan, records: Records) -> dict[str, object]:
    after_kills = resumed_after_kills(records)
    out_of_step = resumed_out_of_step(records)
    statuses = Counter(str(each.status) for each in records.attempts)
    return {
        "seed": plan.seed,
        "routers": plan.routers,
        "engines": plan.engines,
        "faults": dict(Counter(each.kind for each in plan.faults)),
        "attempts": len(records.attempts),
        "statuses": dict(sorted(statuses.items())),
        "ended_by_bad_part": list(records.ends_by_bad_part.values()),
        "resumed_after_kills": len(after_kills),
        "went_on_after_kills": sum(each.status == OK for each in after_kills),
        "resumed_out_of_step": len(out_of_step),
        "went_on_out_of_step": sum(each.status == OK for each in out_of_step),
        "said_leaving": sum(each.announced_leaving for each in records.arrivals),
        "asked_for_rest": sum(each.rest_seconds > 0 for each in records.arrivals),
    }


def _format_seeds(seeds: list[int]) -> str:
    return f": {', '.join(map(str, seeds))}" if seeds else ""


if __name__ == "__main__":
    defopt.run(soak)
