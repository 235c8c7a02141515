"""Reads the platform's objects as pondhatch's, and says of a malformed one that it is left out."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from pondhatch.observing import LogOnce, log_for
from pondhatch.platform._objects import (
    ObjectChange,
    StoreObject,
    metadata_of,
    name_of,
)
from pondhatch.store import JSON_ERRORS, StoredObject, WatchEvent, member, position_of

log = log_for("store")

#: Converts an object's name and stored value to pondhatch's value. Raises
#: msgspec.ValidationError.
Decode = Callable[[str, Any], Any]


class ObjectReader:
    """Reads objects of all kinds that have a decoder, and others as they are."""

    def __init__(self, decode_by_kind: Mapping[str, tuple[str, Decode]]) -> None:
        #: The store's name of a kind and its decoder, by pondhatch's name of the kind.
        self._decode_by_kind = decode_by_kind
        self._logged = LogOnce()

    def store_kind(self, kind: str) -> str:
        """Return the store's name of a kind."""
        store_kind, _ = self._decode_by_kind.get(kind, (kind, _unchanged))
        return store_kind

    def convert(self, kind: str, entry: Any, era: int) -> StoredObject:
        """Return an object in pondhatch's format. Raises msgspec.ValidationError."""
        store_object = msgspec.convert(entry, StoreObject)
        _, decode = self._decode_by_kind.get(kind, (kind, _unchanged))
        value = store_object.spec if store_object.spec is not None else store_object.status
        metadata = store_object.metadata
        version = position_of(era, metadata.revision)
        return StoredObject(kind, metadata.name, version, decode(metadata.name, value))

    def read_object(
        self, kind: str, entry: msgspec.Raw, era: int
    ) -> tuple[str, StoredObject | None]:
        """Return an object's name, and the object itself unless it is malformed."""
        try:
            stored = self.convert(kind, msgspec.json.decode(entry), era)
        except JSON_ERRORS as error:
            self.log_unreadable(kind, entry, error)
            return name_of(entry), None
        return stored.name, stored

    def read_event(self, kind: str, raw: msgspec.Raw, era: int) -> WatchEvent | None:
        """Return the event of a change, None if the change names no object."""
        try:
            change = msgspec.json.decode(raw)
            object_change = msgspec.convert(change, ObjectChange)
            if object_change.deleted:
                # The revision is that of the removal itself; a higher one would hide the next
                # changes from routers that ask for changes since this event.
                removed = object_change.object.metadata
                return WatchEvent("removed", position_of(era, removed.revision), removed.name)
            stored = self.convert(kind, change["Object"], era)
        except JSON_ERRORS as error:
            changed = member(bytes(raw), "Object")
            self.log_unreadable(kind, changed, error)
            metadata = metadata_of(changed)
            if metadata is None:
                return None
            return WatchEvent("unreadable", position_of(era, metadata.revision), metadata.name)
        return WatchEvent("set", stored.version, stored.name, stored.value)

    def log_unreadable(self, kind: str, entry: bytes | msgspec.Raw, error: Exception) -> None:
        """Log a malformed object, once for each content.

        Each listing contains it again, and would log it again.
        """
        if self._logged.is_first((kind, hash(bytes(entry)))):
            log.error("Object {} {} is left out: {}.", kind, name_of(entry) or "?", error)


def _unchanged(name: str, value: Any) -> Any:
    return value
