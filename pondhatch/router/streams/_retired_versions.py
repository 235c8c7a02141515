"""Which software versions the platform's object names, marks and leaves out.

A router marks what it needs no more, and takes the mark away from what it has seen listed. What has
been marked for some seconds is left out.
"""

from __future__ import annotations

from collections.abc import Callable

from pondhatch.router.streams._service_versions import ServiceVersions
from pondhatch.store import StoredVersions

#: Seconds for which a version is marked before it is left out: longer than between two reads of a
#: router that has it listed.
RETIRE_SECONDS = 6.0

VersionsByService = dict[str, tuple[str, ...]]


class RetiredVersions:
    """Follows the marks of one router's reads of the object."""

    def __init__(self, versions: ServiceVersions, clock: Callable[[], float]) -> None:
        self._versions = versions
        self._clock = clock
        #: Since when this router has read each mark, by service and version.
        self._marked_at: dict[tuple[str, str], float] = {}

    def note(self, stored: StoredVersions, is_written_since: bool = False) -> None:
        """Note the marks that the object holds now.

        Where others have written it since the last read, a mark may have been taken away meanwhile,
        and made again.
        """
        now = self._clock()
        marked_at = {} if is_written_since else self._marked_at
        self._marked_at = {
            (service, version): marked_at.get((service, version), now)
            for service, versions in stored.retiring_by_service.items()
            for version in versions
        }

    def wanted(self, stored: StoredVersions) -> tuple[VersionsByService, VersionsByService]:
        """Return what the object is to name, and what of that is to be marked, by service."""
        named_by_service: VersionsByService = {}
        marked_by_service: VersionsByService = {}
        for service in sorted({*stored.versions_by_service, *self._versions.services()}):
            stored_names = set(stored.versions_by_service.get(service, ()))
            marked = set(stored.retiring_by_service.get(service, ()))
            seen = self._versions.seen(service)
            needed = seen | set(self._versions.possible_versions(service))
            given_up = {
                each for each in stored_names - needed if self._is_long_marked(service, each)
            }
            names = (stored_names | seen) - given_up
            marks = (names - needed) | (marked & names - seen)
            if names:
                named_by_service[service] = tuple(sorted(names))
            if marks:
                marked_by_service[service] = tuple(sorted(marks))
        return named_by_service, marked_by_service

    def _is_long_marked(self, service: str, version: str) -> bool:
        marked_at = self._marked_at.get((service, version), self._clock())
        return self._clock() - marked_at >= RETIRE_SECONDS


def named(stored: StoredVersions) -> set[tuple[str, str]]:
    """Return the versions that are named and not marked, each with its service."""
    return _pairs(stored.versions_by_service) - marked(stored)


def marked(stored: StoredVersions) -> set[tuple[str, str]]:
    """Return the versions that are marked, each with its service."""
    return _pairs(stored.retiring_by_service)


def _pairs(versions_by_service: VersionsByService) -> set[tuple[str, str]]:
    return {(service, each) for service, found in versions_by_service.items() for each in found}
