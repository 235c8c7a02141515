"""The sections of the state dump, each of the views that it declares; they register themselves."""

from __future__ import annotations

import math
import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from pondhatch.kernel import REGISTRY, Plugin
from pondhatch.membership import Versions
from pondhatch.router._authority import Authority
from pondhatch.router._state import RouterState

Dump = dict[str, Any]

#: Kind under which sections register.
SECTION_KIND = "dump section"
#: Maximum number of accounts in a dump, the busiest first.
SHOWN_ACCOUNTS = 20
#: Maximum number of suspected requests in a dump.
SHOWN_SUSPECTS = 20
#: The file in which Linux reports the process's memory, in pages.
STATM = Path("/proc/self/statm")


class Counters(msgspec.Struct, frozen=True):
    """Counters of the transport, by name."""

    by_name: Mapping[str, Any]


@REGISTRY.register(SECTION_KIND, "0-router")
class RouterSection(Plugin):
    """The router's identity, and the versions that it holds."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        return {
            "router": state.name,
            "hall": state.hall,
            "phase": state.phase.name.lower(),
            "watches_platform": state.is_watcher(),
            "confirmed_seconds_ago": _seconds_or_none(state.freshness.age(state.clock())),
            "configuration": state.configuration.version,
            "in_force_at": round(state.in_force_at, 4),
            "upstreams_version": state.upstreams.version,
        }


@REGISTRY.register(SECTION_KIND, "1-process")
class ProcessSection(Plugin):
    """The resource usage of the process, and the transport's counters."""

    DEPENDENCIES = (Counters,)

    def content(self) -> Dump:
        """Return the section's keys."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "cpu_seconds": round(usage.ru_utime + usage.ru_stime, 3),
            "memory_kb": resident_kb(),
            "peak_memory_kb": usage.ru_maxrss,
            **self.view(Counters).by_name,
        }


@REGISTRY.register(SECTION_KIND, "2-members")
class MembersSection(Plugin):
    """The members of the fleet in this router's view."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        versions = state.gossip.versions()
        return {
            "members": [
                {
                    "name": member.name,
                    "hall": member.hall,
                    "phase": member.phase.name.lower(),
                    "status": member.status.name.lower(),
                    "capacity": member.capacity,
                    "configuration": versions.get(member.name, Versions()).configuration,
                    "upstreams_version": versions.get(member.name, Versions()).upstreams,
                }
                for member in state.members()
            ]
        }


@REGISTRY.register(SECTION_KIND, "3-upstreams")
class UpstreamsSection(Plugin):
    """The upstreams with their owners, notices, paces and failures."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        now = state.clock()
        failing = sorted(state.health.health_by_upstream.items())
        return {
            "upstreams": [
                {
                    "name": name,
                    "service": entry.upstream.service,
                    "hall": entry.upstream.hall,
                    "state": entry.upstream.state,
                    "software_version": entry.upstream.software_version,
                    "owner": state.owner_name(name),
                    "in_flight_here": state.gate.in_flight(name, now),
                }
                for name, entry in sorted(state.upstreams.entry_by_name.items())
            ],
            "upstreams_notices": [
                {"name": name, "leaving": notice.is_leaving, "rest_seconds": round(notice.rest, 3)}
                for name, notice in sorted(state.notices.current(now).items())
            ],
            "upstreams_paces": [
                {"name": name, "pace": known.pace, "age_seconds": round(now - known.read_at, 3)}
                for name, known in sorted(state.paces.current(now).items())
            ],
            "upstreams_failing": [
                {"name": name, "failures": health.consecutive_failures} for name, health in failing
            ],
        }


@REGISTRY.register(SECTION_KIND, "4-accounts")
class AccountsSection(Plugin):
    """The busiest accounts at this router, and the retry budgets by service."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        uses = state.limits.gate.use_by_account.items()
        busiest = sorted(uses, key=lambda item: -item[1].running)
        return {
            "accounts": [
                {"name": name, "running": use.running, "tokens": round(use.tokens, 2)}
                for name, use in busiest[:SHOWN_ACCOUNTS]
            ],
            "retries_saved": {
                service: round(budget.saved, 2)
                for service, budget in sorted(state.retry_budgets.budget_by_service.items())
            },
        }


