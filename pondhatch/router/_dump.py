"""The state dump: sections that register themselves, each reading what it declares.

A new section is a class here, or anywhere that is imported: the dump shows it
without being told of it.
"""

from __future__ import annotations

import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol, cast

import msgspec

from pondhatch.kernel import REGISTRY, Plugin
from pondhatch.membership import Versions
from pondhatch.router._authority import Authority
from pondhatch.router._state import RouterState

Dump = dict[str, Any]

#: Kind under which sections register.
SECTION_KIND = "dump section"
#: Accounts shown in a dump, the busiest first.
SHOWN_ACCOUNTS = 20
#: Requests under which engines ended that are shown in a dump.
SHOWN_SUSPECTS = 20
#: Where Linux tells a process its memory, in pages.
STATM = Path("/proc/self/statm")


class Section(Protocol):
    """A part of the dump."""

    def content(self) -> Dump:
        """Return the section's keys; never an API key nor the hash of one."""


class Counters(msgspec.Struct, frozen=True):
    """Counts that the transport keeps, by name."""

    by_name: Mapping[str, Any]


@REGISTRY.register(SECTION_KIND, "0-router")
class RouterSection(Plugin):
    """Who this router is and what it holds."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        return {
            "router": state.name,
            "hall": state.hall,
            "phase": state.phase.name.lower(),
            "watches_platform": state.is_watcher(),
            "configuration": state.fleet.version,
            "in_force_at": round(state.in_force_at, 4),
            "upstreams_version": state.upstreams.version,
        }


@REGISTRY.register(SECTION_KIND, "1-process")
class ProcessSection(Plugin):
    """What the process uses, and the transport's counts."""

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
    """The routers that are believed to be there."""

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
    """The upstreams, their owners, and which of the own ones are down."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        now = state.clock()
        down = sorted(state.health.health_by_upstream.items())
        return {
            "upstreams": [
                {
                    "name": name,
                    "service": entry.upstream.service,
                    "hall": entry.upstream.hall,
                    "state": entry.upstream.state,
                    "owner": state.owner_name(name),
                    "in_flight_here": state.gate.in_flight(name, now),
                }
                for name, entry in sorted(state.upstreams.entry_by_name.items())
            ],
            "upstreams_notices": [
                {"name": name, "leaving": notice.is_leaving, "rest_seconds": round(notice.rest, 3)}
                for name, notice in sorted(state.notices.in_force(now).items())
            ],
            "upstreams_paces": [
                {"name": name, "pace": known.pace, "age_seconds": round(now - known.read_at, 3)}
                for name, known in sorted(state.paces.in_force(now).items())
            ],
            "upstreams_failing": [
                {"name": name, "failures": health.failures} for name, health in down
            ],
        }


@REGISTRY.register(SECTION_KIND, "4-accounts")
class AccountsSection(Plugin):
    """The busiest accounts at this router, and the retries that are left."""

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
                for service, budget in sorted(state.retries.budget_by_service.items())
            },
        }


@REGISTRY.register(SECTION_KIND, "9-held")
class HeldSection(Plugin):
    """The bytes held for callers and engines, and the accounts that hold most of them."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        held = self.view(RouterState).held
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
    """The services whose engines are given orders here: under which number, which differ."""

    DEPENDENCIES = (Authority,)

    def content(self) -> Dump:
        """Return the section's keys."""
        statuses = self.view(Authority).statuses()
        return {"orders": [msgspec.to_builtins(status) for status in statuses]}


@REGISTRY.register(SECTION_KIND, "7-quarantine")
class QuarantineSection(Plugin):
    """The requests under which engines ended, those that are held back first."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        now = state.clock()
        known = state.suspects.suspect_by_digest.items()
        shown = sorted(known, key=lambda item: (-state.suspects.ends(item[0]), -item[1].last_end))
        return {
            "requests_that_end_engines": [
                {
                    "digest": f"{digest:x}",
                    "quarantined": state.suspects.is_quarantined(digest, now),
                    "ended": suspect.held_against_it(),
                    "cleared_of": sorted(suspect.cleared),
                    "last_end_seconds_ago": round(now - suspect.last_end, 1),
                }
                for digest, suspect in shown[:SHOWN_SUSPECTS]
            ]
        }


@REGISTRY.register(SECTION_KIND, "8-intake")
class IntakeSection(Plugin):
    """What keeps upstreams that are up from some work: evacuated halls, and who is cold."""

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
    """What requests hold of the memory of the engines that are owned here."""

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
                    "long_prompts": count.long_prompts(now),
                    "reserved": count.reservation is not None,
                }
                for name, count in sorted(state.tokens.by_engine.items())
            ],
            "memory_refusals": state.tokens.refused,
        }


@REGISTRY.register(SECTION_KIND, "5-decisions")
class DecisionsSection(Plugin):
    """The last requests: which engine took each, and why others were passed over."""

    DEPENDENCIES = (RouterState,)

    def content(self) -> Dump:
        """Return the section's keys."""
        state = self.view(RouterState)
        return {
            "spilled_chats": len(state.memory.engine_by_chat),
            "decisions": [msgspec.to_builtins(note) for note in reversed(state.decisions)],
        }


def dump_state(state: RouterState, authority: Authority, counters: Mapping[str, Any]) -> Dump:
    """Return a router's state as plain data, section by section in the order of names."""
    views = {RouterState: state, Authority: authority, Counters: Counters(counters)}
    dump: Dump = {}
    for name in REGISTRY.names(SECTION_KIND):
        section = cast(Section, REGISTRY.build(SECTION_KIND, name, views))
        dump.update(section.content())
    return dump


def resident_kb() -> int:
    """Return the process's resident memory in kilobytes, 0 where the system does not tell."""
    try:
        pages = int(STATM.read_text().split()[1])
    except OSError:
        return 0
    return pages * resource.getpagesize() // 1024
