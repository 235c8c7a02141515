"""Notes at the platform that a router that misses others begins streams at a version.

Others may have lost this router before a version came that it has met all the same. They know what
it begins there from nothing but the platform, and beside a slow one its records come late. So it
begins nothing there until its records at the platform name the version.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pondhatch.requests import stream_key
from pondhatch.router._state import RouterState
from pondhatch.router.streams._archive import OriginArchive
from pondhatch.router.streams._service_versions import ServiceVersions
from pondhatch.router.streams._unrecorded_streams import UnrecordedStreams
from pondhatch.store import era_of

#: Seconds between two looks at whether a version is noted.
POLL_SECONDS = 0.01


class VersionNotes:
    """Which versions one router has yet to note at the platform."""

    def __init__(
        self,
        state: RouterState,
        versions: ServiceVersions,
        archive: OriginArchive,
        unrecorded: UnrecordedStreams,
    ) -> None:
        self._state = state
        self._versions = versions
        self._archive = archive
        self._unrecorded = unrecorded
        self._era = 0
        #: When this router saw the platform's era change, in the clock's seconds: an older copy may
        #: lack what was noted before.
        self._era_changed_at = float("-inf")

    def tick(self) -> None:
        """Have the versions noted that are not."""
        era = era_of(self._state.upstreams.version)
        if era > self._era:
            self._era, self._era_changed_at = era, self._state.clock()
        for service in self._versions.services():
            self._note(service)

    def unnoted(self, service: str) -> frozenset[str]:
        """Return the listed versions at which no stream is to begin yet.

        Those that came first need no note: others take what they do not know for theirs.
        """
        if not self._unrecorded.misses_routers:
            return frozenset()
        later = self._versions.possible_versions(service)[1:]
        return frozenset(
            each
            for each in self._versions.listed(service).intersection(later)
            if not self._is_noted(service, each)
        )

    async def await_noted(
        self, service: str, registered_versions: Callable[[], frozenset[str]], max_wait: float
    ) -> bool:
        """Wait until one of the live versions that are registered at the platform is noted as well.

        Return whether that took time.
        """
        until = self._state.clock() + max_wait
        has_waited = False
        while self._state.clock() < until:
            registered = registered_versions()
            if not registered or not registered <= self.unnoted(service):
                break
            self._note(service)
            has_waited = True
            await asyncio.sleep(POLL_SECONDS)
        return has_waited

    def _is_noted(self, service: str, version: str) -> bool:
        since = max(self._versions.listed_at(service, version), self._era_changed_at)
        return self._archive.has_written_since(version, since)

    def _note(self, service: str) -> None:
        for version in self.unnoted(service):
            self._archive.add((stream_key("", service, self._state.name),), version)
