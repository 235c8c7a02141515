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
MOST_KEPT = 4096


class LatestChanges(msgspec.Struct, frozen=True):
    """The version of the last change of each entry that changed. Never changed in place."""

    #: The version from which on every change is known.
    since: int = 0
    #: Of removed entries too.
    version_by_entry: Mapping[EntryKey, int] = {}

    def followed_by(self, entries: Iterable[EntryKey], version: int) -> LatestChanges:
        """Return what is known after a change of some entries."""
        latest = {**self.version_by_entry, **dict.fromkeys(entries, version)}
        if len(latest) <= MOST_KEPT:
            return LatestChanges(self.since, latest)
        # Whole versions are forgotten, the oldest first: what is known must be all of it.
        oldest_first = sorted(latest.values())
        since = oldest_first[len(latest) - MOST_KEPT - 1]
        kept = {key: at for key, at in latest.items() if at > since}
        return LatestChanges(since, kept)

    def after(self, version: int) -> frozenset[EntryKey] | None:
        """Return the entries that changed after a version, or None where that is not known."""
        if version < self.since:
            return None
        return frozenset(key for key, at in self.version_by_entry.items() if at > version)
