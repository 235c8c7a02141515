"""What the entry side reads of its router's state, and what it goes through to others."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from pondhatch.placement import Regions
from pondhatch.requests._crash_guard import CrashGuard, NoCrashGuard
from pondhatch.requests._grant_requests import Grants, OwnerReply
from pondhatch.requests._sending import Target, Upstreams
from pondhatch.requests._wait_limits import RunTimes


class EntryView(Protocol):
    """What the entry side reads of the router's state."""

    def owner_name(self, engine: str) -> str | None:
        """Return the router that owns an engine, or None without live routers."""

    def note_unreachable(self, name: str) -> None:
        """Note that a router could not be reached."""

    def is_reachable(self, name: str) -> bool:
        """Return whether a router counts as there for this one."""

    def live_upstreams(self, service: str, regions: Regions = None) -> tuple[str, ...]:
        """Return the service's upstreams that take work bound to these regions."""

    def closed_home(self, service: str, chat: str, regions: Regions) -> tuple[str, str] | None:
        """Return a chat's home engine were its hall not closed to it, and why it is closed."""

    def can_resume(self, engine: str) -> bool:
        """Return whether an engine can resume a broken stream."""

    def is_young(self, engine: str) -> bool:
        """Return whether an upstream joined a short while ago."""

    def target(self, engine: str) -> Target | None:
        """Return an upstream, or None where it is not known."""

    def former_home(self, service: str, chat: str) -> str | None:
        """Return a chat's home engine were those that leave still counted."""

    def note_served(self, chat: int, engine: str) -> None:
        """Remember which engine answered a chat last."""

    def last_served(self, chat: int) -> str | None:
        """Return the engine that answered a chat last, as far as this router saw."""

    def is_load_managed(self) -> bool:
        """Return whether the parts of load management are in force."""


class EnginePreference(Protocol):
    """Which engines are asked first for a request that no context binds to one."""

    def preferred(self, service: str, order: Sequence[str]) -> tuple[str, ...]:
        """Return the engines of an order to ask before the others; empty where none are."""

    def note_reply(self, engine: str, reply: OwnerReply) -> None:
        """Take in the reply of an engine's owner."""


class NoPreference:
    """Keeps to the order; see EnginePreference."""

    def preferred(self, service: str, order: Sequence[str]) -> tuple[str, ...]:
        """Prefer none."""
        return ()

    def note_reply(self, engine: str, reply: OwnerReply) -> None:
        """Do nothing."""


class Collaborators(msgspec.Struct, frozen=True):
    """What a walk goes through to others."""

    grants: Grants
    upstreams: Upstreams
    crash_guard: CrashGuard = NoCrashGuard()
    preference: EnginePreference = NoPreference()
    #: How long upstreams usually take, as seen by all walks that go this way.
    run_times: RunTimes = msgspec.field(default_factory=RunTimes)
