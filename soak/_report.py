"""Tells which promises a run broke, and what was done to its processes meanwhile."""

from __future__ import annotations

from soak._records import Disturbance, Records


def report(records: Records, violations: list[str]) -> str:
    """Return each violation in full, and each disturbance with its seconds from the first request.

    A process is disturbed from the begin to the end; the record that is made at the begin is left
    out where that of the end follows.
    """
    first = min((each.sent_at for each in records.attempts), default=0.0)
    lines = [f"{len(violations)} violations in {len(records.attempts)} requests", *violations]
    latest = {(each.kind, each.name, each.begins): each for each in records.disturbances}
    by_begin = sorted(latest.values(), key=lambda each: each.begins)
    return "\n".join([*lines, *(_line(each, first) for each in by_begin)])


def _line(disturbance: Disturbance, first: float) -> str:
    begins, ends = disturbance.begins - first, disturbance.ends - first
    return f"{begins:6.2f} to {ends:6.2f} s: {disturbance.kind} at {disturbance.name}"
