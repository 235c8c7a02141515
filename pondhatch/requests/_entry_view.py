"""Interfaces that a dispatch uses: its router's state, and services that it calls."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from pondhatch.placement import Regions
from pondhatch.requests._crash_guard import CrashGuard, NoCrashGuard
from pondhatch.requests._grant_requests import Grants, OwnerReply
from pondhatch.requests._sending import Target, Upstreams
from pondhatch.requests._stream_origins import NoStreamOrigins, StreamOrigins
from pondhatch.requests._wait_limits import RunTimes


class EntryView(Protocol):
    """The parts of the router's state that a dispatch reads."""

    def owner_name(self, engine: str) -> str | None:
        """Return the router that owns an engine, or None if no router is live."""

    def note_unreachable(self, name: str) -> None:
        """Note that a router could not be reached."""

    def is_reachable(self, name: str) -> bool:
        """Return whether this router considers another router reachable."""

    def live_upstreams(
        self, service: str, regions: Regions = None, software_version: str | None = None
    ) -> tuple[str, ...]:
        """Return the service's upstreams that take requests restricted to these regions.

        With a software version, only the upstreams of that version.
        """

    def closed_home(self, service: str, chat: str, regions: Regions) -> tuple[str, str] | None:
        """Return a chat's home engine and the reason if its hall is closed to it, else None."""

    def can_resume(self, engine: str) -> bool:
        """Return whether an engine can resume a broken stream."""

    def is_young(self, engine: str) -> bool:
        """Return whether an upstream joined recently."""

    def target(self, engine: str) -> Target | None:
        """Return an upstream, or None if it is unknown."""

    def former_home(self, service: str, chat: str) -> str | None:
        """Return what a chat's home engine would be if leaving engines were still ranked."""

    def note_served(self, chat: int, engine: str) -> None:
        """Record which engine answered a chat last."""

    def last_served(self, chat: int) -> str | None:
        """Return the engine that last answered a chat through this router."""

    def is_load_managed(self) -> bool:
        """Return whether load management is on."""


class EnginePreference(Protocol):
    """Chooses the engines to ask first for requests without a chat context."""

    def preferred(self, service: str, order: Sequence[str]) -> tuple[str, ...]:
        """Return the engines of an order to ask before the others; empty if none are."""

    def note_reply(self, engine: str, reply: OwnerReply) -> None:
        """Record the reply of an engine's owner."""


class NoPreference:
    """Keeps the given order; see EnginePreference."""

    def preferred(self, service: str, order: Sequence[str]) -> tuple[str, ...]:
        """Prefer none."""
        return ()

    def note_reply(self, engine: str, reply: OwnerReply) -> None:
        """Do nothing."""


class Collaborators(msgspec.Struct, frozen=True):
    """Services that a dispatch uses, shared by all dispatches of a router."""

    grants: Grants
    upstreams: Upstreams
    crash_guard: CrashGuard = NoCrashGuard()
    preference: EnginePreference = NoPreference()
    stream_origins: StreamOrigins = NoStreamOrigins()
    #: How long upstreams usually take, measured by all dispatches that share this.
    run_times: RunTimes = msgspec.field(default_factory=RunTimes)
