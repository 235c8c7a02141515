"""An in-memory implementation of the Platform protocol, for tests of its users."""

from __future__ import annotations

import copy
from collections.abc import AsyncIterator
from typing import Any

from fakes._faults import Faults
from fakes._platform import ObjectStore, PlatformObject
from pondhatch.store import (
    Accepted,
    Changes,
    Conflict,
    Found,
    Listed,
    Missing,
    OutcomeUnknown,
    PlatformLost,
    StoredObject,
    Unavailable,
    WatchEvent,
    era_of,
    position_of,
    revision_of,
)


class PlatformInMemory:
    """An in-memory Platform. Faults: ``outage``, ``lost-answer``, ``lost-write``."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        #: Number of restores from an older copy.
        self.era = 0
        self._copy = ObjectStore()
        self.faults = Faults()
        self.calls = 0
        #: Calls among them that accept data some seconds old.
        self.stale_tolerant_calls = 0

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        self.stale_tolerant_calls += may_be_old
        if self._is_call_refused():
            return Unavailable("outage")
        stored = self.store.object_by_key.get((kind, name))
        if stored is None:
            return Missing(position_of(self.era, self.store.version))
        return Found(self._to_stored_object(stored))

    async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
        self.stale_tolerant_calls += may_be_old
        if self._is_call_refused():
            return Unavailable("outage")
        found = [
            each
            for (stored_kind, _), each in self.store.object_by_key.items()
            if stored_kind == kind
        ]
        version = position_of(self.era, self.store.version)
        return Listed(version, tuple(self._to_stored_object(each) for each in found))

    async def changes(self, kind: str, since: int) -> Changes | Listed | Unavailable:
        is_kept = era_of(since) == self.era and revision_of(since) >= self.store.compacted
        if since == 0 or not is_kept:
            return await self.list(kind)
        if self._is_call_refused():
            return Unavailable("outage")
        return Changes(position_of(self.era, self.store.version), self.events_since(kind, since))

    def events_since(self, kind: str, since: int) -> tuple[WatchEvent, ...]:
        """Return the changes of a kind after a position of this era."""
        events = [event for stored_kind, event in self.store.events if stored_kind == kind]
        return tuple(
            WatchEvent(
                each["type"],
                position_of(self.era, each["version"]),
                each["name"],
                each.get("value"),
            )
            for each in events
            if each["version"] > revision_of(since)
        )

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        return self._write(kind, name, value, None, must_be_new=True)

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        if era_of(version) != self.era:
            return Unavailable("outage") if self._is_call_refused() else Conflict()
        return self._write(kind, name, value, revision_of(version), must_be_new=False)

    async def watch(self, kind: str, since: int | None) -> AsyncIterator[WatchEvent]:
        if self._is_call_refused():
            raise PlatformLost("outage")
        yield WatchEvent("bookmark", position_of(self.era, self.store.version))

    def _write(
        self, kind: str, name: str, value: Any, version: int | None, must_be_new: bool
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        if self._is_call_refused():
            return Unavailable("outage")
        if self.faults.consume("lost-write"):
            return OutcomeUnknown("the write was lost")
        stored = self.store.put(kind, name, value, version, must_be_new)
        if self.faults.consume("lost-answer"):
            return OutcomeUnknown("the answer was lost")
        if stored is None:
            return Conflict()
        return Accepted(position_of(self.era, stored.version))

    def save_copy(self) -> None:
        """Save a copy of all objects."""
        self._copy = copy.deepcopy(self.store)

    def restore_copy(self) -> None:
        """Restore the saved copy: later writes are lost, and the era rises by one."""
        self.store = copy.deepcopy(self._copy)
        self.era += 1

    def _to_stored_object(self, stored: PlatformObject) -> StoredObject:
        version = position_of(self.era, stored.version)
        return StoredObject(stored.kind, stored.name, version, stored.value)

    def _is_call_refused(self) -> bool:
        """Count a call; return whether the fault ``outage`` refuses it."""
        self.calls += 1
        return self.faults.consume("outage") is not None
