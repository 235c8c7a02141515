"""Changes of the configuration: the log whose versions only grow.

A change is one immutable object at the platform, created under the next free
version. Creation is conditional, so of two operators who race one loses and is
told; a change that touches many accounts is still all or nothing.
"""

from __future__ import annotations

from typing import Any

import msgspec

#: Kinds of entries, in the order in which they are checked.
ENTRY_KINDS = ("service", "route", "bounds", "template", "account")


#: Field of an entry that could not be read in full where it came from: why. Its other fields
#: are what could be read of it; where they are enough for an entry, that is in force.
UNREADABLE_KEY = "unreadable"
#: (kind, name) of an entry.
EntryKey = tuple[str, str]


class Edit(msgspec.Struct, frozen=True):
    """One entry set, or removed where ``value`` is None."""

    kind: str
    name: str
    value: Any | None = None


class Change(msgspec.Struct, frozen=True):
    """One accepted change, holding every edit that takes force together."""

    version: int
    #: Random, so that a writer whose answer was lost recognises its own change.
    change_id: str
    author: str
    #: When the author made it, in seconds since 1970.
    made_at: float
    note: str
    edits: tuple[Edit, ...]


class Snapshot(msgspec.Struct, frozen=True):
    """All entries as of a version."""

    version: int
    edits: tuple[Edit, ...]


class Difference(msgspec.Struct, frozen=True):
    """The entries that differ between a version and an older one, as they are at the newer.

    It fits every version from the older one on: an entry that changed since is among them.
    """

    since: int
    version: int
    edits: tuple[Edit, ...]
    #: Fingerprint of all entries at the newer version.
    fingerprint: int


class Update(msgspec.Struct, frozen=True):
    """What a router that is behind receives: changes, else what differs, else a snapshot."""

    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None
    difference: Difference | None = None


def change_object_name(version: int) -> str:
    """Return the name of a change's object; names sort as versions do."""
    return f"{version:012d}"
