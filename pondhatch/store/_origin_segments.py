"""Records of which software version began a stream, as the platform holds them in segments.

A segment is an object of some dozens of records that one router wrote. A router adds to its newest
segment until it is full, and uses a segment again once nobody needs its records any more, so that
what a router writes each time stays small, and so does what the platform holds.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Iterator, Mapping, Set
from typing import Any, NamedTuple

import msgspec

from pondhatch.store._position import Position

#: Kind of the platform's objects that each hold one segment.
SEGMENT_KIND = "pondhatch-stream-origins"
#: Records in one segment: one kilobyte.
MAX_SEGMENT_RECORDS = 64
#: Segments of one router, the oldest of which is used again if none has expired.
MAX_SEGMENTS = 128
#: Records of each kind that one router holds of those that it read, some forty megabytes. Streams
#: of which it does not hold every record are refused as unknown.
MAX_READ_RECORDS = 400_000
#: Fields of an object's value, by whether the streams began.
IS_BEGUN_BY_FIELD = {"begun_by_version": True, "sent_by_version": False}
#: Separates the name of a router from the number of its segment.
NUMBER_MARK = "."


class ArchivedRecord(NamedTuple):
    """One stream's record in a segment."""

    key: bytes
    software_version: str
    #: Whether the stream began there. If not, its request was sent there, and begins the stream
    #: unless it is refused.
    is_begun: bool


class Segment(msgspec.Struct):
    """One of a router's own segments."""

    name: str
    #: The object's version at the platform; None if it is unknown or there is no object.
    position: Position | None = None
    #: When nobody needs the records any more, in the clock's seconds.
    expires_at: float = float("-inf")
    records: set[ArchivedRecord] = msgspec.field(default_factory=set)
    #: Whether an earlier process of the router wrote it, so that its records are not known here.
    is_closed: bool = False

    @property
    def room(self) -> int:
        """Number of records that still fit in."""
        return 0 if self.is_closed else max(0, MAX_SEGMENT_RECORDS - len(self.records))

    def as_value(self) -> dict[str, Any]:
        """Return the object's value: the keys of each version, end to end."""
        return {
            field: _keys_by_version(each for each in self.records if each.is_begun == is_begun)
            for field, is_begun in IS_BEGUN_BY_FIELD.items()
        }


def _keys_by_version(records: Iterable[ArchivedRecord]) -> dict[str, str]:
    keys_by_version: dict[str, bytearray] = {}
    for each in sorted(records):
        keys_by_version.setdefault(each.software_version, bytearray()).extend(each.key)
    return {version: base64.b64encode(keys).decode() for version, keys in keys_by_version.items()}


def read_segment(value: Any, key_bytes: int) -> Iterator[ArchivedRecord]:
    """Yield the records in an object's value.

    What cannot be read is left out: a stream without a record is refused, never taken for another.
    """
    if not isinstance(value, Mapping):
        return
    for field, is_begun in IS_BEGUN_BY_FIELD.items():
        keys_by_version = value.get(field)
        if not isinstance(keys_by_version, Mapping):
            continue
        for version, text in keys_by_version.items():
            for key in _split_keys(text, key_bytes):
                yield ArchivedRecord(key, version, is_begun)


def _split_keys(text: Any, key_bytes: int) -> Iterator[bytes]:
    try:
        keys = base64.b64decode(text, validate=True)
    except (TypeError, ValueError, binascii.Error):
        return
    for offset in range(0, len(keys) - key_bytes + 1, key_bytes):
        yield keys[offset : offset + key_bytes]


class ReadRecords:
    """The records that a router has read of all segments; bounded."""

    def __init__(self) -> None:
        #: The version of each stream, None where records state several.
        self._version_by_begun_key: dict[bytes, str | None] = {}
        self._version_by_sent_key: dict[bytes, str | None] = {}
        self._versions_by_router: dict[str, set[str]] = {}
        self._is_whole = True

    def add(self, records: Iterable[ArchivedRecord], segment: str) -> None:
        """Add the records of the segment of a name."""
        versions = self._versions_by_router.setdefault(_router_of(segment), set())
        for key, version, is_begun in records:
            versions.add(version)
            by_key = self._version_by_begun_key if is_begun else self._version_by_sent_key
            if len(by_key) >= MAX_READ_RECORDS and key not in by_key:
                self._is_whole = False
                continue
            by_key[key] = version if by_key.get(key, version) == version else None

    def routers_at(self, versions: Set[str]) -> frozenset[str]:
        """Return the routers whose records name one of some versions."""
        return frozenset(
            router for router, named in self._versions_by_router.items() if named & versions
        )

    def begun_version(self, key: bytes) -> str | None:
        """Return the version at which records of its begin say that a stream began."""
        return self._version_by_begun_key.get(key)

    def version(self, key: bytes) -> str | None:
        """Return the version of a stream, None unless the records leave no doubt.

        Where a request was sent to engines of several versions, only a record of the begin tells.
        """
        if key in self._version_by_begun_key:
            return self._version_by_begun_key[key]
        return self._version_by_sent_key.get(key) if self._is_whole else None


def _router_of(segment: str) -> str:
    """Return the name of the router that wrote the segment of a name."""
    return segment.rpartition(NUMBER_MARK)[0]


class SegmentRing:
    """The segments of one router."""

    def __init__(self, router: str) -> None:
        self._router = router
        self._segments: list[Segment] = []
        #: When a record of each version was last written, in the clock's seconds.
        self._written_at_by_version: dict[str, float] = {}

    def add_written(self, name: str, position: Position, expires_at: float) -> None:
        """Add a segment that an earlier process of this router wrote."""
        if _router_of(name) == self._router and not self._has(name):
            written = Segment(name, position, expires_at, is_closed=True)
            self._segments.insert(0, written)

    def note_written(self, records: Iterable[ArchivedRecord], began_at: float) -> None:
        """Note that the platform holds records, whose write began at a time."""
        for each in records:
            self._written_at_by_version[each.software_version] = began_at

    def written_at(self, software_version: str) -> float:
        """Return when a record of a version was last written; minus infinity if none was."""
        return self._written_at_by_version.get(software_version, float("-inf"))

    def segment_for_writing(self, now: float) -> Segment:
        """Return a segment with room: the newest, one that has expired, or a new one."""
        newest = self._segments[-1] if self._segments else None
        if newest is not None and newest.room:
            return newest
        reused = next((each for each in self._segments if each.expires_at <= now), None)
        if reused is None and len(self._segments) >= MAX_SEGMENTS:
            reused = self._segments[0]
        if reused is None:
            reused = Segment(self._new_name())
        else:
            self._segments.remove(reused)
            reused.records.clear()
            reused.is_closed = False
        self._segments.append(reused)
        return reused

    def _has(self, name: str) -> bool:
        return any(each.name == name for each in self._segments)

    def _new_name(self) -> str:
        numbers = (f"{self._router}{NUMBER_MARK}{number}" for number in range(MAX_SEGMENTS))
        return next(name for name in numbers if not self._has(name))
