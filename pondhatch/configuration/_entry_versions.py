"""The version at which each entry of a configuration changed last, as far back as known.

With these versions a router computes one difference for a peer at any version from
``EntryVersions.since`` on, whichever versions the peer skipped.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from pondhatch.configuration._changes import EntryKey

#: Maximum number of entries whose last change is kept, about 0.2 KB each and so below 1 MB in all.
#: A day brings about 6,700 changes, most of them to one entry. Peers that are further behind get
#: a snapshot.
MAX_ENTRIES = 4096


class EntryVersions(msgspec.Struct, frozen=True):
    """The version of the last change of each changed entry. Immutable."""

    #: Every change after this version is known.
    since: int = 0
    #: Includes removed entries.
    version_by_entry: Mapping[EntryKey, int] = {}

    def with_changed(self, entries: Iterable[EntryKey], version: int) -> EntryVersions:
        """Return the versions after the entries changed at ``version``."""
        versions = {**self.version_by_entry, **dict.fromkeys(entries, version)}
        if len(versions) <= MAX_ENTRIES:
            return EntryVersions(self.since, versions)
        # Drops whole versions, oldest first, so that every change after ``since`` stays known.
        oldest_first = sorted(versions.values())
        since = oldest_first[len(versions) - MAX_ENTRIES - 1]
        kept = {
            key: entry_version for key, entry_version in versions.items() if entry_version > since
        }
        return EntryVersions(since, kept)

    def changed_since(self, version: int) -> frozenset[EntryKey] | None:
        """Return the entries that changed after a version, or None if it is before ``since``."""
        if version < self.since:
            return None
        return frozenset(
            key for key, entry_version in self.version_by_entry.items() if entry_version > version
        )
