"""The time for which a router has known of a newer configuration without having it."""

from __future__ import annotations

import msgspec


class ConfigurationLag(msgspec.Struct):
    """Compares the version in force with the newest that any router is known to hold.

    A version alone does not show whether a router is behind or there is nothing newer.
    """

    #: When this router first knew that it was behind, in the clock's seconds; None while it is not
    #: known to be behind.
    _behind_since: float | None = None

    def record_versions(self, in_force: int, newest: int, now: float) -> None:
        """Record the version in force here and the newest known version."""
        if in_force >= newest:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def seconds(self, now: float) -> float:
        """Return for how many seconds this router has been behind; 0 where it is not."""
        return 0.0 if self._behind_since is None else now - self._behind_since
