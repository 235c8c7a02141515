"""Interface of a dispatch to the quarantine of requests that crash engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pondhatch.requests._outcomes import BAD_REQUEST_STATUS, Refusal, Unknown
from pondhatch.requests._sending import Target

#: The outcome of a quarantined request. It has run, so NotRun would be wrong; any other engine
#: would crash too, so the status does not invite a retry.
QUARANTINED = Unknown(
    "request-quarantined", "engines ended each time they ran this request", BAD_REQUEST_STATUS
)


class RequestWatch(Protocol):
    """Watches one request from its first try to its end."""

    async def wait_for_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        """Return why the request may not be sent now, or None if it may.

        A suspected request waits here until no other copy of it runs. ``remaining`` returns the
        seconds to the caller's deadline.
        """

    def is_quarantined(self) -> bool:
        """Return whether the request is now known to crash the engines that run it."""

    def is_suspected(self) -> bool:
        """Return whether an engine crashed while running it, and nothing has cleared it since."""

    async def note_connection_lost(self, target: Target) -> bool:
        """Note that a run lost its connection; return whether its engine has crashed."""

    def note_completed(self, unproven_at: Target | None = None) -> None:
        """Note that an engine completed it without a crash.

        ``unproven_at`` is the engine of an answer that ended with its connection: a crash right at
        the end of the answer may still have to show.
        """

    def close(self) -> None:
        """Note that this dispatch will not run it again. Safe to call twice."""


class CrashGuard(Protocol):
    """Keeps requests that crash engines away from the remaining engines."""

    def watch(self, digest: int) -> RequestWatch:
        """Return the watch over one request; digest 0 marks one that cannot be identified."""

    async def lives_on(self, target: Target) -> bool:
        """Return whether an engine still runs, as far as a probe tells."""


class NoWatch:
    """Allows every request; see RequestWatch."""

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

    def note_completed(self, unproven_at: Target | None = None) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


NO_WATCH = NoWatch()


class NoCrashGuard:
    """Suspects no request; see CrashGuard."""

    def watch(self, digest: int) -> RequestWatch:
        """Return a watch that allows every request."""
        return NO_WATCH

    async def lives_on(self, target: Target) -> bool:
        """Return True."""
        return True
