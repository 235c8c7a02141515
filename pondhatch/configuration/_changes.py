"""Changes of the configuration: a log with increasing versions.

A change is one immutable object at the platform, created under the next free
version. Creation is conditional, so of two racing operators one gets a conflict.
A change to many accounts is one object and applies as a whole or not at all.
"""

from __future__ import annotations

from typing import Any

import msgspec

#: Kinds of entries, in the order in which they are validated.
ENTRY_KINDS = ("service", "route", "bounds", "template", "account")


#: Key that marks an entry whose source could not be decoded in full; its value is the reason.
#: The other fields are those that could be decoded, and apply if they make a valid entry.
UNREADABLE_KEY = "unreadable"
#: (kind, name) of an entry.
EntryKey = tuple[str, str]


class Edit(msgspec.Struct, frozen=True):
    """Sets one entry, or removes it if ``value`` is None."""

    kind: str
    name: str
    value: Any | None = None


class Change(msgspec.Struct, frozen=True):
    """One change in the log; all its edits take effect together."""

    version: int
    #: Random, so that a writer whose reply was lost recognises its own change.
    change_id: str
    author: str
    #: Time at which the author made it, in seconds since 1970.
    made_at: float
    note: str
    edits: tuple[Edit, ...]


class Snapshot(msgspec.Struct, frozen=True):
    """All entries at a version."""

    version: int
    edits: tuple[Edit, ...]


class Difference(msgspec.Struct, frozen=True):
    """The entries that changed between two versions, with their values at the newer one.

    It applies to every version from ``since`` on, because it holds each entry that changed
    after ``since``.
    """

    since: int
    version: int
    edits: tuple[Edit, ...]
    #: Fingerprint of all entries at ``version``.
    fingerprint: int


class Update(msgspec.Struct, frozen=True):
    """What a router that is behind receives: changes, else a difference, else a snapshot."""

    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None
    difference: Difference | None = None


def change_object_name(version: int) -> str:
    """Return the name of a change's object at the platform; names sort in version order."""
    return f"{version:012d}"
