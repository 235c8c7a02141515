"""Which software version began a stream, remembered so that the stream goes on there alone.

What engines of two software versions write does not fit together, so a stream that broke off may
go on only at the version of the engine start that delivered its first event. A caller that resumes
its stream names the attempt that brought this event, and may come to any router.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Callable, Iterator
from typing import Protocol

import msgspec

#: Bytes of a stream's key: enough that no two of billions of streams share one by chance.
KEY_BYTES = 12
#: Records that one router holds; the oldest is dropped first. Twenty times what a router of the
#: largest supported fleet holds while versions serve side by side.
MAX_RECORDS = 16_384
#: Longest time in seconds for which a record is held, whatever its sender states.
MAX_RECORD_SECONDS = 3600.0


def stream_key(account: str, service: str, attempt: str) -> bytes:
    """Return the key of a stream by the caller's id of the attempt that began it.

    It includes the account and the service, so that nobody reaches a stranger's stream by its id.
    """
    parts = (account.encode(), service.encode(), attempt.encode(errors="replace"))
    return hashlib.blake2b(b"\0".join(parts), digest_size=KEY_BYTES).digest()


class OriginSource(enum.StrEnum):
    """How it is known which software version began a stream."""

    #: A router recorded it as the stream began.
    RECORDED = "recorded"
    #: The platform holds the record of a router that has ended since.
    ARCHIVED = "archived"
    #: No other version has served for as long as a caller may still resume a stream.
    SOLE_VERSION = "sole-version"
    #: Every router that would have a record has none, so the stream began before records were
    #: made: while one version alone served.
    BEFORE_RECORDS = "before-records"


class StreamOrigin(msgspec.Struct, frozen=True):
    """The software version that began a stream, and how that is known."""

    #: None if the service had no engine.
    software_version: str | None
    source: OriginSource
    #: The router that had the record; empty without one.
    router: str = ""


class OriginUnknown(msgspec.Struct, frozen=True):
    """It is not known which software version began a stream."""

    #: Whether it may be known within seconds: what would tell it has not replied yet.
    may_be_known_soon: bool


class StreamOrigins(Protocol):
    """Records and finds which software version began a stream, for the whole fleet."""

    def record(self, service: str, keys: tuple[bytes, ...], version: str, seconds: float) -> None:
        """Record the version that began a stream, before its first event reaches the caller.

        ``keys`` are those of the attempts under which a caller may name the stream, ``seconds`` is
        the time to the caller's deadline.
        """

    async def note_sending(self, service: str, key: bytes, version: str) -> bool:
        """Note that a request that may begin a stream is about to be sent to a version's engine.

        Its first event is some time away, in which that can be written down for routers that begin
        anew. Return whether it may be sent: not while others may take its stream for one of another
        version, to which it was sent before.
        """

    def unregistered_versions(self, service: str) -> frozenset[str]:
        """Return the versions at which no stream is to begin yet.

        What is known of them would not yet outlive all routers.
        """

    def may_begin_unregistered(self, service: str) -> bool:
        """Return whether streams begin at those versions if no other one has engines."""

    async def await_registered(
        self, service: str, live_versions: Callable[[], frozenset[str]]
    ) -> bool:
        """Wait for a moment until streams may begin at one of the versions with live engines.

        Return whether that took time.
        """

    async def find(self, service: str, key: bytes) -> StreamOrigin | OriginUnknown:
        """Return what began a stream of a service."""


class NoStreamOrigins:
    """Takes all engines of a service for one software version; see StreamOrigins."""

    def record(self, service: str, keys: tuple[bytes, ...], version: str, seconds: float) -> None:
        """Do nothing."""

    async def note_sending(self, service: str, key: bytes, version: str) -> bool:
        """Return that it may be sent."""
        return True

    def unregistered_versions(self, service: str) -> frozenset[str]:
        """Return that streams may begin everywhere."""
        return frozenset()

    def may_begin_unregistered(self, service: str) -> bool:
        """Return that streams may begin everywhere."""
        return True

    async def await_registered(
        self, service: str, live_versions: Callable[[], frozenset[str]]
    ) -> bool:
        """Return that no wait was needed."""
        return False

    async def find(self, service: str, key: bytes) -> StreamOrigin | OriginUnknown:
        """Return that any engine may have begun the stream."""
        return StreamOrigin(None, OriginSource.SOLE_VERSION)


class OriginRecord(msgspec.Struct, frozen=True):
    """A stream's software version, as one router holds it."""

    software_version: str
    #: When no caller resumes the stream any more, in the clock's seconds.
    expires_at: float
    #: The service if the stream began at this router; empty for one that another router recorded.
    service: str = ""


class OriginTable(msgspec.Struct):
    """The records of one router, oldest first; bounded."""

    _record_by_key: dict[bytes, OriginRecord] = msgspec.field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._record_by_key)

    def __iter__(self) -> Iterator[tuple[bytes, OriginRecord]]:
        return iter(tuple(self._record_by_key.items()))

    def put(self, key: bytes, record: OriginRecord) -> OriginRecord | None:
        """Hold a record; of two with one key, the newer one is kept.

        Return the one that fell out for it, if one did.
        """
        self._record_by_key.pop(key, None)
        self._record_by_key[key] = record
        if len(self._record_by_key) <= MAX_RECORDS:
            return None
        return self._record_by_key.pop(next(iter(self._record_by_key)))

    def get(self, key: bytes, now: float) -> OriginRecord | None:
        """Return a stream's record, or None if there is none that a caller may still need."""
        record = self._record_by_key.get(key)
        return record if record is not None and record.expires_at > now else None

    def drop_expired(self, now: float) -> None:
        """Drop the records that no caller needs any more."""
        expired = [key for key, each in self._record_by_key.items() if each.expires_at <= now]
        for key in expired:
            del self._record_by_key[key]
