"""Compares several checkouts of the code on the same days and seeds of the users' bench.

A way is a named folder with a checkout of the repository, so that ways may differ in anything.
A way runs its days one after the other; several ways may run concurrently. The table holds the
mean, minimum and maximum over the seeds of worth and of credit, and the mean number of refusals.
"""

from __future__ import annotations

import re
import statistics
import subprocess
import sys
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import defopt

#: Lines of a day's report: its result, how its requests ended, and each broken rule.
_WORTH_LINE = re.compile(r"^worth (?P<worth>-?[\d.]+) = whole day (?P<day>[\d.]+)", re.MULTILINE)
_REFUSED_COUNT = re.compile(r"^how tries ended:.*?\b503: (?P<refused>\d+)", re.MULTILINE)
_BROKEN_RULE = re.compile(r"^ *(?P<rule>[A-Z]{4,}) at ", re.MULTILINE)


class RunFailed(Exception):
    """A run printed no result, for example because the bench gave it up."""


@dataclass(frozen=True)
class DayResult:
    """Result of one run."""

    #: Score of the day, after prices.
    worth: float
    #: Share of the day's credit that was earned, before prices.
    earned: float
    #: Number of answers with status 503.
    refused: int
    #: Names of the broken rules, one for each time that a rule was broken.
    broken_rules: tuple[str, ...] = ()


@dataclass(frozen=True)
class Run:
    """One day to run: at one deployment, with one way and seed."""

    way: str
    #: The deployment's site file.
    site: Path
    #: A day's name or its file.
    day: str
    seed: int


def read_report(text: str) -> DayResult:
    """Return the result in a day's report. Raises RunFailed if the report states no worth."""
    worth = _WORTH_LINE.search(text)
    if worth is None:
        raise RunFailed(text.strip().splitlines()[-1] if text.strip() else "no report")
    refused = _REFUSED_COUNT.search(text)
    return DayResult(
        worth=float(worth["worth"]),
        earned=float(worth["day"]),
        refused=int(refused["refused"]) if refused else 0,
        broken_rules=tuple(found["rule"] for found in _BROKEN_RULE.finditer(text)),
    )


def format_table(result_by_run: Mapping[Run, DayResult]) -> str:
    """Return a table with a line for each deployment, day and way."""
    groups: dict[tuple[str, str, str], list[DayResult]] = {}
    for run, result in result_by_run.items():
        groups.setdefault((run.site.stem, Path(run.day).stem, run.way), []).append(result)
    lines = [
        f"{'deployment':24} {'day':28} {'way':16} {'worth':22} {'earned':22} {'503s':>8} broken"
    ]
    for (site, day, way), results in sorted(groups.items()):
        worth = _format_spread([each.worth for each in results])
        earned = _format_spread([each.earned for each in results])
        refused = statistics.mean(each.refused for each in results)
        broken = " ".join(rule for each in results for rule in each.broken_rules) or "none"
        lines.append(f"{site:24} {day:28} {way:16} {worth:22} {earned:22} {refused:8.0f} {broken}")
    return "\n".join(lines)


def policies(
    *,
    bench: Path,
    way: list[str],
    site: list[Path],
    day: list[str],
    seeds: int = 3,
    first_seed: int = 1,
    jobs: int = 2,
    why: str = "Trial: ways compared",
) -> None:
    """Run ways x deployments x days x seeds, and print one table.

    :param bench: the users' bench
    :param way: NAME=FOLDER, once for each way
    :param site: a deployment's site file
    :param day: a day's name or file
    :param seeds: how many seeds, counted up from the first
    :param first_seed: the first seed
    :param jobs: ways that run concurrently, each in its own folder
    :param why: the reason, as a line for the journal of each folder
    """
    folder_by_way = {
        name: Path(folder) for name, _, folder in (each.partition("=") for each in way)
    }
    numbers = range(first_seed, first_seed + seeds)
    runs = [
        Run(name, each_site.resolve(), _resolve_day(each_day), seed)
        for name in folder_by_way
        for each_site in site
        for each_day in day
        for seed in numbers
    ]
    print(format_table(_run_all(runs, bench.resolve(), folder_by_way, jobs, why)))


def _resolve_day(day: str) -> str:
    return str(Path(day).resolve()) if Path(day).exists() else day


def _run_all(
    runs: Sequence[Run], bench: Path, folder_by_way: Mapping[str, Path], jobs: int, why: str
) -> dict[Run, DayResult]:
    """Run the days of each folder one after the other, and up to ``jobs`` folders at a time."""

    def run_way(name: str) -> Iterable[tuple[Run, DayResult]]:
        return [
            (run, _run_day(run, bench, folder_by_way[name], why)) for run in runs if run.way == name
        ]

    with ThreadPoolExecutor(jobs) as pool:
        by_way = list(pool.map(run_way, folder_by_way))
    return {run: played for found in by_way for run, played in found}


def _run_day(run: Run, bench: Path, folder: Path, why: str) -> DayResult:
    command = [
        *(str(bench), "run", str(run.site), run.day),
        *("--seed", str(run.seed), "--no-cpu", "--why", f"{why} ({run.way})"),
    ]
    ended = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    try:
        return read_report(ended.stdout)
    except RunFailed as error:
        raise RunFailed(f"{run}: {error}; {ended.stderr.strip()[-200:]}") from error


def _format_spread(values: Sequence[float]) -> str:
    return f"{statistics.mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def main(arguments: list[str]) -> int:
    """Run the comparison with command-line arguments; return the exit code."""
    try:
        defopt.run(policies, argv=arguments)
    except RunFailed as error:
        print(f"run failed: {error}", file=sys.stderr)
        return 1
    return 0
