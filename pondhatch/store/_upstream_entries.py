"""Upstreams as the platform lists them, and the entries by which routers tell each other."""

from __future__ import annotations

import msgspec

from pondhatch.placement import name_of_start
from pondhatch.store._position import Position

#: States of an upstream in the platform's list.
LIVE = "live"
LEAVING = "leaving"
REMOVED = "removed"


class Upstream(msgspec.Struct, frozen=True):
    """A model engine or an instance of a plain service."""

    name: str
    service: str
    #: "http://IP:port".
    url: str
    hall: str
    state: str = LIVE
    #: Whether it can resume a broken stream from a position in it.
    resumes: bool = False
    #: Whether it refuses an order with an outdated fencing number.
    checks_fencing: bool = False
    #: Requests that it can run at once; 0 if its service's setting applies.
    slots: int = 0
    #: When it started, in milliseconds since 1970; 0 if unknown.
    start: int = 0
    #: Seconds of its cold period that remained when it reported them.
    cold_seconds: float = 0.0
    #: Version of its software (not of model weights), as it states it; empty if it states none.
    software_version: str = ""
    #: The id by which it is addressed, the same for all its starts; empty if that is its name.
    instance: str = ""

    @property
    def id(self) -> str:
        """The id by which it is addressed, the same for all its starts."""
        return self.instance or self.name

    def named_by_start(self) -> Upstream:
        """Return it under a name that is unique to this start.

        Routers key all state of an upstream by its name: its cached contexts, its health, its
        running requests. So the state of one start is never used for another.
        """
        if not self.start or self.instance:
            return self
        return msgspec.structs.replace(
            self, name=name_of_start(self.name, self.start), instance=self.name
        )

    def as_listed(self) -> Upstream:
        """Return it under its id, as the platform lists it."""
        return msgspec.structs.replace(self, name=self.id, instance="")


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An upstream and the platform's position at its last change."""

    upstream: Upstream
    version: Position


class UpstreamUpdate(msgspec.Struct, frozen=True):
    """Entries for a router that is behind."""

    #: Version of the list once the entries are applied.
    version: int
    entries: tuple[UpstreamEntry, ...]
    #: Whether the entries are the complete list.
    whole: bool
    #: Names listed with entries that do not decode: not removed, but without a new state.
    left_out: frozenset[str] = frozenset()
    #: Seconds for which the sending router has known a list; 0 if the platform sent it.
    known_for: float = 0.0
    #: Seconds since each upstream joined, by name, for those that joined recently.
    age_by_name: dict[str, float] = {}
