"""A measure, printed as one JSON line with name, value, unit, baseline and ratio."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path

#: Clock ticks per second, the unit of processor time in /proc.
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Measure:
    """One figure, with its baseline from the same run."""

    name: str
    value: float
    unit: str
    #: The figure of the baseline, in the same unit, and what the baseline is.
    baseline: float | None = None
    against: str | None = None

    def to_json(self) -> str:
        """Return the measure as a JSON line."""
        ratio = round(self.value / self.baseline, 3) if self.baseline else None
        record = {
            "name": self.name,
            "value": round(self.value, 6),
            "unit": self.unit,
            "baseline": None if self.baseline is None else round(self.baseline, 6),
            "ratio": ratio,
            "against": self.against,
        }
        return json.dumps(record)


def processor_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_kb(pid: int) -> int:
    """Return a process's resident memory in KB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return (slope, intercept) of the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return gradient, mean_y - gradient * mean_x
