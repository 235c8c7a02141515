"""Keeps the platform's object of software versions, which outlives all routers at once.

A router reads the object once, at its start. It writes only when a version appears that the object
lacks, or when nobody resumes the streams of one any more. The router that ranks first for the
object writes at once, the others only if the object still lacks something a moment later.
"""

from __future__ import annotations

import asyncio
import random

from pondhatch.kernel import Backoff, Tasks
from pondhatch.observing import log_for
from pondhatch.placement import winner
from pondhatch.router._service_versions import ServiceVersions
from pondhatch.router._state import RouterState
from pondhatch.store import (
    VERSIONS_KIND,
    VERSIONS_NAME,
    Accepted,
    Found,
    Platform,
    Position,
    StoredVersions,
    Unavailable,
    era_of,
    read_stored_versions,
)

log = log_for("streams")

#: Seconds between retries at the platform, at first and at most.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
#: Least and most seconds after which a router that does not rank first writes what the object
#: still lacks.
SECOND_WRITER_SECONDS = (0.4, 1.2)
#: Seconds between two looks for versions that nobody needs any more.
EXPIRY_CHECK_SECONDS = 1.0


class VersionStore:
    """Reads and writes the platform's object of software versions for one router."""

    def __init__(
        self,
        state: RouterState,
        versions: ServiceVersions,
        platform: Platform,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._versions = versions
        self._platform = platform
        self._rng = rng
        self._backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, rng)
        self._tasks = Tasks()
        #: What the object held when this router last read or wrote it; None before.
        self._stored: StoredVersions | None = None
        #: The object's version then; None if there was no object.
        self._position: Position | None = None
        self._era = 0
        #: The latest read, and write if one was due.
        self._call: asyncio.Task[None] | None = None
        #: When the platform may be called next, in the clock's seconds.
        self._next_call_at = float("-inf")
        #: When this router writes what the object lacks, in the clock's seconds; None if it lacks
        #: nothing.
        self._writes_at: float | None = None
        self._checked_upstreams: Position = -1
        self._next_check_at = float("-inf")

    @property
    def is_read(self) -> bool:
        """Whether this router knows what the object holds."""
        return self._stored is not None

    @property
    def has_tried(self) -> bool:
        """Whether the platform has replied to this router's first read, or failed to."""
        return self.is_read or self._next_call_at > float("-inf")

    @property
    def _is_calling(self) -> bool:
        return self._call is not None and not self._call.done()

    def told(self, service: str) -> tuple[str, ...]:
        """Return the versions of a service that the object names, as far as this router knows."""
        return self._stored.versions_by_service.get(service, ()) if self._stored else ()

    def tick(self) -> None:
        """Start the call to the platform that is due, if one is."""
        now = self._state.clock()
        if self._is_calling or now < self._next_call_at:
            return
        self._follow_era()
        if self._stored is None or self._must_write(self._stored, now):
            self._call = self._tasks.start(self._read_and_write())

    async def confirm(self, max_wait: float) -> None:
        """Read the object again, for ``max_wait`` seconds at most."""
        if self._call is None or self._call.done():
            self._call = self._tasks.start(self._read_and_write())
        await asyncio.wait([self._call], timeout=max_wait)

    def stop(self) -> None:
        """Cancel the call that is under way."""
        self._tasks.cancel_all()

    def _follow_era(self) -> None:
        """Read the object again once the platform came back from an older copy."""
        era = era_of(self._state.upstreams.version)
        if era > self._era > 0:
            self._stored = None
        self._era = max(era, self._era)

    def _must_write(self, stored: StoredVersions, now: float) -> bool:
        """Return whether this router is to write what the object lacks now."""
        upstreams = self._state.upstreams.version
        if upstreams != self._checked_upstreams or now >= self._next_check_at:
            self._checked_upstreams = upstreams
            self._next_check_at = now + EXPIRY_CHECK_SECONDS
            self._plan_write(stored, now)
        return self._writes_at is not None and now >= self._writes_at

    def _plan_write(self, stored: StoredVersions, now: float) -> None:
        if self._wanted(stored) == stored:
            self._writes_at = None
        elif self._writes_at is None:
            self._writes_at = now + self._write_delay()

    def _wanted(self, stored: StoredVersions) -> StoredVersions:
        """Return what the object should hold."""
        if self._state.upstreams.version == 0:
            return stored
        wanted = self._versions.to_store()
        is_complete = stored.is_complete or wanted.is_complete
        return StoredVersions(wanted.versions_by_service, is_complete, max(stored.era, self._era))

    def _write_delay(self) -> float:
        names = [each.name for each in self._state.members()]
        if winner(VERSIONS_NAME, names) == self._state.name:
            return 0.0
        return self._rng.uniform(*SECOND_WRITER_SECONDS)

    async def _read_and_write(self) -> None:
        """Read the object, and write what it lacks if that is due."""
        if await self._read() and await self._write():
            self._backoff.reset()
            return
        self._next_call_at = self._state.clock() + self._backoff.next()

    async def _read(self) -> bool:
        asked_at: float | None = self._state.clock()
        found = await self._platform.get(VERSIONS_KIND, VERSIONS_NAME)
        if isinstance(found, Unavailable):
            log.warning("Reading the software versions failed: {}.", found.reason)
            return False
        stored: StoredVersions | None = StoredVersions()
        self._position = None
        if isinstance(found, Found):
            self._position = found.object.version
            stored = read_stored_versions(found.object.value)
            if stored is None:
                log.error("The object of software versions cannot be read; replacing it.")
                stored = StoredVersions()
            if stored.era < era_of(self._position):
                asked_at = None
        assert stored is not None
        self._versions.adopt(stored, asked_at)
        self._stored = stored
        return True

    async def _write(self) -> bool:
        """Write what the object lacks, if this router's time to write has come."""
        stored = self._stored
        if stored is None or self._writes_at is None:
            return True
        wanted = self._wanted(stored)
        self._writes_at = None
        if wanted == stored:
            return True
        value = wanted.as_value()
        if self._position is None:
            written = await self._platform.create(VERSIONS_KIND, VERSIONS_NAME, value)
        else:
            written = await self._platform.update(
                VERSIONS_KIND, VERSIONS_NAME, value, self._position
            )
        if not isinstance(written, Accepted):
            log.info("Writing the software versions failed; reading them again: {}.", written)
            self._writes_at = self._state.clock()
            return False
        self._stored, self._position = wanted, written.version
        return True
