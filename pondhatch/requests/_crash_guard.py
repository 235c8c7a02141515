"""Interface of a dispatch to the quarantine of requests and parts that crash engines."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pondhatch.requests._digest import part_digests
from pondhatch.requests._messages import RequestHead
from pondhatch.requests._outcomes import (
    BAD_REQUEST_STATUS,
    SOON_RETRY_AFTER,
    NotRun,
    Refusal,
    Unknown,
)
from pondhatch.requests._sending import Target

#: The outcome of a quarantined request. It has run, so NotRun would be wrong; any other engine
#: would crash too, so the status does not invite a retry.
QUARANTINED = Unknown(
    "request-quarantined", "engines ended each time they ran this request", BAD_REQUEST_STATUS
)
#: The outcome of a request that has not run, with a quarantined part. Any engine that ran it would
#: crash, so the status does not invite a retry.
PART_QUARANTINED = NotRun(
    "prompt-part-quarantined",
    "engines ended each time they ran a request with a part of its prompt",
    0.0,
    BAD_REQUEST_STATUS,
)
#: Codes of a request, and of one with a part of its prompt, that is held for now: engines ended
#: together while they ran it, so that something else may have ended them.
REQUEST_SUSPECTED = "request-suspected"
PART_SUSPECTED = "prompt-part-suspected"
#: Codes of requests that are refused for what they crash, or may crash.
QUARANTINE_CODES = frozenset(
    {QUARANTINED.code, PART_QUARANTINED.code, REQUEST_SUSPECTED, PART_SUSPECTED}
)
#: Result of a try that was given up after its grant, as the request was suspected meanwhile.
MUST_WAIT = NotRun("suspected", "the request may crash engines and has to wait for its turn")


def held_on_suspicion(code: str, seconds: float) -> NotRun:
    """Return the refusal of a request that may be tried again after some seconds.

    Nothing is proven against it, so it must not be called wrong.
    """
    return NotRun(code, "engines ended together while they ran it", max(SOON_RETRY_AFTER, seconds))


class RequestWatch(Protocol):
    """Watches one request from its first try to its end."""

    async def wait_for_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        """Return why the request may not be sent now, or None if it may.

        A suspected request waits here until no other copy of it runs. ``remaining`` returns the
        seconds to the caller's deadline.
        """

    def must_wait(self) -> bool:
        """Return whether the request may only be sent after another ``wait_for_turn``."""

    def refusal(self) -> Refusal | None:
        """Return why the request must not be run for now, or None.

        The request, or a part of its prompt, is known to crash engines, or suspected of it.
        """

    def is_suspected(self) -> bool:
        """Return whether it, or a part of its prompt, is suspected and not cleared.

        An engine crashed while it ran the request, or another one with the part.
        """

    async def note_connection_lost(self, target: Target) -> bool:
        """Note that a run lost its connection; return whether its engine has crashed."""

    def note_completed(self, unproven_at: Target | None = None, ran_prompt: bool = True) -> None:
        """Note that an engine completed it without a crash.

        ``ran_prompt`` says whether the engine answered the prompt, rather than with an error, so
        that the parts of the prompt are harmless too. ``unproven_at`` is the engine of an answer
        that ended with its connection: a crash right at its end may still have to show.
        """

    def close(self) -> None:
        """Note that this dispatch will not run it again. Safe to call twice."""


class CrashGuard(Protocol):
    """Keeps requests that crash engines away from the remaining engines."""

    def watch(self, digest: int, parts: tuple[int, ...] = (), service: str = "") -> RequestWatch:
        """Return the watch over one request; digest 0 marks one that cannot be identified.

        ``parts`` are the digests of the parts of its prompt.
        """

    async def lives_on(self, target: Target) -> bool:
        """Return whether an engine still runs, as far as a probe tells."""


class NoWatch:
    """Allows every request; see RequestWatch."""

    async def wait_for_turn(self, remaining: Callable[[], float]) -> Refusal | None:
        """Return None."""
        return None

    def must_wait(self) -> bool:
        """Return False."""
        return False

    def refusal(self) -> Refusal | None:
        """Return None."""
        return None

    def is_suspected(self) -> bool:
        """Return False."""
        return False

    async def note_connection_lost(self, target: Target) -> bool:
        """Return False."""
        return False

    def note_completed(self, unproven_at: Target | None = None, ran_prompt: bool = True) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


NO_WATCH = NoWatch()


class NoCrashGuard:
    """Suspects no request; see CrashGuard."""

    def watch(self, digest: int, parts: tuple[int, ...] = (), service: str = "") -> RequestWatch:
        """Return a watch that allows every request."""
        return NO_WATCH

    async def lives_on(self, target: Target) -> bool:
        """Return True."""
        return True


def watch_of(guard: CrashGuard, head: RequestHead) -> RequestWatch:
    """Return the watch over a request and the parts of its prompt."""
    return guard.watch(head.digest, part_digests(head), head.service)
