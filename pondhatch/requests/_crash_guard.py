"""What a request's walk asks and tells of engines that ended while they ran it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pondhatch.requests._outcomes import BAD_REQUEST_STATUS, Refusal, Unknown
from pondhatch.requests._sending import Target

#: What the caller of a request that is held back is told. It has run, so nothing promises the
#: contrary; any other engine would end as well, so nothing asks for another try.
QUARANTINED = Unknown(
    "request-quarantined", "engines ended each time they ran this request", BAD_REQUEST_STATUS
)


class RequestWatch(Protocol):
    """One request, from its first try to its end."""

    async def wait_for_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        """Return why the request may not be sent now, or None where it may.

        A suspected one waits here until no other copy of it runs.
        """

    def is_quarantined(self) -> bool:
        """Return whether it is known by now to end the engines that run it."""

    def is_suspected(self) -> bool:
        """Return whether an engine ended under it, and nothing has cleared it of that."""

    async def note_connection_lost(self, target: Target) -> bool:
        """Note that a run lost its connection; return whether its engine has ended."""

    def note_completed(self) -> None:
        """Note that an engine bore it."""

    def close(self) -> None:
        """Note that no more runs of it come from here. Safe to call twice."""


class CrashGuard(Protocol):
    """Keeps requests that end engines from the engines that are left."""

    def watch(self, digest: int) -> RequestWatch:
        """Return the watch over one request; 0 is one that cannot be told from others."""


class NoWatch:
    """Lets everything pass; see RequestWatch."""

    async def wait_for_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        """Return None."""
        return None

    def is_quarantined(self) -> bool:
        """Return False."""
        return False

    def is_suspected(self) -> bool:
        """Return False."""
        return False

    async def note_connection_lost(self, target: Target) -> bool:
        """Return False."""
        return False

    def note_completed(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


NO_WATCH = NoWatch()


class NoCrashGuard:
    """Suspects nothing; see CrashGuard."""

    def watch(self, digest: int) -> RequestWatch:
        """Return a watch that lets everything pass."""
        return NO_WATCH
