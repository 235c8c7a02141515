"""The software versions of each service as the platform holds them, for routers that begin anew.

What a router has seen ends with its process. The platform's object outlives all routers at once. It
names every version that may have begun a stream that callers still resume, so that a router that
has just started does not take the versions that are listed now for all that there were.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

#: Kind and name of the platform's object.
VERSIONS_KIND = "pondhatch-software-versions"
VERSIONS_NAME = "current"


class StoredVersions(msgspec.Struct, frozen=True):
    """The versions that may have begun streams that callers still resume."""

    versions_by_service: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)
    #: Whether there can be no others. A fleet that has just been installed, or that ran without the
    #: object so far, does not know what served before.
    is_complete: bool = False
    #: The platform's era in which this was written; in a later one it is an older copy.
    era: int = 0
    #: Versions among them that a router no longer needs. They are left out once nobody has objected
    #: for some seconds.
    retiring_by_service: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)

    def as_value(self) -> dict[str, Any]:
        """Return the object's value."""
        versions = {name: list(each) for name, each in self.versions_by_service.items()}
        retiring = {name: list(each) for name, each in self.retiring_by_service.items()}
        return {
            "versions_by_service": versions,
            "is_complete": self.is_complete,
            "era": self.era,
            "retiring_by_service": retiring,
        }


def read_stored_versions(value: Any) -> StoredVersions | None:
    """Return the versions in an object's value, or None if it holds none that can be read."""
    if not isinstance(value, Mapping):
        return None
    try:
        return msgspec.convert(value, StoredVersions)
    except msgspec.ValidationError:
        return None
