"""The platform's object of software versions, as one router reads and writes it."""

from __future__ import annotations

from typing import Any

from pondhatch.observing import log_for
from pondhatch.router._state import RouterState
from pondhatch.router._sync import UPSTREAM_KIND
from pondhatch.router.streams._retired_versions import RetiredVersions, marked, named
from pondhatch.router.streams._service_versions import ServiceVersions
from pondhatch.store import (
    SETTLE_SECONDS,
    VERSIONS_KIND,
    VERSIONS_NAME,
    Accepted,
    Conflict,
    Found,
    OutcomeUnknown,
    Platform,
    Position,
    StoredVersions,
    Unavailable,
    UpstreamReader,
    era_of,
    read_stored_versions,
)

log = log_for("streams")

#: What the platform replies to a write.
Written = Accepted | Conflict | OutcomeUnknown | Unavailable


class VersionObject:
    """What the object held last, as of when, and what it should hold."""

    def __init__(self, state: RouterState, versions: ServiceVersions, platform: Platform) -> None:
        self._state = state
        self._versions = versions
        self._platform = platform
        self._retired = RetiredVersions(versions, state.clock)
        #: What the object held when this router last read or wrote it; None before, and once the
        #: platform has come back from an older copy.
        self.stored: StoredVersions | None = None
        #: When the platform was asked for that, in the clock's seconds.
        self.read_at = float("-inf")
        #: Since when the platform has not replied to this router's reads, in the clock's seconds;
        #: None if it replied to the latest.
        self.away_since: float | None = None
        #: The object's version then; None if there was no object.
        self._position: Position | None = None
        self._era = 0
        #: When this router saw the platform's era change, in the clock's seconds.
        self._era_changed_at = float("-inf")

    @property
    def is_platform_away(self) -> bool:
        """Whether the platform failed to reply to the latest read."""
        return self.away_since is not None

    def follow_era(self) -> None:
        """Forget what the object held once the platform came back from an older copy."""
        era = era_of(self._state.upstreams.version)
        if era > self._era > 0:
            self.stored = None
            self._era_changed_at = self._state.clock()
        self._era = max(era, self._era)

    def wanted(self, stored: StoredVersions) -> StoredVersions:
        """Return what the object should hold, where it holds ``stored``."""
        if self._state.upstreams.version == 0:
            return stored
        versions_by_service, retiring_by_service = self._retired.wanted(stored)
        is_settled = self._state.clock() - self._era_changed_at >= SETTLE_SECONDS
        was_complete = stored.is_complete and stored.era == self._era
        is_complete = was_complete or (self._versions.is_complete and is_settled)
        return StoredVersions(versions_by_service, is_complete, self._era, retiring_by_service)

    async def confirm(self) -> StoredVersions | None:
        """Read the object; return it if it names every version that may have begun streams."""
        stored = await self.read()
        is_current = stored is not None and stored.is_complete and stored.era == self._era
        return stored if is_current else None

    async def read(self) -> StoredVersions | None:
        """Read the object; return what it holds, None if the platform did not reply."""
        self.follow_era()
        asked_at = self._state.clock()
        found = await self._platform.get(VERSIONS_KIND, VERSIONS_NAME)
        if isinstance(found, Unavailable):
            self.away_since = asked_at if self.away_since is None else self.away_since
            log.warning("Reading the software versions failed: {}.", found.reason)
            return None
        self.away_since = None
        stored, position = StoredVersions(), None
        if isinstance(found, Found):
            position = found.object.version
            stored = self._read_object(found.object.value, era_of(position))
        is_older_copy = position is not None and stored.era < era_of(position)
        is_written_since = position != self._position
        self._versions.adopt(stored, None if is_older_copy else asked_at, is_written_since)
        is_newer = position is None or self._position is None or position >= self._position
        if is_newer and (position is not None or asked_at >= self.read_at):
            # Of two reads at a time, the earlier one may be answered last.
            self._retired.note(stored, is_written_since)
            if not is_older_copy:
                self._versions.note_named(stored, asked_at)
            self.stored, self._position = stored, position
            self.read_at = max(self.read_at, asked_at)
        return stored

    def _read_object(self, value: Any, era: int) -> StoredVersions:
        """Return what the object holds, as read in an era of the platform."""
        stored = read_stored_versions(value)
        if stored is None:
            log.error("The object of software versions cannot be read; replacing it.")
            stored = StoredVersions(era=era)
        if stored.era < era:
            # Others may not have written yet what the older copy lacks.
            self._era_changed_at = self._state.clock()
        self._era = max(self._era, era)
        return stored

    async def write(self) -> Written | None:
        """Write what the object lacks; return what the platform replied, None if it lacks nothing.

        Nothing is written if the platform lists engines of a version that would be given up.
        """
        stored, position = self.stored, self._position
        if stored is None:
            return None
        wanted = self.wanted(stored)
        if wanted == stored:
            return None
        if not await self._may_write(stored, wanted):
            return Unavailable("versions that this router does not need are listed")
        began_at, value = self._state.clock(), wanted.as_value()
        if position is None:
            written = await self._platform.create(VERSIONS_KIND, VERSIONS_NAME, value)
        else:
            written = await self._platform.update(VERSIONS_KIND, VERSIONS_NAME, value, position)
        if isinstance(written, Accepted):
            self._retired.note(wanted)
            self._versions.note_named(wanted, began_at)
            self.stored, self._position, self.read_at = wanted, written.version, began_at
        else:
            log.info("Writing the software versions failed; reading them again: {}.", written)
        return written

    async def _may_write(self, stored: StoredVersions, wanted: StoredVersions) -> bool:
        """Return whether no engine is listed of a version that would be marked or left out.

        The list that this router has may be an old one, so the platform is asked.
        """
        given_up = (named(stored) - named(wanted)) | (
            marked(stored) - marked(wanted) - named(wanted)
        )
        if not given_up:
            return True
        listed = await self._platform.list(UPSTREAM_KIND)
        if isinstance(listed, Unavailable):
            return False
        entries = UpstreamReader().read_listing(listed).entries
        return given_up.isdisjoint(
            (each.upstream.service, each.upstream.software_version) for each in entries
        )
