"""The platform behind its Protocol, in memory, for tests of what talks to it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

from fakes._faults import Faults
from fakes._platform import Store, Stored
from pondhatch.store import (
    Accepted,
    Conflict,
    Found,
    Listed,
    Missing,
    OutcomeUnknown,
    PlatformLost,
    StoredObject,
    Unavailable,
    WatchEvent,
)


class PlatformInMemory:
    """See Platform. Faults: ``outage``, ``lost-answer``, ``lost-write``."""

    def __init__(self) -> None:
        self.store = Store()
        self.faults = Faults()
        self.calls = 0
        #: Those of them that may be answered with what was there some seconds ago.
        self.cheap_calls = 0

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        self.cheap_calls += may_be_old
        if self._out():
            return Unavailable("outage")
        stored = self.store.object_by_key.get((kind, name))
        return Missing() if stored is None else Found(_told(stored))

    async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
        self.cheap_calls += may_be_old
        if self._out():
            return Unavailable("outage")
        found = [each for (of, _), each in self.store.object_by_key.items() if of == kind]
        return Listed(self.store.version, tuple(_told(each) for each in found))

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        return self._write(kind, name, value, None, new=True)

    async def update(
        self, kind: str, name: str, value: Any, version: int
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        return self._write(kind, name, value, version, new=False)

    async def watch(self, kind: str, since: int | None) -> AsyncIterator[WatchEvent]:
        if self._out():
            raise PlatformLost("outage")
        yield WatchEvent("bookmark", self.store.version)

    def _write(
        self, kind: str, name: str, value: Any, version: int | None, new: bool
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        if self._out():
            return Unavailable("outage")
        if self.faults.strike("lost-write"):
            return OutcomeUnknown("the write was lost")
        stored = self.store.put(kind, name, value, version, new)
        if self.faults.strike("lost-answer"):
            return OutcomeUnknown("the answer was lost")
        return Conflict() if stored is None else Accepted(stored.version)

    def _out(self) -> bool:
        self.calls += 1
        return self.faults.strike("outage") is not None


def _told(stored: Stored) -> StoredObject:
    return StoredObject(stored.kind, stored.name, stored.version, stored.value)
