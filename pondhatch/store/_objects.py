"""The platform's object API as the rest of pondhatch uses it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, Protocol

import msgspec

from pondhatch.store._position import Position


class StoredObject(msgspec.Struct, frozen=True):
    """One object and the version of its last change."""

    kind: str
    name: str
    #: The platform's position at its last change; later changes of any object have higher ones.
    version: Position
    value: Any


class WatchEvent(msgspec.Struct, frozen=True):
    """One event of a watch."""

    #: "set", "removed", "bookmark", or "unreadable" (set to a value that does not decode).
    type: str
    version: Position
    name: str = ""
    value: Any | None = None


class Found(msgspec.Struct, frozen=True):
    """The object that was read."""

    object: StoredObject


class Missing(msgspec.Struct, frozen=True):
    """The object does not exist."""

    #: The platform's position at the read, as far as it reports one: at least its era.
    as_of: Position = 0


class Listed(msgspec.Struct, frozen=True):
    """All objects of a kind at a version."""

    version: Position
    objects: tuple[StoredObject, ...]
    #: Names of objects that exist but that this router cannot decode.
    left_out: frozenset[str] = frozenset()
    #: Whether the listing is complete: no other object exists.
    is_whole: bool = True


class Changes(msgspec.Struct, frozen=True):
    """All changes of a kind up to a version."""

    version: Position
    events: tuple[WatchEvent, ...]


class Accepted(msgspec.Struct, frozen=True):
    """The write took effect at this version."""

    version: Position


class Conflict(msgspec.Struct, frozen=True):
    """The write did not take effect: the object's current version is not the expected one."""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The reply to a write was lost; the write may have taken effect."""

    reason: str


class Unavailable(msgspec.Struct, frozen=True):
    """The platform could not be reached, or did not reply in time."""

    reason: str


class TooOld(Exception):
    """A watch asked for changes that the platform no longer keeps; list again."""


class PlatformLost(Exception):
    """A watch or call was cut off."""


class Platform(Protocol):
    """The platform's object API."""

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        """Read one object; with ``may_be_old`` it may be some seconds stale.

        Stale reads cost the platform a tenth as much, and it does not limit their number.
        """

    async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
        """Read all objects of a kind and their version; see ``get`` for ``may_be_old``."""

    async def changes(self, kind: str, since: Position) -> Changes | Listed | Unavailable:
        """Read the changes of a kind after a version, without waiting for any.

        Returns all objects of the kind where the platform cannot tell the changes alone, or
        ``since`` is 0. The version returned may be lower than the platform's if there are many.
        """

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        """Create an object that must not exist yet."""

    async def update(
        self, kind: str, name: str, value: Any, version: Position
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        """Replace an object, whose current version must be the given one."""

    def watch(self, kind: str, since: int | None) -> AsyncIterator[WatchEvent]:
        """Yield a bookmark, then the changes after a version, or from now on if it is None.

        Raises TooOld or PlatformLost.
        """
