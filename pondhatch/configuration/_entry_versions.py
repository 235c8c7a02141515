"""At which version each entry of a configuration changed last, as far back as a router knows.

With it a router tells a peer what differs since any version that it has followed, in one step
and whichever versions the peer skipped.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from pondhatch.configuration._changes import EntryKey

#: Entries whose last change is kept at most. A day of the users' plan has 6,700 changes, most
#: of one entry; with 0.2 KB each that is below 1 MB. Peers that are further behind are given
#: the whole configuration.
MAX_ENTRIES = 4096


class EntryVersions(msgspec.Struct, frozen=True):
    """The version of the last change of each entry that changed. Never changed in place."""

    #: The version from which on every change is known.
    since: int = 0
    #: Of removed entries too.
    version_by_entry: Mapping[EntryKey, int] = {}

    def with_changed(self, entries: Iterable[EntryKey], version: int) -> EntryVersions:
        """Return what is known after a change of some entries."""
        versions = {**self.version_by_entry, **dict.fromkeys(entries, version)}
        if len(versions) <= MAX_ENTRIES:
            return EntryVersions(self.since, versions)
        # Whole versions are forgotten, the oldest first: what is known must be all of it.
        oldest_first = sorted(versions.values())
        since = oldest_first[len(versions) - MAX_ENTRIES - 1]
        kept = {key: at for key, at in versions.items() if at > since}
        return EntryVersions(since, kept)

    def changed_since(self, version: int) -> frozenset[EntryKey] | None:
        """Return the entries that changed after a version, or None where that is not known."""
        if version < self.since:
            return None
        return frozenset(key for key, at in self.version_by_entry.items() if at > version)
