"""What a request's walk asks and tells of engines that ended while they ran it."""

from __future__ import annotations

from typing import Protocol

from pondhatch.requests._sending import Target


class CrashGuard(Protocol):
    """Tells runs that ended with their engine from those that alone were cut."""

    async def has_ended(self, target: Target) -> bool:
        """Return whether an engine's host says that nothing listens there any more."""


class NoCrashGuard:
    """Takes no engine for ended; see CrashGuard."""

    async def has_ended(self, target: Target) -> bool:
        """Return False."""
        return False