@REGISTRY.register(SECTION_KIND, "9-held")
class HeldSection(Plugin):
    """The bytes buffered for callers and engines, and the accounts that hold most of them."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        held = self.view(RouterState).held_bytes
        return {
            "held_bytes": held.total,
            "held_bytes_bound": held.bound,
            "held_by_account": [
                {"name": name, "bytes": amount, "slowed": held.is_slowed(name)}
                for name, amount in held.largest(SHOWN_ACCOUNTS)
            ],
        }


@REGISTRY.register(SECTION_KIND, "6-orders")
class OrdersSection(Plugin):
    """The status of each service whose engines get their orders from this router."""

    DEPENDENCIES = (Authority,)

    def content(self) -> Dump:
        """Return the section's keys."""
        statuses = self.view(Authority).statuses()
        return {"orders": [msgspec.to_builtins(status) for status in statuses]}


@REGISTRY.register(SECTION_KIND, "7-quarantine")
class QuarantineSection(Plugin):
    """What was running when engines crashed: requests, and parts of their prompts."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        return {
            "requests_that_end_engines": self._suspects(is_part=False),
            "prompt_parts_that_end_engines": self._suspects(is_part=True),
        }

    def _suspects(self, is_part: bool) -> list[Dump]:
        """Return the suspected requests or parts, those with most crashes first."""
        state = self.view(RouterState)
        now, suspects = state.clock(), state.suspects
        known = [
            (digest, each)
            for digest, each in suspects.suspect_by_digest.items()
            if each.is_part is is_part
        ]
        known.sort(key=lambda item: (-suspects.crash_count(item[0]), -item[1].last_crash_at))
        return [
            {
                "digest": f"{digest:x}",
                "quarantined": suspects.is_quarantined(digest, now),
                "ended": suspect.uncleared_crashes(),
                "cleared_of": sorted(suspect.cleared),
                "last_end_seconds_ago": round(now - suspect.last_crash_at, 1),
            }
            for digest, suspect in known[:SHOWN_SUSPECTS]
        ]


@REGISTRY.register(SECTION_KIND, "8-intake")
class IntakeSection(Plugin):
    """What restricts the requests to live upstreams: evacuated halls, and cold upstreams."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        seconds = {name: state.cold_seconds(name) for name in state.upstreams.entry_by_name}
        return {
            "evacuations_known": state.halls.evacuations.is_known,
            "evacuated_halls": sorted(state.halls.evacuations.halls),
            "cold_upstreams": [
                {"name": name, "seconds_left": round(left, 1)}
                for name, left in sorted(seconds.items())
                if left > 0
            ],
        }


@REGISTRY.register(SECTION_KIND, "9-memory")
class MemorySection(Plugin):
    """The tokens that requests hold in the memory of the engines that this router owns."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        now = state.clock()
        return {
            "engine_tokens": [
                {
                    "name": name,
                    "tokens": count.used,
                    "requests": len(count.need_by_request),
                    "long_prompts": count.count_long_prefills(now),
                    "reserved": count.reservation is not None,
                }
                for name, count in sorted(state.token_counts.by_engine.items())
            ],
            "memory_refusals": state.token_counts.refusals,
        }


@REGISTRY.register(SECTION_KIND, "5-decisions")
class DecisionsSection(Plugin):
    """The last placement decisions: the engine of each request, and why others were skipped."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        return {
            "spilled_chats": len(state.spill_locations.engine_by_chat),
            "decisions": [msgspec.to_builtins(decision) for decision in reversed(state.decisions)],
        }


def _seconds_or_none(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None


def resident_kb() -> int:
    """Return the process's resident memory in kilobytes, 0 where the system does not report it."""
    try:
        pages = int(STATM.read_text().split()[1])
    except OSError:
        return 0
    return pages * resource.getpagesize() // 1024
