"""The platform's object API as the rest of pondhatch sees it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, Protocol

import msgspec

from pondhatch.store._position import Position


class StoredObject(msgspec.Struct, frozen=True):
    """One object with the version of its last change."""

    kind: str
    name: str
    #: The platform's position at its last change; a later change of any object has a higher one.
    version: Position
    value: Any


class WatchEvent(msgspec.Struct, frozen=True):
    """One line of a watch."""

    #: "set", "removed", "bookmark", or "unreadable": set to what makes no sense.
    type: str
    version: Position
    name: str = ""
    value: Any | None = None


class Found(msgspec.Struct, frozen=True):
    """The object as read."""

    object: StoredObject


class Missing(msgspec.Struct, frozen=True):
    """There is no such object."""

    #: The platform's position then, as far as it tells it: its era at the least.
    as_of: Position = 0


class Listed(msgspec.Struct, frozen=True):
    """All objects of a kind, as of a version."""

    version: Position
    objects: tuple[StoredObject, ...]
    #: Names of objects that are there but make no sense to this router.
    left_out: frozenset[str] = frozenset()
    #: Whether no other object is there.
    is_whole: bool = True


class Accepted(msgspec.Struct, frozen=True):
    """The write took effect at this version."""

    version: Position


class Conflict(msgspec.Struct, frozen=True):
    """The write did not take effect: the object is not as the writer thought."""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """The answer to a write was lost; it may have taken effect."""

    reason: str


class Unavailable(msgspec.Struct, frozen=True):
    """The platform could not be asked, or did not answer in time."""

    reason: str


class TooOld(Exception):
    """A watch asked for changes that the platform no longer keeps; list anew."""


class PlatformLost(Exception):
    """A watch or call broke off."""


class Platform(Protocol):
    """The platform's object API."""

    async def get(
        self, kind: str, name: str, may_be_old: bool = False
    ) -> Found | Missing | Unavailable:
        """Read one object, as it was some seconds ago at worst where that will do.

        What may be old costs the platform a tenth, and it takes as many such calls as come.
        """

    async def list(self, kind: str, may_be_old: bool = False) -> Listed | Unavailable:
        """Read all objects of a kind, with the version they are as of; see get."""

    async def create(
        self, kind: str, name: str, value: Any
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        """Create an object that must not exist yet."""

    async def update(
        self, kind: str, name: str, value: Any, version: Position
    ) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
        """Replace an object that must still have the given version."""

    def watch(self, kind: str, since: int | None) -> AsyncIterator[WatchEvent]:
        """Yield a bookmark, then changes after a version, or from now on where it is None.

        Raises TooOld or PlatformLost.
        """
