"""The state dump: what a router does and why, as text and as JSON."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from klein import Klein

from pondhatch.membership import Member, Versions
from pondhatch.router import RouterState

Dump = dict[str, Any]

#: Accounts shown in a dump, the busiest first.
SHOWN_ACCOUNTS = 20
#: Where Linux tells a process its memory, in pages.
STATM = Path("/proc/self/statm")


def dump_state(state: RouterState, extra: Dump) -> Dump:
    """Return a router's state as plain data; never an API key nor the hash of one."""
    now = state.clock()
    versions = state.gossip.versions()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "router": state.name,
        "hall": state.hall,
        "phase": state.phase.name.lower(),
        "watches_platform": state.is_watcher(),
        "configuration": state.fleet.version,
        "in_force_at": round(state.in_force_at, 4),
        "upstreams_version": state.upstreams.version,
        "cpu_seconds": round(usage.ru_utime + usage.ru_stime, 3),
        "memory_kb": resident_kb(),
        "peak_memory_kb": usage.ru_maxrss,
        **extra,
        "members": [_member(member, versions) for member in state.members()],
        "upstreams": _upstreams(state, now),
        "accounts": _accounts(state),
        "upstreams_down": _down(state),
        "spilled_chats": len(state.memory.engine_by_chat),
        "retries_saved": round(state.retries.saved, 2),
        "decisions": [msgspec.to_builtins(note) for note in reversed(state.decisions)],
    }


def resident_kb() -> int:
    """Return the process's resident memory in kilobytes, 0 where the system does not tell."""
    try:
        pages = int(STATM.read_text().split()[1])
    except OSError:
        return 0
    return pages * resource.getpagesize() // 1024


def _member(member: Member, versions: dict[str, Versions]) -> Dump:
    held = versions.get(member.name, Versions())
    return {
        "name": member.name,
        "hall": member.hall,
        "phase": member.phase.name.lower(),
        "status": member.status.name.lower(),
        "configuration": held.configuration,
        "upstreams_version": held.upstreams,
    }


def _upstreams(state: RouterState, now: float) -> list[Dump]:
    return [
        {
            "name": name,
            "service": entry.upstream.service,
            "hall": entry.upstream.hall,
            "state": entry.upstream.state,
            "owner": state.owner_name(name),
            "in_flight_here": state.gate.in_flight(name, now),
        }
        for name, entry in sorted(state.upstreams.entry_by_name.items())
    ]


def _down(state: RouterState) -> list[Dump]:
    known = state.health.health_by_upstream
    return [{"name": name, "failures": each.failures} for name, each in sorted(known.items())]


def _accounts(state: RouterState) -> list[Dump]:
    busiest = sorted(state.limits.gate.use_by_account.items(), key=lambda item: -item[1].running)
    return [
        {"name": name, "running": use.running, "tokens": round(use.tokens, 2)}
        for name, use in busiest[:SHOWN_ACCOUNTS]
    ]


def readable(dump: Dump) -> str:
    """Return a dump as text for people."""
    lines = []
    for key, value in dump.items():
        if not isinstance(value, list):
            lines.append(f"{key}: {value}")
            continue
        lines.append(f"{key}: {len(value)}")
        lines.extend("  " + _row(row) for row in value)
    return "\n".join(lines) + "\n"


def _row(row: Dump) -> str:
    if "request_id" not in row:
        return "  ".join(f"{key}={value}" for key, value in row.items())
    at = time.strftime("%H:%M:%S", time.gmtime(row["at"]))
    passed = "; ".join(f"{engine}: {why}" for engine, why in row["passed_over"])
    engine = row["engine"] or "no engine"
    told = f"{at} {row['account']} -> {row['service']}: {engine}, {row['outcome']}"
    told += f" after {row['seconds']} s"
    return f"{told}; passed over {passed}" if passed else told


class Admin:
    """Serves the dump; to be bound where only operators reach it."""

    def __init__(self, state: RouterState, extra: Callable[[], Dump]) -> None:
        self.app = Klein()
        self._state = state
        self._extra = extra
        self._route()

    def _route(self) -> None:
        @self.app.route("/state.json")
        def as_json(request: Any) -> bytes:
            request.setHeader(b"Content-Type", b"application/json")
            return msgspec.json.encode(self._dump())

        @self.app.route("/state")
        def as_text(request: Any) -> bytes:
            request.setHeader(b"Content-Type", b"text/plain; charset=utf-8")
            return readable(self._dump()).encode()

    def _dump(self) -> Dump:
        return dump_state(self._state, self._extra())
